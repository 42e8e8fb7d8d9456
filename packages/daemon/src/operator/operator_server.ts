/** Serves the operators' RPC over HTTP on a separate address. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ConfigurationService, FleetStatus} from '@ragworthall/balancer';
import {HttpServerCloser} from '../caller/http_server_closer.js';
import type {Clock} from './clock.js';
import {OperatorApi} from './operator_api.js';
import type {OperatorAudit} from './operator_audit.js';
import {OperatorRoutes} from './operator_routes.js';
import type {OperatorTokens} from './operator_tokens.js';

/** Maximum size of a request message, in bytes. */
const MAX_REQUEST_BYTES = 8 * 1024 * 1024;
/** Maximum total size of the headers, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Time limit for receiving a complete request, in milliseconds. */
const RECEIVE_TIMEOUT_MS = 30_000;
/** Longest wait for calls in flight when the server stops, in milliseconds. */
const CLOSE_LIMIT_MS = 10_000;
/** Maximum number of concurrent connections. */
const MAX_CONNECTIONS = 200;

/** Settings and dependencies of {@link OperatorServer}. */
export interface OperatorServerOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly configuration: ConfigurationService;
  readonly fleet: FleetStatus;
  readonly tokens: OperatorTokens;
  readonly clock: Clock;
  readonly audit: OperatorAudit;
  /**
   * Time in milliseconds after which an instance that the others cannot reach
   * refuses all requests by itself; a rollout no longer waits for it then.
   */
  readonly fencedAfterMs: number;
}

/**
 * A listening server. Disposing it ends the watches and waits for other calls
 * to finish, for a limited time.
 */
export class OperatorServer implements AsyncDisposable {
  private constructor(
    private readonly server: Server,
    private readonly closer: HttpServerCloser,
    private readonly stopping: AbortController,
  ) {}

  /** Starts listening; rejects if the address cannot be bound. */
  static async start(options: OperatorServerOptions): Promise<OperatorServer> {
    const stopping = new AbortController();
    const routes = createRoutes(options, stopping.signal);
    const server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: RECEIVE_TIMEOUT_MS},
      connectNodeAdapter({
        routes: router => routes.register(router),
        readMaxBytes: MAX_REQUEST_BYTES,
      }),
    );
    server.maxConnections = MAX_CONNECTIONS;
    const closer = new HttpServerCloser(server);
    server.listen(options.port, options.host);
    await once(server, 'listening');
    return new OperatorServer(server, closer, stopping);
  }

  /** Base URL for operators. */
  get url(): string {
    const {address, family, port} = this.server.address() as AddressInfo;
    const host = family === 'IPv6' ? `[${address}]` : address;
    return `http://${host}:${port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopping.abort();
    await this.closer.close(CLOSE_LIMIT_MS);
  }
}

function createRoutes(
  options: OperatorServerOptions,
  stopping: AbortSignal,
): OperatorRoutes {
  const {configuration, fleet, tokens, clock, audit, fencedAfterMs} = options;
  const api = new OperatorApi(configuration, fleet, audit);
  const rollout = {configuration, fleet, clock, fencedAfterMs};
  return new OperatorRoutes({api, tokens, audit, rollout, stopping});
}
