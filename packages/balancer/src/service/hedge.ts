/**
 * When a request that takes long is sent to a second server. A server that was
 * fast at the start can turn slow while it works, and answers can be lost.
 */

/** Usual times after which a first look may follow. */
const FIRST_CHECK_FACTOR = 0.7;
/** Usual times before the end of the target at which looks begin. */
const CHECK_BEFORE_TARGET_FACTOR = 3;
/** Usual times between two looks. */
const CHECK_INTERVAL_FACTOR = 0.5;
/** Shortest time between two looks, milliseconds. */
const MIN_CHECK_INTERVAL_MS = 60;
/** Slowness from which a server is not waited for. */
const HEDGE_SLOWNESS = 2;
/** Usual times after which no answer is waited for, whatever its server says. */
const OVERDUE_FACTOR = 1.5;
/** Usual times that a second server needs at least. */
const SECOND_SEND_FACTOR = 1.05;
/** The same for a last try whose answer comes late in any case. */
const LATE_HEDGE_FACTOR = 2.5;

/** What is known of a request that waits for its answer. */
export interface PendingAnswer {
  /** Usual time of such requests on an idle server, milliseconds. */
  readonly baselineMs: number;
  readonly targetMs: number;
  /** Time since the request arrived, milliseconds. */
  readonly sinceArrivalMs: number;
  /** Time since it was sent, milliseconds. */
  readonly sinceSendMs: number;
  /** Time until nobody waits for the answer, milliseconds. */
  readonly timeLeftMs: number;
}

/** What to do about a missing answer. */
export type HedgeAdvice =
  | {readonly kind: 'recheck'; readonly ms: number}
  /** Ask the server how slow it is now. */
  | {readonly kind: 'ask'}
  /** Send the request to a second server that is good. */
  | {readonly kind: 'hedge'}
  | {readonly kind: 'none'};

/** Advises on a missing answer; `slowness` is what the server says now, if known. */
export function adviseHedge(
  pending: PendingAnswer,
  slowness: number | undefined,
): HedgeAdvice {
  const {baselineMs, targetMs, sinceArrivalMs, sinceSendMs, timeLeftMs} =
    pending;
  if (timeLeftMs < SECOND_SEND_FACTOR * baselineMs) return {kind: 'none'};
  const firstCheckMs = Math.max(
    FIRST_CHECK_FACTOR * baselineMs,
    targetMs -
      CHECK_BEFORE_TARGET_FACTOR * baselineMs -
      (sinceArrivalMs - sinceSendMs),
  );
  if (sinceSendMs < firstCheckMs) {
    return {kind: 'recheck', ms: firstCheckMs - sinceSendMs};
  }
  const canMeetTarget =
    sinceArrivalMs + SECOND_SEND_FACTOR * baselineMs <= targetMs;
  if (!canMeetTarget) {
    const untilLateHedgeMs = LATE_HEDGE_FACTOR * baselineMs - sinceSendMs;
    return untilLateHedgeMs > 0
      ? {kind: 'recheck', ms: untilLateHedgeMs}
      : {kind: 'hedge'};
  }
  if (sinceSendMs >= OVERDUE_FACTOR * baselineMs) return {kind: 'hedge'};
  if (slowness === undefined) return {kind: 'ask'};
  return slowness >= HEDGE_SLOWNESS ? {kind: 'hedge'} : checkLater(baselineMs);
}

/** Returns when to look again if no second server could be had. */
export function checkLater(baselineMs: number): HedgeAdvice {
  return {
    kind: 'recheck',
    ms: Math.max(MIN_CHECK_INTERVAL_MS, CHECK_INTERVAL_FACTOR * baselineMs),
  };
}
