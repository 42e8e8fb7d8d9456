/**
 * Advises a refused caller when to come back. Answers an overload and the return
 * of many callers at once: they come back when the requests that wait now have
 * been served, and not all at the same moment.
 */
import type {Random} from '../link/random.js';

/** Shortest delay, milliseconds. */
const MIN_DELAY_MS = 40;
/** Delays are spread by this fraction of their mean to both sides. */
const SPREAD = 0.4;
const RANDOM_STEPS = 1_024;

/** What is known when a request is refused. */
export interface RefusedRequest {
  /** Time for which its caller still waits, milliseconds. */
  readonly timeLeftMs: number;
  /** Usual duration of such a request, milliseconds. */
  readonly baselineMs: number;
  /**
   * Time until the requests that wait now have been served, or a server opens,
   * milliseconds.
   */
  readonly waitMs: number;
}

/**
 * Returns the delay after which a retry makes sense, milliseconds. It leaves time
 * for an answer, if any time is left.
 */
export function retryDelayMs(
  {timeLeftMs, baselineMs, waitMs}: RefusedRequest,
  random: Random,
): number {
  const latestMs = Math.max(MIN_DELAY_MS, timeLeftMs - 2 * baselineMs);
  const meanMs = Math.min(latestMs, Math.max(baselineMs, waitMs));
  const fraction = (2 * random.nextInt(RANDOM_STEPS)) / RANDOM_STEPS - 1;
  return Math.max(MIN_DELAY_MS, meanMs * (1 + SPREAD * fraction));
}

/** The load of one service, as seen by one instance. */
export interface ServiceLoad {
  /** Requests that wait at this instance. */
  readonly waiting: number;
  /** Instances that share the servers; each is assumed to have as many. */
  readonly instances: number;
  /** Slots of all servers that accept work. */
  readonly slots: number;
  readonly baselineMs: number;
}

/** Estimates the time until the waiting requests have been served, milliseconds. */
export function drainTimeMs(load: ServiceLoad): number {
  const {waiting, instances, slots, baselineMs} = load;
  const queued = waiting * Math.max(1, instances);
  return (queued * baselineMs) / Math.max(1, slots);
}
