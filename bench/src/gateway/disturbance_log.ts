/**
 * Records when instances of the gateway were cut off from the store, paused or
 * stopped, so that time limits are checked only for undisturbed instances.
 */

/**
 * Time after a disturbance in which time limits are not checked, milliseconds.
 */
export const SETTLING_MS = 3_000;

interface Disturbance {
  /** Undefined if all instances were affected. */
  readonly instance: string | undefined;
  readonly from: number;
  to: number;
}

/** Disturbances of instances and of the store; times on the callers' clock. */
export class DisturbanceLog {
  private readonly disturbances: Disturbance[] = [];

  /**
   * Records the start of a disturbance; the returned function records its end.
   */
  begin(instance: string | undefined): () => void {
    const disturbance = {instance, from: performance.now(), to: Infinity};
    this.disturbances.push(disturbance);
    return () => (disturbance.to = performance.now());
  }

  /** Whether an instance was undisturbed and settled for the whole interval. */
  isStable(instance: string, from: number, to: number): boolean {
    return !this.disturbances.some(
      disturbance =>
        (disturbance.instance ?? instance) === instance &&
        disturbance.from <= to &&
        disturbance.to + SETTLING_MS >= from,
    );
  }
}
