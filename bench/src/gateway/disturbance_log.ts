/** When instances could know what the store knew. */

/** Time after a disturbance in which bounds on time do not hold, milliseconds. */
export const STABLE_MS = 3_000;

interface Span {
  /** Undefined if all instances were disturbed. */
  readonly instance: string | undefined;
  readonly from: number;
  until: number;
}

/** Disturbances of instances and of the store, on the callers' clock. */
export class DisturbanceLog {
  private readonly spans: Span[] = [];

  /** Notes that a disturbance begins; the result ends it. */
  disturb(instance: string | undefined): () => void {
    const span = {instance, from: performance.now(), until: Infinity};
    this.spans.push(span);
    return () => (span.until = performance.now());
  }

  /** Whether an instance was in touch all the time. */
  holds(instance: string, from: number, to: number): boolean {
    return !this.spans.some(
      span =>
        (span.instance ?? instance) === instance &&
        span.from <= to &&
        span.until + STABLE_MS >= from,
    );
  }
}
