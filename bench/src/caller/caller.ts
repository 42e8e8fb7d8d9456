/**
 * A caller as its members write them: asks which address to use, keeps the
 * answer for as long as it may, and sends a request again under its own key
 * when a connection fails.
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

/** Time that a caller waits beyond the deadline, milliseconds. */
const PATIENCE_MS = 1_000;
/** Addresses that a caller tries for one request. */
const MAX_SENDS = 4;

interface KeptAnswer {
  readonly answer: AddressAnswer;
  readonly validUntil: number;
}

/** One request on its way. */
interface Sending {
  readonly work: RequestKind;
  readonly path: string;
  /** Undefined where no address answer gave out a prefix. */
  readonly key: string | undefined;
  /** Time at which the caller gives up, milliseconds. */
  readonly until: number;
  readonly copies: SentCopy[];
}

/** A resend that does not wait for the first send's end. */
export interface Resend {
  /** Time after the first send, milliseconds. */
  readonly afterMs: number;
  /** Which of the addresses it goes to, from 0. */
  readonly address: number;
}

/** Sends requests to the addresses of a fleet. */
export class Caller implements AsyncDisposable {
  private readonly agent = new Agent({pipelining: 1});
  private readonly answers = new Map<string, KeptAnswer>();
  private readonly asking = new Map<string, Promise<AddressAnswer>>();
  private count = 0;

  constructor(
    /** Prefix of its requests' identities, unique in the run. */
    private readonly name: string,
    /** Base URLs to ask for addresses; changes as daemons are replaced. */
    private readonly entryUrls: () => readonly string[],
  ) {}

  /** Sends one request and waits for its end. Never rejects. */
  async send(
    work: RequestKind,
    dueAt: number,
    resend = false,
  ): Promise<Observation> {
    const resends = resend ? [{afterMs: 0, address: 1}] : [];
    return this.sendWithResends(work, dueAt, resends);
  }

  /** Sends one request, and copies of it whatever becomes of the first. */
  async sendWithResends(
    work: RequestKind,
    dueAt: number,
    resends: readonly Resend[],
  ): Promise<Observation> {
    this.count += 1;
    const unique = `${this.name}-${this.count}`;
    const path = pathOf(work, unique);
    const sentAt = performance.now();
    const until = sentAt + work.deadlineMs + PATIENCE_MS;
    const answer = await this.addressesOf(work.serviceId);
    const key = answer && `${answer.keyPrefix}.${unique}`;
    const urls = answer?.addresses.map(a => a.url) ?? [];
    const sending: Sending = {work, path, key, until, copies: []};
    const others = resends.map(r => this.resend(urls, sending, r));
    const first = await this.sendUntilEnded(urls, sending);
    const endings = [first, ...(await Promise.all(others))];
    const {copies} = sending;
    return {
      work,
      id: key ?? path,
      dueAt,
      sentAt,
      endedAt: performance.now(),
      sends: copies.length,
      copies,
      ending: bestOf(endings),
    };
  }

