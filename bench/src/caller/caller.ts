/**
 * A caller that behaves like those of the members: it asks for the addresses of
 * a service, caches the answer for as long as allowed, and resends a request
 * with the same key when a connection fails.
 */
import {
  type AddressAnswer,
  CallerHeader,
  type Refusal,
} from '@ragworthall/contracts';
import type {BackendAnswer} from '@ragworthall/standins';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {
  type Ending,
  type Observation,
  pathOf,
  type SentCopy,
  type RequestKind,
} from './observation.js';

/** Time for which a caller waits beyond the deadline, milliseconds. */
const GRACE_MS = 1_000;
/** Maximum number of addresses that a caller tries for one request. */
const MAX_ATTEMPTS = 4;

/** An address answer and the time until which it may be used. */
interface CachedAddresses {
  readonly answer: AddressAnswer;
  readonly validUntil: number;
}

/** A request that has not ended. */
interface PendingRequest {
  readonly work: RequestKind;
  readonly path: string;
  /** Idempotency key; undefined if no address answer provided a prefix. */
  readonly key: string | undefined;
  /** Time at which the caller gives up, milliseconds. */
  readonly until: number;
  readonly copies: SentCopy[];
}

/** A copy that is sent without waiting for the first one to end. */
export interface Resend {
  /** Delay after the first copy, milliseconds. */
  readonly afterMs: number;
  /** Index of the address to which it is sent. */
  readonly address: number;
}

/** Sends requests to the instances of a fleet. */
export class Caller implements AsyncDisposable {
  private readonly agent = new Agent({pipelining: 1});
  private readonly addressCache = new Map<string, CachedAddresses>();
  private readonly lookups = new Map<string, Promise<AddressAnswer>>();
  private count = 0;

  constructor(
    /** Part of the keys and paths of its requests, unique in the run. */
    private readonly name: string,
    /** Base URLs to ask for addresses; they change as daemons are replaced. */
    private readonly instanceUrls: () => readonly string[],
  ) {}

  /** Sends a request and waits until it ends. Never rejects. */
  async send(
    work: RequestKind,
    dueAt: number,
    resend = false,
  ): Promise<Observation> {
    const resends = resend ? [{afterMs: 0, address: 1}] : [];
    return this.sendWithResends(work, dueAt, resends);
  }

  /** Sends a request, and copies of it however the first one ends. */
  async sendWithResends(
    work: RequestKind,
    dueAt: number,
    resends: readonly Resend[],
  ): Promise<Observation> {
    this.count += 1;
    const uniquePart = `${this.name}-${this.count}`;
    const path = pathOf(work, uniquePart);
    const sentAt = performance.now();
    const until = sentAt + work.deadlineMs + GRACE_MS;
    const answer = await this.addressesOf(work.serviceId);
    const key = answer && `${answer.keyPrefix}.${uniquePart}`;
    const urls = answer?.addresses.map(a => a.url) ?? [];
    const pending: PendingRequest = {work, path, key, until, copies: []};
    const resent = resends.map(r => this.resend(urls, pending, r));
    const first = await this.sendWithRetries(urls, pending);
    const endings = [first, ...(await Promise.all(resent))];
    const {copies} = pending;
    return {
      work,
      id: key ?? path,
      dueAt,
      sentAt,
      endedAt: performance.now(),
      sends: copies.length,
      copies,
      ending: finalEnding(endings),
    };
  }

