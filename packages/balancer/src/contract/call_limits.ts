/**
 * The limits of one call: those of its contract, restricted by the limits of the
 * calls it is nested in. They prevent nested calls from outliving, outranking
 * or multiplying the top-level call.
 */
import {type Contract, type Rank} from '@ragworthall/contracts';
import {type Refused, RefusalReason} from '../link/call.js';
import {refusedNotRun} from '../request_key/request_ledger.js';

/** Retries allowed for a top-level call. */
export const DEFAULT_RETRIES = 2;
/** Maximum nesting depth of a call. */
export const MAX_CALL_DEPTH = 16;

/** Context that a call passes to the calls nested in it. */
export interface CallContext {
  /** Deadline of the call, Unix milliseconds. */
  readonly deadline: number;
  readonly rank: Rank;
  /** Retries left for the nested calls. */
  readonly retriesLeft: number;
  /** Nesting depth of the call; 0 at the top level. */
  readonly depth: number;
}

/** Limits that a call runs within. */
export interface CallLimits {
  readonly kind: 'limits';
  /** Time until the deadline, milliseconds; always positive. */
  readonly remainingMs: number;
  readonly rank: Rank;
  /** Retries left for this call and its nested calls together. */
  readonly retriesLeft: number;
  readonly depth: number;
}

/**
 * Computes the limits of a call, or refuses it.
 *
 * @param requestedMs Timeout requested by the caller, milliseconds.
 * @param parent Context of the call that this one is nested in.
 * @param now Unix milliseconds.
 */
export function computeCallLimits(
  contract: Contract,
  requestedMs: number | undefined,
  parent: CallContext | undefined,
  now: number,
): CallLimits | Refused {
  const maxMs = Math.min(contract.deadlineMs, requestedMs ?? Infinity);
  const remainingMs = parent ? Math.min(maxMs, parent.deadline - now) : maxMs;
  if (remainingMs <= 0) return refusedNotRun(RefusalReason.DeadlinePassed);
  const depth = parent ? parent.depth + 1 : 0;
  if (depth > MAX_CALL_DEPTH) return refusedNotRun(RefusalReason.DepthExceeded);
  return {
    kind: 'limits',
    remainingMs,
    rank: parent?.rank ?? contract.rank,
    retriesLeft: Math.min(DEFAULT_RETRIES, parent?.retriesLeft ?? Infinity),
    depth,
  };
}

/**
 * Returns the context that one attempt of a call passes to its nested calls.
 * Each retry already made reduces the retries left for them. The attempts at
 * the lowest level therefore grow with a power of the depth, whose exponent is
 * at most the default number of retries, and not exponentially with the depth.
 *
 * @param retriesMade Retries made before this attempt.
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
