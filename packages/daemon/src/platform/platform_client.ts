/**
 * HTTP requests to one component of the platform, with a timeout and a circuit
 * breaker. Failed reads are retried within a retry budget.
 */
import type {Clock} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import {Pool} from 'undici';
import {CircuitBreaker} from './circuit_breaker.js';
import {RetryBudget} from './retry_budget.js';

/** Timeout of one request, milliseconds. */
const TIMEOUT_MS = 2_000;
/** Largest number of connections to the component. */
const MAX_CONNECTIONS = 4;
/** Largest number of attempts of a read, including the first. */
const MAX_READ_ATTEMPTS = 3;
/**
 * Maximum delay before the first retry of a read, milliseconds; it doubles with
 * each retry.
 */
const INITIAL_RETRY_DELAY_MS = 50;

/** Error codes of undici that mean that no part of the request was sent. */
const UNSENT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Outcome of a request. */
export type Reply =
  | {readonly kind: 'answer'; readonly status: number; readonly body: Buffer}
  /** No complete answer was received; the request may have taken effect. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** The request did not reach the platform. */
  | {readonly kind: 'unsent'; readonly detail: string};

/** Clock and randomness that a client uses. */
export interface PlatformHost {
  readonly clock: Clock;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** A client of one component of the platform. */
export class PlatformClient implements AsyncDisposable {
  private readonly pool: Pool;
  private readonly breaker: CircuitBreaker;
  private readonly budget = new RetryBudget();
  private readonly readsInFlight = new Map<string, Promise<Reply>>();

  /**
   * @param url Base URL of the platform.
   * @param name Name of this instance, sent in the `x-client` header.
   */
  constructor(
    url: string,
    private readonly name: string,
    private readonly host: PlatformHost,
  ) {
    this.pool = new Pool(url, {connections: MAX_CONNECTIONS});
    this.breaker = new CircuitBreaker(host.random);
  }

  /** State of the circuit breaker. */
  get state(): CircuitBreaker['state'] {
    return this.breaker.state;
  }

  /** Sends a request once. Never rejects. */
  async send(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: string | Uint8Array,
  ): Promise<Reply> {
    if (!this.breaker.tryAdmit(this.host.clock.now())) {
      return {kind: 'unsent', detail: 'the circuit breaker is open'};
    }
    const reply = await this.request(method, path, body);
    if (isSuccess(reply)) {
      this.breaker.recordSuccess();
      this.budget.recordSuccess();
    } else {
      this.breaker.recordFailure(this.host.clock.now());
    }
    return reply;
  }

  /** Reads a path; concurrent reads of the same path share one request. */
  read(path: string): Promise<Reply> {
    const inFlight = this.readsInFlight.get(path);
    if (inFlight) return inFlight;
    const reading = this.readWithRetries(path).finally(() =>
      this.readsInFlight.delete(path),
    );
    this.readsInFlight.set(path, reading);
    return reading;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    // Requests in flight are aborted, because the component may be down.
    await this.pool.destroy();
  }

  private async readWithRetries(path: string): Promise<Reply> {
    let reply = await this.send('GET', path);
    for (
      let attempts = 1;
      attempts < MAX_READ_ATTEMPTS && !isSuccess(reply);
      attempts += 1
    ) {
      if (!this.budget.trySpend()) return reply;
      await delay(
        INITIAL_RETRY_DELAY_MS * 2 ** (attempts - 1) * this.host.random(),
      );
      reply = await this.send('GET', path);
    }
    return reply;
  }

  private async request(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body: string | Uint8Array | undefined,
  ): Promise<Reply> {
    try {
      const res = await this.pool.request({
        method,
        path,
        headers: {'content-type': 'application/json', 'x-client': this.name},
        body,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const bytes = Buffer.from(await res.body.arrayBuffer());
      return {kind: 'answer', status: res.statusCode, body: bytes};
    } catch (err) {
      const detail = errorDetail(err);
      return {kind: UNSENT_ERROR_CODES.has(detail) ? 'unsent' : 'lost', detail};
    }
  }
}

/** Whether the component answered without a server error. */
function isSuccess(reply: Reply): boolean {
  return reply.kind === 'answer' && reply.status < 500;
}

function errorDetail(err: unknown): string {
  const {code, name, message} = err as Error & {code?: string | number};
  return typeof code === 'string' ? code : (message ?? name);
}

/** Parses a JSON body; undefined if it is not valid JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString()) as unknown;
  } catch {
    return undefined;
  }
}