  /**
   * Sends a request with the given content once, with a new key that includes
   * the content, and ignores the answer.
   */
  async sendContent(work: RequestKind, content: string): Promise<void> {
    this.count += 1;
    const answer = await this.addressesOf(work.serviceId);
    if (!answer) return;
    const key = `${answer.keyPrefix}.${content}-${this.name}-${this.count}`;
    const path = pathOf(work, content);
    const until = performance.now() + work.deadlineMs + GRACE_MS;
    const pending: PendingRequest = {work, path, key, until, copies: []};
    await this.sendCopy(answer.addresses[0]!.url, pending);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  /** Tries the addresses in turn until one gives an answer. */
  private async sendWithRetries(
    urls: readonly string[],
    pending: PendingRequest,
  ): Promise<Ending> {
    let ending: Ending = {kind: 'no_answer', detail: 'no address'};
    for (let i = 0; i < MAX_ATTEMPTS && urls.length > 0; i += 1) {
      if (performance.now() >= pending.until) break;
      ending = await this.sendCopy(urls[i % urls.length]!, pending);
      if (ending.kind !== 'no_answer') break;
      this.addressCache.delete(pending.work.serviceId);
    }
    return ending;
  }

  private async resend(
    urls: readonly string[],
    pending: PendingRequest,
    {afterMs, address}: Resend,
  ): Promise<Ending> {
    if (urls.length < 2) return {kind: 'no_answer', detail: 'only one address'};
    if (afterMs > 0) await delay(afterMs);
    const until = performance.now() + pending.work.deadlineMs + GRACE_MS;
    return this.sendCopy(urls[address % urls.length]!, {...pending, until});
  }

  private async sendCopy(
    url: string,
    pending: PendingRequest,
  ): Promise<Ending> {
    const {work, path, until, copies} = pending;
    const key = nextKeyOf(pending);
    const sentAt = performance.now();
    const copy = {key: key ?? path, url, sentAt};
    const index = copies.push({...copy, endedAt: until, ending: NOT_ENDED}) - 1;
    const headers: Record<string, string> = {};
    // Idempotent requests have a key too: it identifies them in the ledgers.
    if (key) headers[CallerHeader.IdempotencyKey] = key;
    const ending = await this.exchange(
      `${url}/s/${work.serviceId}${path}`,
      {
        method: work.method,
        headers,
        body: work.method === 'GET' ? null : path,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(
          Math.max(1, Math.ceil(until - performance.now())),
        ),
      },
      {path, key},
    );
    copies[index] = {...copy, endedAt: performance.now(), ending};
    return ending;
  }

  private async exchange(
    url: string,
    options: Parameters<typeof request>[1],
    expected: Expected,
  ): Promise<Ending> {
    try {
      const res = await request(url, options);
      const text = await res.body.text();
      return endingOf(res.statusCode, res.headers, text, expected);
    } catch (err) {
      return {kind: 'no_answer', detail: detailOf(err as Error)};
    }
  }

  private async addressesOf(
    serviceId: string,
  ): Promise<AddressAnswer | undefined> {
    const cached = this.addressCache.get(serviceId);
    if (cached && performance.now() < cached.validUntil) return cached.answer;
    const lookup = this.lookups.get(serviceId) ?? this.lookUp(serviceId);
    this.lookups.set(serviceId, lookup);
    try {
      return await lookup;
    } catch {
      return undefined;
    } finally {
      this.lookups.delete(serviceId);
    }
  }

  private async lookUp(serviceId: string): Promise<AddressAnswer> {
    for (const url of this.instanceUrls()) {
      try {
        const res = await request(`${url}/v1/addresses/${serviceId}`, {
          dispatcher: this.agent,
          signal: AbortSignal.timeout(1_000),
        });
        const answer = (await res.body.json()) as AddressAnswer;
        if (res.statusCode !== 200) continue;
        const validUntil = performance.now() + answer.keepForMs;
        this.addressCache.set(serviceId, {answer, validUntil});
        return answer;
      } catch {
        // This instance cannot be reached: ask the next one.
      }
    }
    throw new Error(`no instance returned the addresses of ${serviceId}`);
  }
}

/** Path and key that an answer to the request must repeat. */
interface Expected {
  readonly path: string;
  readonly key: string | undefined;
}

/** Detail of a request without an answer when its caller gave up. */
export const NO_ANSWER_IN_TIME = 'no answer in time';

/** Stands for the end of a copy that has not ended yet. */
const NOT_ENDED: Ending = {kind: 'no_answer', detail: 'not ended'};

/**
 * Returns the key of the next copy. Copies of idempotent requests have
 * different keys, so that each one is checked against its own answer.
 */
function nextKeyOf({work, key, copies}: PendingRequest): string | undefined {
  return key && work.idempotent ? `${key}-${copies.length + 1}` : key;
}

/**
 * Returns the end that counts for the caller: a wrong answer, else a complete
 * answer, else a refusal, else the first end.
 */
function finalEnding(endings: readonly Ending[]): Ending {
  const wrong = endings.find(e => e.kind === 'wrong_answer');
  const answered = endings.find(e => e.kind === 'answered');
  const refused = endings.find(e => e.kind === 'refused');
  return wrong ?? answered ?? refused ?? endings[0]!;
}

function detailOf(err: Error & {code?: unknown}): string {
  if (err.name === 'TimeoutError') return NO_ANSWER_IN_TIME;
  return typeof err.code === 'string' ? err.code : err.message;
}

function endingOf(
  status: number,
  headers: Record<string, string | string[] | undefined>,
  text: string,
  expected: Expected,
): Ending {
  const outcome = headers[CallerHeader.Outcome];
  switch (outcome) {
    case 'ran':
      return checkAnswer(status, text, expected);
    case 'not-run':
    case 'unknown': {
      const {reason} = JSON.parse(text) as Refusal;
      return {kind: 'refused', outcome, reason};
    }
    default:
      return {kind: 'wrong_answer', detail: `no outcome, status ${status}`};
  }
}

function checkAnswer(status: number, text: string, expected: Expected): Ending {
  if (status >= 500) return {kind: 'answered', status, server: ''};
  try {
    const body = JSON.parse(text) as BackendAnswer;
    const {path, key} = body;
    if (path === expected.path && key === expected.key) {
      return {kind: 'answered', status, server: body.server};
    }
    return {kind: 'wrong_answer', detail: `answer to ${path} ${key}`};
  } catch {
    return {kind: 'wrong_answer', detail: `truncated: ${text.length} bytes`};
  }
}
