/**
 * Decides which requests an instance still takes while it stops. A request that
 * is cut off at the end of the grace period may have run; one that is refused at
 * once is sent again elsewhere.
 */

/** Multiple of the usual duration that a slow server may take. */
const SLOW_FACTOR = 6;

/** A request that was read during a stop. */
export interface LateRequest {
  /** Time at which its answer is no longer needed, milliseconds. */
  readonly endsAt: number;
  /** Usual duration of such requests, milliseconds; 0 if unknown. */
  readonly usualMs: number;
}

/** The stop of one instance. */
export class StopPlan {
  /** @param endsAt Time at which requests in flight are cut off, milliseconds. */
  constructor(private readonly endsAt: number) {}

  /** Whether the request ends before it would be cut off. */
  takes({endsAt, usualMs}: LateRequest, now: number): boolean {
    const slowMs = usualMs > 0 ? SLOW_FACTOR * usualMs : 0;
    return Math.min(endsAt, now + slowMs) <= this.endsAt;
  }
}