  /**
   * Sends a request whose content is given, once, under a new key that has the
   * content in it; its answer does not matter.
   */
  async sendContent(work: RequestKind, content: string): Promise<void> {
    this.count += 1;
    const answer = await this.addressesOf(work.serviceId);
    if (!answer) return;
    const key = `${answer.keyPrefix}.${content}-${this.name}-${this.count}`;
    const path = pathOf(work, content);
    const until = performance.now() + work.deadlineMs + PATIENCE_MS;
    const sending: Sending = {work, path, key, until, copies: []};
    await this.sendOnce(answer.addresses[0]!.url, sending);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  /** Tries the addresses in turn while connections fail. */
  private async sendUntilEnded(
    urls: readonly string[],
    sending: Sending,
  ): Promise<Ending> {
    let ending: Ending = {kind: 'no_answer', detail: 'no address'};
    for (let i = 0; i < MAX_SENDS && urls.length > 0; i += 1) {
      if (performance.now() >= sending.until) break;
      ending = await this.sendOnce(urls[i % urls.length]!, sending);
      if (ending.kind !== 'no_answer') break;
      this.answers.delete(sending.work.serviceId);
    }
    return ending;
  }

  private async resend(
    urls: readonly string[],
    sending: Sending,
    {afterMs, address}: Resend,
  ): Promise<Ending> {
    if (urls.length < 2) return {kind: 'no_answer', detail: 'one address'};
    if (afterMs > 0) await delay(afterMs);
    const until = performance.now() + sending.work.deadlineMs + PATIENCE_MS;
    return this.sendOnce(urls[address % urls.length]!, {...sending, until});
  }

  private async sendOnce(url: string, sending: Sending): Promise<Ending> {
    const {work, path, until, copies} = sending;
    const key = keyOfSend(sending);
    const sentAt = performance.now();
    const copy = {key: key ?? path, url, sentAt};
    const at = copies.push({...copy, endedAt: until, ending: LEFT_OPEN}) - 1;
    const headers: Record<string, string> = {};
    // Idempotent requests carry one too: the servers' ledgers go by it.
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
    copies[at] = {...copy, endedAt: performance.now(), ending};
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
    const kept = this.answers.get(serviceId);
    if (kept && performance.now() < kept.validUntil) return kept.answer;
    const asking = this.asking.get(serviceId) ?? this.ask(serviceId);
    this.asking.set(serviceId, asking);
    try {
      return await asking;
    } catch {
      return undefined;
    } finally {
      this.asking.delete(serviceId);
    }
  }

  private async ask(serviceId: string): Promise<AddressAnswer> {
    for (const url of this.entryUrls()) {
      try {
        const res = await request(`${url}/v1/addresses/${serviceId}`, {
          dispatcher: this.agent,
          signal: AbortSignal.timeout(1_000),
        });
        const answer = (await res.body.json()) as AddressAnswer;
        if (res.statusCode !== 200) continue;
        const validUntil = performance.now() + answer.keepForMs;
        this.answers.set(serviceId, {answer, validUntil});
        return answer;
      } catch {
        // This instance is gone: ask the next.
      }
    }
    throw new Error(`no instance answers for ${serviceId}`);
  }
}

/** What an answer must say of the request that it belongs to. */
interface Expected {
  readonly path: string;
  readonly key: string | undefined;
}

/** What a caller saw that had no answer when it gave up. */
export const NO_ANSWER_IN_TIME = 'no answer in time';

/** The end of a send that has none yet. */
const LEFT_OPEN: Ending = {kind: 'no_answer', detail: 'left open'};

/**
 * Returns the key of the next send. Sends of idempotent work are told apart, so
 * that each is judged by what it was told itself.
 */
function keyOfSend({work, key, copies}: Sending): string | undefined {
  return key && work.idempotent ? `${key}-${copies.length + 1}` : key;
}

/** The end that a caller goes by: a whole answer, or else the first end. */
function bestOf(endings: readonly Ending[]): Ending {
  const wrong = endings.find(e => e.kind === 'wrong_answer');
  const answered = endings.find(e => e.kind === 'answered');
  const told = endings.find(e => e.kind === 'refused');
  return wrong ?? answered ?? told ?? endings[0]!;
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
      return answeredOf(status, text, expected);
    case 'not-run':
    case 'unknown': {
      const {reason} = JSON.parse(text) as Refusal;
      return {kind: 'refused', outcome, reason};
    }
    default:
      return {kind: 'wrong_answer', detail: `no outcome, status ${status}`};
  }
}

function answeredOf(status: number, text: string, expected: Expected): Ending {
  if (status >= 500) return {kind: 'answered', status, server: ''};
  try {
    const body = JSON.parse(text) as BackendAnswer;
    const {path, key} = body;
    if (path === expected.path && key === expected.key) {
      return {kind: 'answered', status, server: body.server};
    }
    return {kind: 'wrong_answer', detail: `answer of ${path} ${key}`};
  } catch {
    return {kind: 'wrong_answer', detail: `cut short: ${text.length} bytes`};
  }
}
