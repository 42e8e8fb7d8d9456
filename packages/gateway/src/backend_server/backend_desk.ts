/**
 * Sends requests and probes to backend servers, and tells what came of them in
 * the terms of the balancer. Takes no decision.
 */
import type {LoadReport, SharedServer} from '@ragworthall/balancer';
import type {WireFormat} from '../platform/wire_format.js';
import type {OutgoingRequest} from './backend_connection.js';
import {BackendConnections} from './backend_connections.js';
import type {ExchangeEnd} from './exchange.js';
import type {SendResult} from './send_result.js';

/** Status of an answer of another server than the expected one. */
const MISDIRECTED = 421;
/** First and last status of a success. */
const SUCCESS = {first: 200, last: 299} as const;
const OK = 200;
const EMPTY = new Uint8Array(0);
/** Longest idle time of a connection that carries a probe, milliseconds. */
const PROBE_IDLE_MS = 60_000;

/** A request of a caller, ready to be sent. */
export interface Dispatch {
  readonly id: string;
  readonly request: OutgoingRequest;
  /** Time for which the server may work, milliseconds. */
  readonly timeLeftMs: number;
  /** Time until the answer is no longer waited for, milliseconds. */
  readonly giveUpMs: number;
  /** Longest idle time of a connection that may carry it, milliseconds. */
  readonly maxIdleMs: number;
  readonly signal: AbortSignal;
}

/** What a probe found. */
export type ProbeAnswer =
  | {
      readonly kind: 'answered';
      readonly well: boolean;
      readonly load: LoadReport | undefined;
    }
  /** Another server has the address. */
  | {readonly kind: 'misplaced'}
  | {readonly kind: 'failed'; readonly detail: string};

type Message = Extract<ExchangeEnd, {kind: 'message'}>;

/** Connections to all backend servers. */
export class BackendDesk implements Disposable {
  private readonly servers = new Map<string, BackendConnections>();

  constructor(private readonly wire: WireFormat) {}

  /** Sends a request. Never rejects. */
  async send(server: SharedServer, dispatch: Dispatch): Promise<SendResult> {
    const {request, timeLeftMs, giveUpMs, maxIdleMs, signal} = dispatch;
    const {headers} = this.wire;
    const end = await this.connectionsTo(server).send(
      {
        ...request,
        headers: [
          ...request.headers,
          headers.timeLeft,
          String(Math.max(1, Math.floor(timeLeftMs))),
          headers.expectedServer,
          server.entry.id,
        ],
      },
      giveUpMs,
      maxIdleMs,
      signal,
    );
    switch (end.kind) {
      case 'message':
        return this.resultOf(end, dispatch.id);
      case 'broken':
        return {kind: 'lost', detail: end.detail};
      case 'not_sent':
      case 'late':
      case 'abandoned':
        return end;
      default:
        return end satisfies never;
    }
  }

  /** Asks a server for its health and load. Never rejects. */
  async probe(
    server: SharedServer,
    path: string,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ProbeAnswer> {
    const request: OutgoingRequest = {
      method: 'GET',
      target: path,
      headers: ['host', server.entry.address],
      body: EMPTY,
    };
    const end = await this.connectionsTo(server).send(
      request,
      timeoutMs,
      PROBE_IDLE_MS,
      signal,
    );
    if (end.kind !== 'message') {
      const detail = 'detail' in end ? end.detail : end.kind;
      return {kind: 'failed', detail};
    }
    const id = valueOf(end, this.wire.headers.serverId);
    if (id !== undefined && id !== server.entry.id) return {kind: 'misplaced'};
    return {kind: 'answered', well: end.status === OK, load: this.loadOf(end)};
  }

  /** Forgets the connections to a server that is gone. */
  close(serverId: string): void {
    this.servers.get(serverId)?.[Symbol.dispose]();
    this.servers.delete(serverId);
  }

  [Symbol.dispose](): void {
    [...this.servers.keys()].forEach(id => this.close(id));
  }

  private resultOf(message: Message, requestId: string): SendResult {
    const {headers} = this.wire;
    const {status, body} = message;
    const load = this.loadOf(message);
    const echoed = valueOf(message, headers.requestId);
    if (echoed !== undefined && echoed !== requestId) {
      return {kind: 'lost', detail: 'the answer belongs to another request'};
    }
    if (status === MISDIRECTED) return {kind: 'not_run', misplaced: true, load};
    if (valueOf(message, headers.notRun) !== undefined) {
      return {kind: 'not_run', misplaced: false, load};
    }
    if (echoed === undefined) {
      return {kind: 'lost', detail: 'the answer names no request'};
    }
    const isSuccess = status >= SUCCESS.first && status <= SUCCESS.last;
    if (isSuccess && valueOf(message, headers.signature) === undefined) {
      return {kind: 'lost', detail: 'the answer is not signed'};
    }
    const flat = Object.entries(message.headers).flatMap(([name, value]) =>
      [value ?? []].flat().flatMap(v => [name, v]),
    );
    return {kind: 'answered', answer: {status, headers: flat, body}, load};
  }

  private loadOf(message: Message): LoadReport | undefined {
    const value = valueOf(message, this.wire.headers.load);
    return value === undefined ? undefined : this.wire.parseLoad(value);
  }

  private connectionsTo({entry}: SharedServer): BackendConnections {
    const known = this.servers.get(entry.id);
    if (known?.address === entry.address) return known;
    this.close(entry.id);
    const connections = new BackendConnections(entry.address);
    this.servers.set(entry.id, connections);
    return connections;
  }
}

function valueOf(message: Message, name: string): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
