/** When to ask the store again after a call that failed. */

/** Bounds of the delay, milliseconds. */
export interface RetryTiming {
  /** Delay after the first failed call, milliseconds; it doubles with each failure. */
  readonly minRetryMs: number;
  /** Maximum delay after a failed call, milliseconds. */
  readonly maxRetryMs: number;
}

/**
 * Returns the delay until the next call, milliseconds. A call into silence takes
 * long until it fails; that time counts, so that the return of the store, or of
 * the path to it, is noticed as soon as after calls that fail at once.
 *
 * @param failures Number of calls that had failed before this one.
 * @param spentMs Time until the call failed.
 */
export function retryDelayAfter(
  failures: number,
  spentMs: number,
  {minRetryMs, maxRetryMs}: RetryTiming,
): number {
  const delayMs = Math.min(maxRetryMs, minRetryMs * 2 ** Math.min(failures, 8));
  return Math.max(minRetryMs, delayMs - spentMs);
}
