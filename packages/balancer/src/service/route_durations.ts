/** How long the requests of each route of a service take and may take. */
import type {Route} from '../route/route.js';

/**
 * Largest share of the usual patience of a route's callers that its baseline may
 * take in the decision whether a request still fits. Callers with all their time
 * are never refused because of an estimate: it could not be corrected any more.
 */
const MAX_PATIENCE_SHARE = 0.5;
/** Factor by which the known patience shrinks with each caller who has less. */
const PATIENCE_DECAY = 0.999;
/**
 * Baseline assumed before the first measurement, as a fraction of the target.
 */
const ASSUMED_BASELINE = 0.35;
/** Weight of the newest sample in the baseline. */
const SAMPLE_WEIGHT = 0.1;

/** Measured durations and patience, by route. */
export class RouteDurations {
  /** Usual duration of a request on an idle server, by route, milliseconds. */
  private readonly baselines = new Map<string, number>();
  /** Longest time for which callers of a route wait, milliseconds. */
  private readonly patience = new Map<string, number>();

  /** Whether a request of the route was measured. */
  isMeasured(route: string): boolean {
    return this.baselines.has(route);
  }

  /** Usual duration of a route's requests on an idle server, milliseconds. */
  baselineMs(route: Route): number {
    return this.baselines.get(route.name) ?? route.targetMs * ASSUMED_BASELINE;
  }

  /** Smallest baseline of all routes, milliseconds; 0 while none is known. */
  get shortestBaselineMs(): number {
    return this.baselines.size > 0 ? Math.min(...this.baselines.values()) : 0;
  }

  /**
   * Measured baseline of a route, within what its callers usually wait for; 0
   * while nothing was measured.
   */
  expectedMs(route: Route): number {
    const baselineMs = this.baselines.get(route.name) ?? 0;
    const maxMs = (this.patience.get(route.name) ?? 0) * MAX_PATIENCE_SHARE;
    return Math.min(baselineMs, maxMs);
  }

  /** Records a duration, converted to that on an idle server. */
  recordDuration(route: string, ms: number): void {
    const known = this.baselines.get(route);
    const baseline =
      known === undefined ? ms : known + SAMPLE_WEIGHT * (ms - known);
    this.baselines.set(route, baseline);
  }

  /** Records the time for which the caller of a new request waits. */
  recordPatience(route: string, waitsMs: number): void {
    const known = this.patience.get(route) ?? 0;
    this.patience.set(route, Math.max(waitsMs, known * PATIENCE_DECAY));
  }
}
