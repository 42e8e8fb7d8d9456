/** Connections to backend servers over HTTP/1.1. */
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
import {stateOf} from './exchange.js';
import {ServerConnections} from './server_connections.js';

/** Most connections that are opened ahead to one backend server. */
const MAX_WARM = 16;
/** Status of an answer of the load endpoint. */
const OK = 200;

/** Sends calls to backend servers over kept connections. */
export class HttpBackendLink implements BackendLink, AsyncDisposable {
  private readonly servers = new Map<string, ServerConnections>();
  /** The warm-ups that were asked for, one after the other. */
  private warmUps: Promise<void> = Promise.resolve();
  private disposed = false;

  constructor(
    private readonly maxBodyBytes: number,
    /** Writes the context that nested calls carry. */
    private readonly contexts: CallContextCodec,
  ) {}

  send(
    address: string,
    call: Call,
    timeoutMs: number,
    signal: AbortSignal,
    silenceMs = Infinity,
  ): Promise<Attempt> {
    return this.connectionsTo(address).send(
      {
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: this.headersOf(call, timeoutMs),
        body: call.body.byteLength > 0 ? call.body : null,
      },
      {
        maxBodyBytes: this.maxBodyBytes,
        timeoutMs,
        silenceMs,
        startedAt: performance.now(),
        signal,
      },
    );
  }

  async probe(address: string, signal: AbortSignal): Promise<ProbeResult> {
    try {
      const {status, body} = await this.connectionsTo(address).request({
        method: 'GET',
        path: LOAD_PATH,
        signal,
      });
      if (status === OK) return {kind: 'answered', load: loadOf(body)};
      return {kind: 'failed', detail: `status ${status}`};
    } catch (err) {
      return {kind: 'failed', detail: String(err)};
    }
  }

  /**
   * Opens connections ahead. All servers' warm-ups take turns, so that a start
   * with many servers opens its connections one by one.
   */
  warmUp(address: string, connections: number): void {
    this.warmUps = this.warmUps.then(() => this.warm(address, connections));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.disposed = true;
    await this.warmUps;
    await Promise.all(
      [...this.servers.values()].map(server => server[Symbol.asyncDispose]()),
    );
  }

  private async warm(address: string, connections: number): Promise<void> {
    const server = this.connectionsTo(address);
    const wanted = Math.min(connections, MAX_WARM);
    while (!this.disposed && server.count < wanted) {
      if (!(await server.warm.add())) return;
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
      this.contexts.encode(context),
    ];
  }

  private connectionsTo(address: string): ServerConnections {
    const known = this.servers.get(address);
    if (known) return known;
    const connections = new ServerConnections(address);
    this.servers.set(address, connections);
    return connections;
  }
}

function loadOf(report: unknown): LoadHint {
  const {inFlight, state} = report as {inFlight?: unknown; state?: unknown};
  return {
    inFlight: typeof inFlight === 'number' ? inFlight : undefined,
    state: stateOf(state),
  };
}
