/**
 * The slowest peer that is served. The kernel does not tell what a peer has read: it
 * takes further bytes once a third of its buffer is free, so that progress shows in
 * steps of this size.
 */

/** Part of the kernel's buffer that is free when it takes further bytes, rounded up. */
const STEP_SHARE = 0.36;
const MS_PER_S = 1_000;

/** The slowest peer that is served. */
export interface SlowestReader {
  /** Its pace if it reads all the while, bytes a second. */
  readonly minBytesPerS: number;
  /** What the kernel holds of unread bytes at most. */
  readonly kernelBytes: number;
}

/** The buffer is the largest of Linux, unless it is set up otherwise. */
export const SLOWEST_READER: SlowestReader = {
  minBytesPerS: 16_000,
  kernelBytes: 4_194_304,
};

/**
 * Returns the time without visible progress after which a peer counts as gone while
 * bytes wait for it in this process, milliseconds.
 */
export function stallLimitMs({
  minBytesPerS,
  kernelBytes,
}: SlowestReader = SLOWEST_READER): number {
  return ((kernelBytes * STEP_SHARE) / minBytesPerS) * MS_PER_S;
}
