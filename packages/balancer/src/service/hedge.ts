/**
 * Decides when a request that takes long is sent to a second server. A server
 * can become slow while it processes a request, and answers can be lost.
 * Durations are multiples of the baseline, the usual duration of such requests
 * on an idle server.
 */

/** Minimum time from the send to the first check, in baselines. */
const FIRST_CHECK_FACTOR = 0.7;
/** Time before the target expires at which checks begin, in baselines. */
const CHECK_BEFORE_TARGET_FACTOR = 3;
/** Time between two checks, in baselines. */
const CHECK_INTERVAL_FACTOR = 0.5;
/** Minimum time between two checks, milliseconds. */
const MIN_CHECK_INTERVAL_MS = 60;
/** Reported slowness of a server from which a hedge is sent. */
const HEDGE_SLOWNESS = 2;
/**
 * Time since the send after which a hedge is sent whatever the server reports,
 * in baselines.
 */
const OVERDUE_FACTOR = 1.5;
/** Minimum time that a second server needs to answer, in baselines. */
const SECOND_SEND_FACTOR = 1.05;
/**
 * Time since the send after which a hedge is sent if the target can no longer
 * be met, in baselines.
 */
const LATE_HEDGE_FACTOR = 2.5;

/** Timing of a request that is waiting for its answer. */
export interface PendingAnswer {
  /** Usual duration of such requests on an idle server, milliseconds. */
  readonly baselineMs: number;
  readonly targetMs: number;
  /** Time since the request arrived, milliseconds. */
  readonly sinceArrivalMs: number;
  /** Time since the request was sent, milliseconds. */
  readonly sinceSendMs: number;
  /** Time until the answer is no longer needed, milliseconds. */
  readonly timeLeftMs: number;
}

/** What to do about an answer that is missing. */
export type HedgeAdvice =
  /** Ask for advice again after this time. */
  | {readonly kind: 'recheck'; readonly ms: number}
  /** Ask the server for its current slowness. */
  | {readonly kind: 'ask'}
  /** Send the request to a second server, if a good one is available. */
  | {readonly kind: 'hedge'}
  /** Wait for the answer without further checks. */
  | {readonly kind: 'none'};

/**
 * Returns what to do about a missing answer; `slowness` is what the server
 * reports now, if known.
 */
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

/**
 * Returns the advice to check again, for example if no second server is
 * available.
 */
export function checkLater(baselineMs: number): HedgeAdvice {
  return {
    kind: 'recheck',
    ms: Math.max(MIN_CHECK_INTERVAL_MS, CHECK_INTERVAL_FACTOR * baselineMs),
  };
}
