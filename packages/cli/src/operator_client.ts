/** Client of the operators' RPC of one instance. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import {
  createClient,
  type CallOptions,
  type Client,
  type Interceptor,
} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {ResultAsync} from 'neverthrow';
import {operatorRpc as rpc} from '@ragworthall/contracts';
import {clientErrorOf, type ClientError} from './client_error.js';

/** Time-out of one call, in milliseconds. */
const CALL_TIMEOUT_MS = 10_000;

/**
 * Time without an update after which the connection of a watch is considered
 * dead, in milliseconds. The server repeats its updates several times as often.
 */
const WATCH_IDLE_TIMEOUT_MS = 15_000;

/** Answer to a call, or the error if there is none. */
export type Answer<T> = ResultAsync<T, ClientError>;

/** Operation id, base revision and dry-run flag of a change. */
export type ChangeHeaderInit = MessageInitShape<typeof rpc.ChangeHeaderSchema>;

/** Sends operators' calls over HTTP, authenticated by a member's token. */
export class OperatorClient {
  private readonly rpc: Client<typeof rpc.OperatorService>;
  private readonly options: CallOptions;

  /** `signal` cancels all calls. */
  constructor(
    server: string,
    token: string,
    private readonly signal: AbortSignal,
  ) {
    const transport = createConnectTransport({
      baseUrl: server,
      httpVersion: '1.1',
      interceptors: [authorization(token)],
    });
    this.rpc = createClient(rpc.OperatorService, transport);
    this.options = {signal, timeoutMs: CALL_TIMEOUT_MS};
  }

  /** Creates, replaces and removes services. */
  apply(
    header: ChangeHeaderInit,
    services: rpc.Service[],
    remove: string[],
  ): Answer<rpc.ChangeResponse> {
    const req = {header, services, remove};
    return answer(this.rpc.applyServices(req, this.options));
  }

  /** Lists the services of a member, or all if it is empty. */
  list(member: string): Answer<rpc.ListServicesResponse> {
    return answer(this.rpc.listServices({member}, this.options));
  }

  /** Removes one service. */
  remove(
    header: ChangeHeaderInit,
    serviceId: string,
  ): Answer<rpc.ChangeResponse> {
    return answer(this.rpc.removeService({header, serviceId}, this.options));
  }

  /** Marks a backend server as draining. */
  drain(
    header: ChangeHeaderInit,
    serviceId: string,
    backendServerId: string,
  ): Answer<rpc.ChangeResponse> {
    const req = {header, serviceId, backendServerId};
    return answer(this.rpc.drainBackendServer(req, this.options));
  }

  /** Returns one service. */
  get(serviceId: string): Answer<rpc.GetServiceResponse> {
    return answer(this.rpc.getService({serviceId}, this.options));
  }

  /** Returns the latest changes. */
  history(): Answer<rpc.GetHistoryResponse> {
    return answer(this.rpc.getHistory({}, this.options));
  }

  /**
   * Yields updates on the rollout of a revision, or of whichever is current if
   * undefined, until the connection ends. {@link clientErrorOf} converts the
   * errors that it throws.
   */
  async *watchRollout(
    revision: bigint | undefined,
  ): AsyncGenerator<rpc.WatchRolloutResponse> {
    const controller = new AbortController();
    const signal = AbortSignal.any([this.signal, controller.signal]);
    using timer = setTimeout(() => controller.abort(), WATCH_IDLE_TIMEOUT_MS);
    try {
      for await (const update of this.rpc.watchRollout({revision}, {signal})) {
        timer.refresh();
        yield update;
      }
    } finally {
      // Otherwise the connection stays open if the consumer stops early.
      controller.abort();
    }
  }

  /** Returns the fleet's status. */
  status(): Answer<rpc.GetStatusResponse> {
    return answer(this.rpc.getStatus({}, this.options));
  }
}

function authorization(token: string): Interceptor {
  return next => req => {
    req.header.set('Authorization', `Bearer ${token}`);
    return next(req);
  };
}

function answer<T>(call: Promise<T>): Answer<T> {
  return ResultAsync.fromPromise(call, clientErrorOf);
}
