/** Kinds of request that callers send, and what callers observe. */
import type {Outcome, Rank} from '@ragworthall/contracts';

/** Placeholder in a path for the unique part of each request. */
export const UNIQUE_PLACEHOLDER = '{unique}';

/** A kind of request: one contract of a service. */
export interface RequestKind {
  /** `member/name`. */
  readonly serviceId: string;
  readonly contract: string;
  readonly rank: Rank;
  readonly method: 'GET' | 'POST' | 'PUT';
  /**
   * Path below the service. The unique part of a request replaces
   * {@link UNIQUE_PLACEHOLDER}, or is appended if there is none.
   */
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

/** How a request ended for its caller. */
export type Ending =
  /** A complete answer to the request. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly server: string;
    }
  /** An answer to another request, without an outcome, or truncated. */
  | {readonly kind: 'wrong_answer'; readonly detail: string}
  /** A refusal. */
  | {
      readonly kind: 'refused';
      readonly outcome: Exclude<Outcome, 'ran'>;
      readonly reason: string;
    }
  /** None of the addresses answered. */
  | {readonly kind: 'no_answer'; readonly detail: string};

/** One copy of a request, sent to one instance, and how it ended. */
export interface SentCopy {
  /** Key (or path) that identifies it in the ledgers of backend servers. */
  readonly key: string;
  /** Base URL of the instance to which it was sent. */
  readonly url: string;
  /** By the clock of the load generator, milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
  readonly ending: Ending;
}

/** A request as its caller observed it; times by the generator's clock, ms. */
export interface Observation {
  readonly work: RequestKind;
  /**
   * Idempotency key, or the path if there is none. Copies of idempotent
   * requests add a number to it.
   */
  readonly id: string;
  /** When the request was due, even if it could not be sent then. */
  readonly dueAt: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Number of copies that were sent. */
  readonly sends: number;
  /** All copies; `ending` is the end that counts for the caller. */
  readonly copies: readonly SentCopy[];
  readonly ending: Ending;
}

/** Returns the latency since the request was due, milliseconds. */
export function latencyOf(observation: Observation): number {
  return observation.endedAt - observation.dueAt;
}

/** Returns whether a request was answered without error within its target. */
export function isWithinTarget(observation: Observation): boolean {
  return (
    observation.ending.kind === 'answered' &&
    observation.ending.status < 500 &&
    latencyOf(observation) <= observation.work.targetMs
  );
}
