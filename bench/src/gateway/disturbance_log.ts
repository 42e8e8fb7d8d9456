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
  /** Whether its process was ended or paused, so that it may have forgotten. */
  readonly interrupts: boolean;
  readonly from: number;
  to: number;
}

/** Disturbances of instances and of the store; times on the callers' clock. */
export class DisturbanceLog {
  private readonly disturbances: Disturbance[] = [];

  /**
   * Records the start of a disturbance; the returned function records its end.
   */
  begin(instance: string | undefined, interrupts = false): () => void {
    const disturbance = {
      instance,
      interrupts,
      from: performance.now(),
      to: Infinity,
    };
    this.disturbances.push(disturbance);
    return () => (disturbance.to = performance.now());
  }

  /** Whether the process of an instance was ended or paused in the interval. */
  wasInterrupted(instance: string, from: number, to: number): boolean {
    return this.disturbances.some(
      disturbance =>
        disturbance.interrupts &&
        disturbance.instance === instance &&
        disturbance.from <= to &&
        disturbance.to >= from,
    );
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
