/**
 * Passes requests on to other instances and translates what they answer. Makes
 * no decisions.
 */
import type {AnswerHead, WireFormat} from '../platform/wire_format.js';
import type {AnswerCosts} from '../backend_server/answer_costs.js';
import {
  Attribution,
  BackendConnectionPool,
} from '../backend_server/backend_connection_pool.js';
import type {Message} from '../backend_server/exchange.js';
import type {ServerAnswer} from '../backend_server/send_result.js';
import type {CallerRequest} from '../request/caller_request.js';
import {ProofKind, prove} from './instance_keys.js';
import {relayProofFields} from './relay_gate.js';
import {
  ANSWERING_SERVER_HEADER,
  encodeRelayTerms,
  RELAY_HEADER,
  RELAY_PROOF_HEADER,
  type RelayTerms,
} from './relay_header.js';

/** Longest idle time of a connection that is reused, milliseconds. */
const MAX_IDLE_MS = 2_000;
const NOT_RUN = 503;
/** Status codes with which an instance itself rejects what it has not run. */
const REJECTIONS = {first: 400, last: 499} as const;
const GATEWAY_TIMEOUT = 504;
const MS_PER_S = 1_000;
const MAX_REASON_BYTES = 40;

/** How a relayed request ended. */
export type RelayResult =
  /** A backend server gave the answer. */
  | {readonly kind: 'answered'; readonly answer: ServerAnswer}
  /** The other instance did not run it and will not. */
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  /** No byte of the request was sent. */
  | {readonly kind: 'not_sent'; readonly detail: string}
  /** The request may have run, but there is no usable answer. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** No answer arrived in time; the request may have run. */
  | {readonly kind: 'late'}
  /** The caller disconnected; the request may have run. */
  | {readonly kind: 'abandoned'};

/** An instance that takes requests. */
export interface RelayTarget {
  /** Its address for callers. */
  readonly address: string;
  /** Its key; undefined if its build is one before the proofs. */
  readonly key: string | undefined;
}

/** Limits of one relayed request. */
export interface RelayLimits {
  readonly terms: RelayTerms;
  /** Time that the other instance has for the request, milliseconds. */
  readonly timeLeftMs: number;
  /** Time after which this instance stops waiting, milliseconds. */
  readonly giveUpMs: number;
  readonly signal: AbortSignal;
}

/** Receives the head of each relayed answer, with the id of its backend server. */
export type RelayedAnswerListener = (server: string, head: AnswerHead) => void;

/** The client of the other instances, with a connection pool for each. */
export class RelayClient implements Disposable {
  private readonly pools = new Map<string, BackendConnectionPool>();

  constructor(
    private readonly wire: WireFormat,
    private readonly costs: AnswerCosts,
    private readonly onAnswer: RelayedAnswerListener,
  ) {}

  /** Passes a request on to another instance. Never rejects. */
  async send(
    {address, key}: RelayTarget,
    request: CallerRequest,
    {terms, timeLeftMs, giveUpMs, signal}: RelayLimits,
  ): Promise<RelayResult> {
    const endsAt = performance.now() + timeLeftMs;
    const result = await this.poolOf(address).send(
      request.id,
      () => ({
        ...request,
        headers: [
          ...request.headers,
          this.wire.headers.timeLeft,
          String(Math.max(1, Math.floor(endsAt - performance.now()))),
          RELAY_HEADER,
          encodeRelayTerms(terms),
          ...proofHeader(key, terms, request),
        ],
      }),
      {timeoutMs: giveUpMs, maxBodyBytes: this.costs.answerBytes},
      MAX_IDLE_MS,
      signal,
      () => undefined,
    );
    switch (result.kind) {
      case 'message':
        return this.translate(result);
      case 'broken':
        return {kind: 'lost', detail: result.detail};
      case 'not_sent':
      case 'late':
      case 'abandoned':
        return result;
      default:
        return result satisfies never;
    }
  }

  [Symbol.dispose](): void {
    this.pools.forEach(pool => pool[Symbol.dispose]());
    this.pools.clear();
  }

  private translate(message: Message): RelayResult {
    const {status, body} = message;
    const {
      [ANSWERING_SERVER_HEADER]: server,
      'retry-after': retryAfter,
      ...headers
    } = message.headers;
    if (typeof server === 'string') {
      this.onAnswer(server, message);
      const passedOn = {...headers, 'retry-after': retryAfter};
      const flatHeaders = Object.entries(passedOn).flatMap(([name, value]) =>
        [value ?? []].flat().flatMap(v => [name, v]),
      );
      return {
        kind: 'answered',
        answer: {server, status, headers: flatHeaders, body},
      };
    }
    const isRejection = status >= REJECTIONS.first && status <= REJECTIONS.last;
    if (status === NOT_RUN || isRejection) {
      const retryAfterMs = Number(retryAfter) * MS_PER_S;
      const isUsable = Number.isFinite(retryAfterMs) && retryAfterMs >= 0;
      return {
        kind: 'refused',
        reason:
          body.blocks[0]?.toString('utf8', 0, MAX_REASON_BYTES).trim() ?? '',
        retryAfterMs: isUsable ? retryAfterMs : 0,
      };
    }
    if (status === GATEWAY_TIMEOUT) return {kind: 'late'};
    return {kind: 'lost', detail: `status ${status} of the instance`};
  }

  private poolOf(address: string): BackendConnectionPool {
    const known = this.pools.get(address);
    if (known) return known;
    const pool = new BackendConnectionPool(
      address,
      this.costs,
      (message, id) => {
        const named = message.headers[this.wire.headers.requestId];
        if (named === id) return Attribution.This;
        return named === undefined ? Attribution.Unnamed : Attribution.Other;
      },
    );
    this.pools.set(address, pool);
    return pool;
  }
}

/** Returns the name and the value of the header that proves a relay. */
function proofHeader(
  key: string | undefined,
  terms: RelayTerms,
  request: CallerRequest,
): readonly string[] {
  if (key === undefined) return [];
  const fields = relayProofFields(terms, request);
  return [RELAY_PROOF_HEADER, prove(key, ProofKind.Relay, fields)];
}
