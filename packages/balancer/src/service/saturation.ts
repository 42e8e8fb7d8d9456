/**
 * Decides how many slots of a backend server to use under overload. Many servers
 * slow down when they are nearly full, so that the last slots lower their
 * throughput: three of four slots at full speed finish more than four at 1/1.6.
 */

/** Fraction of the slots in use above which servers commonly slow down. */
export const NEARLY_FULL_UTILIZATION = 0.8;
/** Slowdown that is assumed before any is measured. */
const ASSUMED_SLOWDOWN = 1.6;
/**
 * Measured slowdown below which nearly full servers count as not slowed down. A
 * server that is filled for a moment only shows a small part of its slowdown.
 */
const MAX_HARMLESS_SLOWDOWN = 1.08;
/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.005;
/** One in this many requests may fill a server, to measure its slowdown. */
const TRIAL_INTERVAL = 16;

/** The slowdown of the nearly full servers of one service. */
export class Saturation {
  private measured = ASSUMED_SLOWDOWN;
  private placements = 0;

  /** Duration of a request on a nearly full server, as a multiple of the usual. */
  get slowdown(): number {
    return this.measured < MAX_HARMLESS_SLOWDOWN ? 1 : ASSUMED_SLOWDOWN;
  }

  /**
   * Records a request that was sent to a server that it made nearly full.
   *
   * @param ratio Its duration as a multiple of the usual duration.
   */
  recordNearlyFull(ratio: number): void {
    this.measured += SAMPLE_WEIGHT * (ratio - this.measured);
  }

  /** Returns whether one more request may be sent to a server with this load. */
  mayAdd(load: number, slots: number): boolean {
    if (load >= slots) return false;
    const unaffected = Math.floor(NEARLY_FULL_UTILIZATION * slots);
    if (unaffected === 0 || load + 1 <= unaffected) return true;
    if (slots / this.slowdown > unaffected) return true;
    return this.placements % TRIAL_INTERVAL === TRIAL_INTERVAL - 1;
  }

  /** Records that a request was sent while no server was good. */
  recordPlacement(): void {
    this.placements += 1;
  }
}

/** Returns whether one more request makes a server with this load nearly full. */
export function isNearlyFull(load: number, slots: number): boolean {
  return load + 1 > NEARLY_FULL_UTILIZATION * slots;
}
