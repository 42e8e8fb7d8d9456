/**
 * Circuit breaker for requests to one component of the platform. While it is
 * open, requests fail immediately; afterwards it is half-open and admits one
 * request at a time to test whether the component has recovered.
 */

/** Number of consecutive failures that open the breaker. */
const FAILURE_THRESHOLD = 5;
/**
 * Time for which the breaker first stays open, milliseconds; it doubles with
 * each failed test request.
 */
const INITIAL_OPEN_MS = 250;
/** Longest time for which the breaker stays open, milliseconds. */
const MAX_OPEN_MS = 2_000;

/** State of a breaker. */
export type CircuitBreakerState =
  | {readonly kind: 'closed'; readonly failures: number}
  | {readonly kind: 'open'; readonly until: number; readonly openMs: number}
  /** A test request is in flight. */
  | {readonly kind: 'half_open'; readonly openMs: number};

/** The circuit breaker of one component of the platform. */
export class CircuitBreaker {
  private current: CircuitBreakerState = {kind: 'closed', failures: 0};

  /** @param random Returns a random number from 0 to 1. */
  constructor(private readonly random: () => number) {}

  get state(): CircuitBreakerState {
    return this.current;
  }

  /**
   * Whether a request may be sent. The outcome of an admitted request must be
   * recorded, because a half-open breaker admits no other until then.
   */
  tryAdmit(now: number): boolean {
    switch (this.current.kind) {
      case 'closed':
        return true;
      case 'half_open':
        return false;
      case 'open': {
        const {until, openMs} = this.current;
        if (now < until) return false;
        this.current = {kind: 'half_open', openMs};
        return true;
      }
      default:
        throw new Error(`unexpected state: ${this.current satisfies never}`);
    }
  }

  /** Records that a request succeeded. */
  recordSuccess(): void {
    this.current = {kind: 'closed', failures: 0};
  }

  /** Records that a request got no answer or a server error. */
  recordFailure(now: number): void {
    switch (this.current.kind) {
      case 'closed': {
        const failures = this.current.failures + 1;
        if (failures < FAILURE_THRESHOLD)
          this.current = {kind: 'closed', failures};
        else this.open(INITIAL_OPEN_MS, now);
        return;
      }
      case 'half_open':
        this.open(Math.min(this.current.openMs * 2, MAX_OPEN_MS), now);
        return;
      case 'open':
        // The request was admitted before the breaker opened.
        return;
      default:
        throw new Error(`unexpected state: ${this.current satisfies never}`);
    }
  }

  private open(openMs: number, now: number): void {
    // Half of the time is random, so that instances do not retry in step.
    const until = now + openMs * (0.5 + this.random() / 2);
    this.current = {kind: 'open', until, openMs};
  }
}
