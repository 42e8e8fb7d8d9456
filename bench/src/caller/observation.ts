/** Kinds of request that callers send, and what they saw. */
import type {Outcome, Rank} from '@ragworthall/contracts';

/** Stands for what is unique in the path of a request. */
export const UNIQUE_PLACEHOLDER = '{unique}';

/** One kind of request of one service. */
export interface RequestKind {
  /** `member/name`. */
  readonly serviceId: string;
  readonly contract: string;
  readonly rank: Rank;
  readonly method: 'GET' | 'POST' | 'PUT';
  /** Path below the service, with {@link UNIQUE_PLACEHOLDER} or to be followed by it. */
  readonly path: string;
  readonly idempotent: boolean;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

/** Returns the path of one request. */
export function pathOf(work: RequestKind, unique: string): string {
  return work.path.includes(UNIQUE_PLACEHOLDER)
    ? work.path.replace(UNIQUE_PLACEHOLDER, unique)
    : `${work.path}/${unique}`;
}

/** How a caller's request ended. */
export type Ending =
  /** A whole answer that belongs to the request. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly server: string;
    }
  /** An answer to another request, or one cut short. */
  | {readonly kind: 'wrong_answer'; readonly detail: string}
  /** A refusal. */
  | {
      readonly kind: 'refused';
      readonly outcome: Exclude<Outcome, 'ran'>;
      readonly reason: string;
    }
  /** No address gave any answer. */
  | {readonly kind: 'no_answer'; readonly detail: string};

/** One send of a request and how it ended. */
export interface SentCopy {
  /** The key that it was sent under, by which the servers' ledgers go. */
  readonly key: string;
  /** Base URL of the instance that it was sent to. */
  readonly url: string;
  /** On the generator's clock, milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
  readonly ending: Ending;
}

/** One request as its caller saw it; times on the generator's clock, ms. */
export interface Observation {
  readonly work: RequestKind;
  /** Its idempotency key; each send of idempotent work adds a number. */
  readonly id: string;
  /** When it was due, whether or not it could be sent then. */
  readonly dueAt: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Times that it was sent to an address. */
  readonly sends: number;
  /** What became of each send; `ending` is the one that the caller goes by. */
  readonly copies: readonly SentCopy[];
  readonly ending: Ending;
}

/** Latency from the time that the request was due, milliseconds. */
export function latencyOf(seen: Observation): number {
  return seen.endedAt - seen.dueAt;
}

/** Whether it was answered within its target. */
export function isWithinTarget(seen: Observation): boolean {
  return (
    seen.ending.kind === 'answered' &&
    seen.ending.status < 500 &&
    latencyOf(seen) <= seen.work.targetMs
  );
}
