/**
 * Sends requests and probes to backend servers and translates the answers into
 * the balancer's types. Makes no decisions.
 */
import {
  type LoadReport,
  NEVER_ABORTED,
  type SharedServer,
  type StatementsOfMessage,
  StatementSource,
} from '@ragworthall/balancer';
import type {AnswerHead, WireFormat} from '../platform/wire_format.js';
import type {AnswerCosts} from './answer_costs.js';
import {
  BackendConnection,
  CONNECT_TIMEOUT,
  type OutgoingRequest,
} from './backend_connection.js';
import {Attribution, BackendConnectionPool} from './backend_connection_pool.js';
import {type ExchangeResult, LATE_UNSENT, type Message} from './exchange.js';
import type {SendResult} from './send_result.js';

/** Status sent by a server that is not the expected one. */
const MISDIRECTED = 421;
/** Range of the success status codes. */
const SUCCESS = {first: 200, last: 299} as const;
const OK = 200;
const EMPTY = new Uint8Array(0);
/** Largest body of an answer to a probe, bytes; it is not used. */
const MAX_PROBE_BODY_BYTES = 16_384;
/** Longest idle time of a connection that is reused for a probe, milliseconds. */
const PROBE_IDLE_MS = 60_000;

/** A caller's request with its time limits and cancellation signal. */
export interface Dispatch {
  readonly id: string;
  readonly request: OutgoingRequest;
  /** Time that the server has for the request, milliseconds. */
  readonly timeLeftMs: number;
  /** Time after which the client stops waiting for the answer, milliseconds. */
  readonly giveUpMs: number;
  /** Longest idle time of a connection that is reused for it, milliseconds. */
  readonly maxIdleMs: number;
  readonly signal: AbortSignal;
}

/** The result of a probe. */
export type ProbeAnswer =
  | {
      readonly kind: 'answered';
      readonly healthy: boolean;
      readonly load: LoadReport | undefined;
    }
  /** Another server uses the address. */
  | {readonly kind: 'misplaced'}
  | {readonly kind: 'failed'; readonly detail: string};

/** What a connection of its own shows of the process of a server. */
export const ProcessState = {
  /** It answers. */
  Running: 'running',
  /** Its port is closed, or another server answers there. */
  Ended: 'ended',
  /** The connection was taken and broke off without an answer. */
  BreaksOff: 'breaks_off',
  /** No answer: it may also be cut off, or busy. */
  Unknown: 'unknown',
} as const;

/** One of the values of {@link ProcessState}. */
export type ProcessState = (typeof ProcessState)[keyof typeof ProcessState];

/** What became of a connection that shows whether a server is in reach. */
export const CheckResult = {
  Responded: 'responded',
  /** It could not be opened, or broke off. */
  Refused: 'refused',
  /** Neither in time. */
  Late: 'late',
} as const;

/** One of the values of {@link CheckResult}. */
export type CheckResult = (typeof CheckResult)[keyof typeof CheckResult];

/** Details of what was not sent because its time was over. */
const LATE_DETAILS: readonly string[] = [CONNECT_TIMEOUT, LATE_UNSENT];

const STATE_BY_CONNECT_ERROR: Readonly<Record<string, ProcessState>> = {
  ECONNREFUSED: ProcessState.Ended,
  ECONNRESET: ProcessState.BreaksOff,
};

/** Receives what a server states of itself, as soon as the head of its answer is in. */
export type StatementListener = (
  server: SharedServer,
  message: StatementsOfMessage,
) => void;

/** The client of all backend servers, with a connection pool for each. */
export class BackendClient implements Disposable {
  private readonly pools = new Map<string, BackendConnectionPool>();

  constructor(
    private readonly wire: WireFormat,
    private readonly costs: AnswerCosts,
    private readonly onStatements: StatementListener,
  ) {}

  /** Sends a request. Never rejects. */
  async send(server: SharedServer, dispatch: Dispatch): Promise<SendResult> {
    const {request, timeLeftMs, giveUpMs, maxIdleMs, signal} = dispatch;
    const endsAt = performance.now() + timeLeftMs;
    const {headers} = this.wire;
    const result = await this.poolOf(server).send(
      dispatch.id,
      () => ({
        ...request,
        headers: [
          ...request.headers,
          headers.timeLeft,
          String(Math.max(1, Math.floor(endsAt - performance.now()))),
          headers.expectedServer,
          server.entry.id,
        ],
      }),
      {timeoutMs: giveUpMs, maxBodyBytes: this.costs.answerBytes},
      maxIdleMs,
      signal,
      head => {
        const answeredId = fieldOf(head, headers.requestId);
        const isOther = answeredId !== undefined && answeredId !== dispatch.id;
        if (isOther || head.status === MISDIRECTED) return;
        this.reportStatements(server, head, StatementSource.Answer);
      },
    );
    switch (result.kind) {
      case 'message':
        return this.toSendResult(server, result);
      case 'broken':
        return {kind: 'lost', detail: result.detail, brokeOff: true};
      case 'not_sent':
      case 'late':
      case 'abandoned':
        return result;
      default:
        return result satisfies never;
    }
  }

