/** When a request that takes long is sent to a second server. */

/** Usual times that a first server gets at least. */
const MIN_TIMES = 1.5;
/** Usual times that a second server is expected to need at most. */
const SECOND_TIMES = 1.35;
/** Time for finding the second server, milliseconds. */
const SEARCH_MS = 30;

/**
 * Returns how long to wait for the first answer: up to the last moment at which
 * a second server would still answer within the target, but no shorter than
 * answers commonly take. Undefined if the usual time is not known yet.
 */
export function hedgeDelayMs(
  usualMs: number | undefined,
  targetMs: number,
  elapsedMs: number,
): number | undefined {
  if (usualMs === undefined) return undefined;
  const lastMoment = targetMs - SECOND_TIMES * usualMs - SEARCH_MS - elapsedMs;
  return Math.max(MIN_TIMES * usualMs, lastMoment);
}
