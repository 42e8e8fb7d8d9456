/**
 * The limits of one call: those of its contract, within what the calls above
 * it still allow. They keep calls that nest from outliving, outranking or
 * multiplying the call at the top.
 */
import {type Contract, type Rank} from '@ragworthall/contracts';
import {type Refused, RefusalReason} from '../link/call.js';
import {refusedNotRun} from '../request_key/request_ledger.js';

/** Retries of a call that has no call above it. */
export const DEFAULT_RETRIES = 2;
/** Most calls above a call. */
export const MAX_CALL_DEPTH = 16;

/** What a call tells the calls nested in it. */
export interface CallContext {
  /** Time at which its answer becomes worthless, Unix milliseconds. */
  readonly deadline: number;
  readonly rank: Rank;
  /** Retries that the calls below may still make. */
  readonly retriesLeft: number;
  /** Number of calls above it. */
  readonly depth: number;
}

/** Within what a call runs. */
export interface CallLimits {
  readonly kind: 'limits';
  /** Time until the deadline, milliseconds; above 0. */
  readonly remainingMs: number;
  readonly rank: Rank;
  /** Retries of this call and of those below it together. */
  readonly retriesLeft: number;
  readonly depth: number;
}

/**
 * Decides the limits of a call.
 *
 * @param askedMs Time that the caller allows, milliseconds.
 * @param above Context of the call that this one is nested in.
 * @param now Unix milliseconds.
 */
export function computeCallLimits(
  contract: Contract,
  askedMs: number | undefined,
  above: CallContext | undefined,
  now: number,
): CallLimits | Refused {
  const allowedMs = Math.min(contract.deadlineMs, askedMs ?? Infinity);
  const remainingMs = above
    ? Math.min(allowedMs, above.deadline - now)
    : allowedMs;
  if (remainingMs <= 0) return refusedNotRun(RefusalReason.DeadlinePassed);
  const depth = above ? above.depth + 1 : 0;
  if (depth > MAX_CALL_DEPTH) return refusedNotRun(RefusalReason.DepthExceeded);
  return {
    kind: 'limits',
    remainingMs,
    rank: above?.rank ?? contract.rank,
    retriesLeft: Math.min(DEFAULT_RETRIES, above?.retriesLeft ?? Infinity),
    depth,
  };
}

/**
 * Returns the context that goes down with one attempt of a call. Each retry
 * that was made leaves the calls below with one less: attempts at the bottom
 * grow with a power of the depth that is below the default number of retries,
 * and not exponentially with the depth.
 *
 * @param retriesMade Retries before this attempt.
 * @param remainingMs Time until the call's deadline, milliseconds.
 * @param now Unix milliseconds.
 */
export function nestedCallContext(
  call: Pick<CallLimits, 'rank' | 'retriesLeft' | 'depth'>,
  retriesMade: number,
  remainingMs: number,
  now: number,
): CallContext {
  return {
    deadline: Math.floor(now + remainingMs),
    rank: call.rank,
    retriesLeft: Math.max(0, call.retriesLeft - retriesMade),
    depth: call.depth,
  };
}
