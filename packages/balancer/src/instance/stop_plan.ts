/**
 * Decides which requests an instance still takes while it stops. A request that
 * is cut off at the end of the grace period may have run; one that is refused at
 * once is sent again elsewhere.
 */

/** Multiple of the usual duration that a slow server may take. */
const SLOW_FACTOR = 6;
/** Shortest time for a request to run, or for its refusal to be written, milliseconds. */
const MIN_RUN_MS = 250;

/** A request that was read during a stop, or waits for a server in it. */
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

  /** Whether the request, if it is sent now, ends before it would be cut off. */
  takes({endsAt, usualMs}: LateRequest, now: number): boolean {
    const slowMs = Math.max(SLOW_FACTOR * usualMs, MIN_RUN_MS);
    return Math.min(endsAt, now + slowMs) <= this.endsAt;
  }
}
