/**
 * Requests to one part of the platform: with a time limit, behind a breaker,
 * and reads tried again under a budget.
 */
import type {Clock} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import {Pool} from 'undici';
import {Breaker} from './breaker.js';
import {RetryBudget} from './retry_budget.js';

/** Longest time that one request may take, milliseconds. */
const TIMEOUT_MS = 2_000;
/** Connections to one part. */
const CONNECTIONS = 4;
/** Tries of a read, with the first. */
const READ_TRIES = 3;
/** Longest first wait before a read is tried again, milliseconds. */
const FIRST_RETRY_MS = 50;

/** Errors of undici that come before a byte is sent. */
const UNSENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** What became of a request. */
export type Reply =
  | {readonly kind: 'answer'; readonly status: number; readonly body: Buffer}
  /** No usable answer; it may have taken effect. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** It did not reach the platform. */
  | {readonly kind: 'unsent'; readonly detail: string};

/** What a client needs of its process. */
export interface PlatformHost {
  readonly clock: Clock;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** A client of one part of the platform. */
export class PlatformClient implements AsyncDisposable {
  private readonly pool: Pool;
  private readonly breaker: Breaker;
  private readonly budget = new RetryBudget();
  private readonly reading = new Map<string, Promise<Reply>>();

  /**
   * @param url Base URL of the platform.
   * @param name Name of this instance, for the platform's own records.
   */
  constructor(
    url: string,
    private readonly name: string,
    private readonly host: PlatformHost,
  ) {
    this.pool = new Pool(url, {connections: CONNECTIONS});
    this.breaker = new Breaker(host.random);
  }

  /** Whether requests go through. */
  get state(): Breaker['state'] {
    return this.breaker.state;
  }

  /** Sends a request once. Never rejects. */
  async send(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: string | Uint8Array,
  ): Promise<Reply> {
    if (!this.breaker.admits(this.host.clock.now())) {
      return {kind: 'unsent', detail: 'the breaker is open'};
    }
    const reply = await this.exchange(method, path, body);
    if (isUsable(reply)) {
      this.breaker.succeeded();
      this.budget.earn();
    } else {
      this.breaker.failed(this.host.clock.now());
    }
    return reply;
  }

  /** Reads; reads of the same path at the same time share one. */
  read(path: string): Promise<Reply> {
    const known = this.reading.get(path);
    if (known) return known;
    const reading = this.readAgain(path).finally(() =>
      this.reading.delete(path),
    );
    this.reading.set(path, reading);
    return reading;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    // A request on its way is not worth waiting for: its part may be down.
    await this.pool.destroy();
  }

  private async readAgain(path: string): Promise<Reply> {
    let reply = await this.send('GET', path);
    for (let tries = 1; tries < READ_TRIES && !isUsable(reply); tries += 1) {
      if (!this.budget.spend()) return reply;
      await delay(FIRST_RETRY_MS * 2 ** (tries - 1) * this.host.random());
      reply = await this.send('GET', path);
    }
    return reply;
  }

  private async exchange(
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
      const detail = describe(err);
      return {kind: UNSENT.has(detail) ? 'unsent' : 'lost', detail};
    }
  }
}

/** Whether the part is up, whatever it answered. */
function isUsable(reply: Reply): boolean {
  return reply.kind === 'answer' && reply.status < 500;
}

function describe(err: unknown): string {
  const {code, name, message} = err as Error & {code?: string | number};
  return typeof code === 'string' ? code : (message ?? name);
}

/** Parses the body of an answer; undefined if it is no JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString()) as unknown;
  } catch {
    return undefined;
  }
}
