/** Sends calls and probes to backend servers over HTTP/1.1. */
import {nestedCallContext} from '@ragworthall/balancer';
import type {
  Attempt,
  BackendLink,
  Call,
  LoadHint,
  ProbeResult,
} from '@ragworthall/balancer';
import {BackendHeader, LOAD_PATH} from '@ragworthall/contracts';
import type {Dispatcher} from 'undici';
import type {CallContextCodec} from '../caller/call_context.js';
import {parseServerState} from './exchange.js';
import {ServerConnectionPool} from './server_connection_pool.js';

/** Maximum number of connections opened in advance to one backend server. */
const MAX_WARM_CONNECTIONS = 16;
/** Status code of a successful answer from the load endpoint. */
const HTTP_OK = 200;

/** Sends calls and probes over a pool of persistent connections per server. */
export class HttpBackendLink implements BackendLink, AsyncDisposable {
  private readonly connectionPools = new Map<string, ServerConnectionPool>();
  /** Chain of the requested warm-ups, which run one after another. */
  private pendingWarmUps: Promise<void> = Promise.resolve();
  private disposed = false;

  constructor(
    private readonly maxBodyBytes: number,
    /** Encodes the context that backend servers pass on with nested calls. */
    private readonly contextCodec: CallContextCodec,
  ) {}

  send(
    address: string,
    call: Call,
    timeoutMs: number,
    signal: AbortSignal,
    silenceMs = Infinity,
  ): Promise<Attempt> {
    return this.connectionPoolOf(address).send(
      {
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: this.headersOf(call, timeoutMs),
        body: call.body.byteLength > 0 ? call.body : null,
      },
      {
        maxBodyBytes: this.maxBodyBytes,
        timeoutMs,
        maxSilenceMs: silenceMs,
        startedAt: performance.now(),
        signal,
      },
    );
  }

  async probe(address: string, signal: AbortSignal): Promise<ProbeResult> {
    try {
      const {status, body} = await this.connectionPoolOf(address).request({
        method: 'GET',
        path: LOAD_PATH,
        signal,
      });
      if (status === HTTP_OK)
        return {kind: 'answered', load: parseLoadReport(body)};
      return {kind: 'failed', detail: `status ${status}`};
    } catch (err) {
      return {kind: 'failed', detail: String(err)};
    }
  }

  /**
   * Opens connections in advance. The warm-ups of all servers run one after
   * another, so that even with many servers at startup, connections are opened
   * one at a time.
   */
  warmUp(address: string, connections: number): void {
    this.pendingWarmUps = this.pendingWarmUps.then(() =>
      this.openWarmConnections(address, connections),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.disposed = true;
    await this.pendingWarmUps;
    await Promise.all(
      [...this.connectionPools.values()].map(pool =>
        pool[Symbol.asyncDispose](),
      ),
    );
  }

  private async openWarmConnections(
    address: string,
    connections: number,
  ): Promise<void> {
    const pool = this.connectionPoolOf(address);
    const target = Math.min(connections, MAX_WARM_CONNECTIONS);
    while (!this.disposed && pool.count < target) {
      if (!(await pool.warmSockets.openSocket())) return;
    }
  }

  private headersOf(call: Call, timeoutMs: number): string[] {
    const context = nestedCallContext(call, 0, timeoutMs, Date.now());
    return [
      ...call.headers,
      BackendHeader.RequestId,
      call.id,
      BackendHeader.TimeoutMs,
      String(Math.max(0, Math.floor(timeoutMs))),
      BackendHeader.Rank,
      String(call.rank),
      BackendHeader.CallContext,
      this.contextCodec.encode(context),
    ];
  }

  private connectionPoolOf(address: string): ServerConnectionPool {
    const existing = this.connectionPools.get(address);
    if (existing) return existing;
    const pool = new ServerConnectionPool(address);
    this.connectionPools.set(address, pool);
    return pool;
  }
}

function parseLoadReport(report: unknown): LoadHint {
  const {inFlight, state} = report as {inFlight?: unknown; state?: unknown};
  return {
    inFlight: typeof inFlight === 'number' ? inFlight : undefined,
    state: parseServerState(state),
  };
}