  /** Requests the health and load of a server. Never rejects. */
  async probe(
    server: SharedServer,
    path: string,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ProbeAnswer> {
    const request = healthRequest(server.entry.address, path);
    const result = await this.poolOf(server).send(
      undefined,
      () => request,
      {timeoutMs, maxBodyBytes: MAX_PROBE_BODY_BYTES},
      PROBE_IDLE_MS,
      signal,
      head => {
        const answering = fieldOf(head, this.wire.headers.serverId);
        if (answering !== undefined && answering !== server.entry.id) return;
        this.reportStatements(server, head, StatementSource.HealthAnswer);
      },
    );
    if (result.kind !== 'message') {
      const detail = 'detail' in result ? result.detail : result.kind;
      return {kind: 'failed', detail};
    }
    const id = fieldOf(result, this.wire.headers.serverId);
    if (id !== undefined && id !== server.entry.id) return {kind: 'misplaced'};
    return {
      kind: 'answered',
      healthy: result.status === OK,
      load: this.loadReportOf(result),
    };
  }

  /** Returns whether a server answers on a connection of its own. Never rejects. */
  async check(
    server: SharedServer,
    path: string,
    timeoutMs: number,
  ): Promise<CheckResult> {
    const result = await this.askAlone(server, path, timeoutMs);
    switch (result.kind) {
      case 'message':
        return CheckResult.Responded;
      case 'not_sent':
        return LATE_DETAILS.includes(result.detail)
          ? CheckResult.Late
          : CheckResult.Refused;
      case 'broken':
        return CheckResult.Refused;
      case 'late':
      case 'abandoned':
        return CheckResult.Late;
      default:
        return result satisfies never;
    }
  }

  /** Returns whether the process of a server still runs. Never rejects. */
  async processState(
    server: SharedServer,
    path: string,
    timeoutMs: number,
  ): Promise<ProcessState> {
    const result = await this.askAlone(server, path, timeoutMs);
    switch (result.kind) {
      case 'message': {
        const id = fieldOf(result, this.wire.headers.serverId);
        const isItself = id === undefined || id === server.entry.id;
        return isItself ? ProcessState.Running : ProcessState.Ended;
      }
      case 'not_sent':
        return STATE_BY_CONNECT_ERROR[result.detail] ?? ProcessState.Unknown;
      case 'broken':
        return ProcessState.BreaksOff;
      case 'late':
      case 'abandoned':
        return ProcessState.Unknown;
      default:
        return result satisfies never;
    }
  }

  /** Asks for the health of a server on a connection of its own. */
  private async askAlone(
    {entry}: SharedServer,
    path: string,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    using connection = new BackendConnection(
      entry.address,
      this.costs,
      timeoutMs,
    );
    return await connection.exchange(
      () => healthRequest(entry.address, path),
      {timeoutMs, maxBodyBytes: MAX_PROBE_BODY_BYTES},
      NEVER_ABORTED,
    );
  }

  /** Closes the connections to a server that has been removed. */
  close(serverId: string): void {
    this.pools.get(serverId)?.[Symbol.dispose]();
    this.pools.delete(serverId);
  }

  [Symbol.dispose](): void {
    [...this.pools.keys()].forEach(id => this.close(id));
  }

  /** Translates an answer that names no other request. */
  private toSendResult({entry}: SharedServer, message: Message): SendResult {
    const {headers} = this.wire;
    const {status, body} = message;
    const load = this.loadReportOf(message);
    const echoedId = fieldOf(message, headers.requestId);
    if (status === MISDIRECTED) return {kind: 'not_run', misplaced: true, load};
    if (fieldOf(message, headers.notRun) !== undefined) {
      return {kind: 'not_run', misplaced: false, load};
    }
    if (echoedId === undefined) {
      const detail = 'the answer has no request id';
      return {kind: 'lost', detail, brokeOff: false};
    }
    const isSuccess = status >= SUCCESS.first && status <= SUCCESS.last;
    if (isSuccess && fieldOf(message, headers.signature) === undefined) {
      const detail = 'the answer is not signed';
      return {kind: 'lost', detail, brokeOff: false};
    }
    const flatHeaders = Object.entries(message.headers).flatMap(
      ([name, value]) => [value ?? []].flat().flatMap(v => [name, v]),
    );
    return {
      kind: 'answered',
      answer: {server: entry.id, status, headers: flatHeaders, body},
      load,
    };
  }

  private reportStatements(
    server: SharedServer,
    head: AnswerHead,
    source: StatementSource,
  ): void {
    const parsed = this.wire.parseStatements(head, Date.now());
    this.onStatements(server, {source, ...parsed});
  }

  private loadReportOf(message: Message): LoadReport | undefined {
    const value = fieldOf(message, this.wire.headers.load);
    return value === undefined ? undefined : this.wire.parseLoad(value);
  }

  private poolOf({entry}: SharedServer): BackendConnectionPool {
    const known = this.pools.get(entry.id);
    if (known?.address === entry.address) return known;
    this.close(entry.id);
    const pool = new BackendConnectionPool(
      entry.address,
      this.costs,
      (message, id) => {
        const named = fieldOf(message, this.wire.headers.requestId);
        // A late copy of a rejected probe would be taken for the rejection of the
        // next request on the connection.
        const isRejectedProbe =
          id === undefined &&
          fieldOf(message, this.wire.headers.notRun) !== undefined;
        if (isRejectedProbe && named === undefined) return Attribution.Unnamed;
        if (named === id) return Attribution.This;
        return named === undefined ? Attribution.Unnamed : Attribution.Other;
      },
    );
    this.pools.set(entry.id, pool);
    return pool;
  }
}

function healthRequest(address: string, path: string): OutgoingRequest {
  return {method: 'GET', target: path, headers: ['host', address], body: EMPTY};
}

function fieldOf(head: AnswerHead, name: string): string | undefined {
  const value = head.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
