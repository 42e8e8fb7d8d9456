/**
 * When a request that takes long is sent to a second server. A server that was
 * fast at the start can turn slow while it works, and answers can be lost.
 */

/** Usual times after which a first look may follow. */
const FIRST_LOOK_TIMES = 0.7;
/** Usual times before the end of the target at which looks begin. */
const LOOK_BEFORE_TIMES = 3;
/** Usual times between two looks. */
const LOOK_EVERY_TIMES = 0.5;
/** Shortest time between two looks, milliseconds. */
const MIN_LOOK_MS = 60;
/** Slowness from which a server is not waited for. */
const SLOW = 2;
/** Usual times after which no answer is waited for, whatever its server says. */
const OVERDUE_TIMES = 1.5;
/** Usual times that a second server needs at least. */
const SECOND_TIMES = 1.05;
/** The same for a last try whose answer comes late in any case. */
const RESCUE_TIMES = 2.5;

/** What is known of a request that waits for its answer. */
export interface PendingAnswer {
  /** Usual time of such requests on an idle server, milliseconds. */
  readonly usualMs: number;
  readonly targetMs: number;
  /** Time since the request arrived, milliseconds. */
  readonly sinceArrivalMs: number;
  /** Time since it was sent, milliseconds. */
  readonly sinceSendMs: number;
  /** Time until nobody waits for the answer, milliseconds. */
  readonly leftMs: number;
}

/** What to do about a missing answer. */
export type HedgeAdvice =
  | {readonly kind: 'look_in'; readonly ms: number}
  /** Ask the server how slow it is now. */
  | {readonly kind: 'ask'}
  /** Send the request to a second server that is good. */
  | {readonly kind: 'hedge'}
  | {readonly kind: 'leave'};

/** Advises on a missing answer; `slowness` is what the server says now, if known. */
export function adviseHedge(
  pending: PendingAnswer,
  slowness: number | undefined,
): HedgeAdvice {
  const {usualMs, targetMs, sinceArrivalMs, sinceSendMs, leftMs} = pending;
  if (leftMs < SECOND_TIMES * usualMs) return {kind: 'leave'};
  const firstLookMs = Math.max(
    FIRST_LOOK_TIMES * usualMs,
    targetMs - LOOK_BEFORE_TIMES * usualMs - (sinceArrivalMs - sinceSendMs),
  );
  if (sinceSendMs < firstLookMs) {
    return {kind: 'look_in', ms: firstLookMs - sinceSendMs};
  }
  const isReachable = sinceArrivalMs + SECOND_TIMES * usualMs <= targetMs;
  if (!isReachable) {
    const rescueMs = RESCUE_TIMES * usualMs - sinceSendMs;
    return rescueMs > 0 ? {kind: 'look_in', ms: rescueMs} : {kind: 'hedge'};
  }
  if (sinceSendMs >= OVERDUE_TIMES * usualMs) return {kind: 'hedge'};
  if (slowness === undefined) return {kind: 'ask'};
  return slowness >= SLOW ? {kind: 'hedge'} : lookAgain(usualMs);
}

/** Returns when to look again if no second server could be had. */
export function lookAgain(usualMs: number): HedgeAdvice {
  return {
    kind: 'look_in',
    ms: Math.max(MIN_LOOK_MS, LOOK_EVERY_TIMES * usualMs),
  };
}
