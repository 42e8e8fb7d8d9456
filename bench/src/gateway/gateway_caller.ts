/** Callers of the gateway: they send requests and note what came back. */
import {
  sealOf,
  type CallerResponse,
  sendAsCaller,
} from '@ragworthall/platform/dist/testing/caller_standin.js';
import {Agent} from 'undici';
import {NO_ANSWER_IN_TIME} from '../caller/caller.js';
import type {Ending, Observation, RequestKind} from '../caller/observation.js';

/** Time that callers tell the gateway they wait, milliseconds. */
const WAITS_MS = 2_500;
/** Time after which they go, milliseconds. */
const PATIENCE_MS = 4_000;
const OK = 200;
const SERVER_ERROR = 500;
/** Statuses that promise that the request has not run. */
const NOT_RUN: ReadonlySet<number> = new Set([404, 408, 421, 429, 503]);

const COMMON = {
  serviceId: 's',
  contract: 'route',
  rank: 1,
  targetMs: 500,
  deadlineMs: WAITS_MS,
} as const;

/** What is sent. */
export const WORKS = [
  {...COMMON, method: 'GET', path: '/read', idempotent: true},
  {...COMMON, method: 'POST', path: '/book', idempotent: false},
] as const satisfies readonly RequestKind[];

/** One of the kinds of {@link WORKS}. */
export type GatewayWork = (typeof WORKS)[number];

/** Sends requests over kept connections. */
export class GatewayCaller implements AsyncDisposable {
  readonly observations: Observation[] = [];
  private readonly agent = new Agent();

  constructor(private readonly name: string) {}

  /** Sends one request and notes its end. */
  async send(url: string, work: GatewayWork): Promise<Observation> {
    const id = `${this.name}-${this.observations.length}`;
    const sentAt = performance.now();
    const seen: Observation = {
      work,
      id,
      dueAt: sentAt,
      sentAt,
      endedAt: Infinity,
      sends: 1,
      copies: [],
      ending: {kind: 'no_answer', detail: 'not ended'},
    };
    // Its place is taken now, so that ids stay unique.
    const place = this.observations.push(seen) - 1;
    const ending = await this.exchange(url, work, id);
    const endedAt = performance.now();
    const copies = [{key: id, url, sentAt, endedAt, ending}];
    const ended = {...seen, endedAt, copies, ending};
    this.observations[place] = ended;
    return ended;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  private async exchange(
    url: string,
    {method, path}: GatewayWork,
    id: string,
  ): Promise<Ending> {
    const signal = AbortSignal.timeout(PATIENCE_MS);
    const body = method === 'POST' ? `seat ${id}` : null;
    const call = {id, method, path: `${path}/${id}`, body, timeoutMs: WAITS_MS};
    try {
      const seen = await sendAsCaller(url, {...call, signal}, this.agent);
      return endingOf(id, seen);
    } catch (error) {
      const detail = signal.aborted ? NO_ANSWER_IN_TIME : String(error);
      return {kind: 'no_answer', detail};
    }
  }
}

function endingOf(id: string, {status, seal, body}: CallerResponse): Ending {
  const isSealed = seal === sealOf(id);
  const server = new RegExp(`^ran ${id} at (.+)$`).exec(body)?.[1];
  if (status === OK) {
    if (isSealed && server) return {kind: 'answered', status, server};
    return {kind: 'wrong_answer', detail: `200 with ${seal}: ${body}`};
  }
  if (isSealed && status === SERVER_ERROR) {
    return {kind: 'answered', status, server: 'not told'};
  }
  if (seal !== undefined) {
    return {kind: 'wrong_answer', detail: `${status} with ${seal}`};
  }
  const outcome = NOT_RUN.has(status) ? 'not-run' : 'unknown';
  return {kind: 'refused', outcome, reason: String(status)};
}
