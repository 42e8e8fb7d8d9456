/** Routes the operators' RPC to {@link OperatorApi}. */
import type {
  ConnectError,
  ConnectRouter,
  HandlerContext,
} from '@connectrpc/connect';
import type {Result} from 'neverthrow';
import {operatorRpc as rpc} from '@ragworthall/contracts';
import {
  applyInput,
  changeResponse,
  connectError,
  headerInput,
  historyResponse,
  listResponse,
  rolloutResponse,
  statusResponse,
} from './operator_encoding.js';
import type {OperatorApi} from './operator_api.js';
import type {OperatorAudit} from './operator_audit.js';
import {operatorErrorText, type OperatorError} from './operator_error.js';
import type {OperatorTokens} from './operator_tokens.js';
import {watchRollout, type RolloutSources} from './rollout.js';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Dependencies of {@link OperatorRoutes}. */
export interface OperatorRoutesOptions {
  readonly api: OperatorApi;
  readonly tokens: OperatorTokens;
  readonly audit: OperatorAudit;
  readonly rollout: RolloutSources;
  /** Aborts when the server stops; ends the watches. */
  readonly stopping: AbortSignal;
}

/** Authenticates operators' RPC calls and answers them. */
export class OperatorRoutes {
  private readonly api: OperatorApi;

  constructor(private readonly options: OperatorRoutesOptions) {
    this.api = options.api;
  }

  /** Registers all methods of the RPC with a router. */
  register(router: ConnectRouter): void {
    router.service(rpc.OperatorService, {
      applyServices: (req, ctx) => this.applyServices(req, ctx),
      listServices: (req, ctx) => this.listServices(req, ctx),
      getService: (req, ctx) => this.getService(req, ctx),
      removeService: (req, ctx) => this.removeService(req, ctx),
      drainBackendServer: (req, ctx) => this.drainBackendServer(req, ctx),
      getStatus: (req, ctx) => this.getStatus(ctx),
      watchRollout: (req, ctx) => this.watchRollout(req, ctx),
      getHistory: (req, ctx) => this.getHistory(ctx),
    });
  }

  private async applyServices(
    req: rpc.ApplyServicesRequest,
    ctx: HandlerContext,
  ): Promise<rpc.ChangeResponse> {
    const by = this.authenticate(ctx);
    const result = await this.api.apply(by, applyInput(req), ctx.signal);
    return changeResponse(this.unwrap(by, result));
  }

  private async removeService(
    req: rpc.RemoveServiceRequest,
    ctx: HandlerContext,
  ): Promise<rpc.ChangeResponse> {
    const by = this.authenticate(ctx);
    const input = {header: headerInput(req.header), serviceId: req.serviceId};
    const result = await this.api.remove(by, input, ctx.signal);
    return changeResponse(this.unwrap(by, result));
  }

  private async drainBackendServer(
    req: rpc.DrainBackendServerRequest,
    ctx: HandlerContext,
  ): Promise<rpc.ChangeResponse> {
    const by = this.authenticate(ctx);
    const {serviceId, backendServerId} = req;
    const header = headerInput(req.header);
    const input = {header, serviceId, backendServerId};
    const result = await this.api.drain(by, input, ctx.signal);
    return changeResponse(this.unwrap(by, result));
  }

  private listServices(
    req: rpc.ListServicesRequest,
    ctx: HandlerContext,
  ): rpc.ListServicesResponse {
    this.authenticate(ctx);
    const member = req.member === '' ? undefined : req.member;
    return listResponse(this.api.list(member));
  }

  private getService(
    req: rpc.GetServiceRequest,
    ctx: HandlerContext,
  ): {revision: bigint; service: rpc.Service} {
    const by = this.authenticate(ctx);
    const result = this.api.get(req.serviceId);
    const {revision, service} = this.unwrap(by, result);
    return {
      revision: BigInt(revision),
      service: rpc.serviceToMessage(service),
    };
  }

  private getStatus(ctx: HandlerContext): rpc.GetStatusResponse {
    this.authenticate(ctx);
    return statusResponse(this.api.status(this.options.rollout.clock.now()));
  }

  private async *watchRollout(
    req: rpc.WatchRolloutRequest,
    ctx: HandlerContext,
  ): AsyncGenerator<rpc.WatchRolloutResponse> {
    this.authenticate(ctx);
    const {rollout, stopping} = this.options;
    const signal = AbortSignal.any([ctx.signal, stopping]);
    const revision =
      req.revision === undefined ? undefined : Number(req.revision);
    for await (const update of watchRollout(rollout, revision, signal)) {
      yield rolloutResponse(update);
    }
  }

  private getHistory(ctx: HandlerContext): rpc.GetHistoryResponse {
    this.authenticate(ctx);
    return historyResponse(this.api.history());
  }

  /** Returns the member that the call's token belongs to; throws if none. */
  private authenticate(ctx: HandlerContext): string {
    const header = ctx.requestHeader.get('authorization') ?? '';
    const token = BEARER_PATTERN.exec(header)?.[1];
    const member =
      token === undefined ? undefined : this.options.tokens.memberOf(token);
    if (member !== undefined) return member;
    throw this.recordRefusal(undefined, {kind: 'unknown_token'});
  }

  /** Returns the value; records a refusal and throws it as an RPC error. */
  private unwrap<T>(by: string, result: Result<T, OperatorError>): T {
    if (result.isOk()) return result.value;
    throw this.recordRefusal(by, result.error);
  }

  private recordRefusal(
    by: string | undefined,
    err: OperatorError,
  ): ConnectError {
    const message = operatorErrorText(err);
    const reason = err.kind;
    this.options.audit.record({kind: 'call_refused', by, reason, message});
    return connectError(err);
  }
}
