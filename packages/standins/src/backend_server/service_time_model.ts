/** How long a backend server takes to run a request or answer a probe. */
import {ColdStart} from './cold_start.js';
import type {ColdStartOptions} from './cold_start.js';
import type {ServiceTimeSampler} from './service_time_sampler.js';

/**
 * Sampled service times, scaled by a cold start and a straggler fault, plus the
 * time spent on probes and new connections.
 */
export class ServiceTimeModel {
  private coldStart: ColdStart | undefined;
  private pendingOverheadMs = 0;

  /** Factor on all times from the straggler fault; 1 without it. */
  stragglerFactor = 1;

  constructor(private readonly sampler: ServiceTimeSampler) {}

  /** Begins a cold start. */
  beginColdStart(options: ColdStartOptions, now: number): void {
    this.coldStart = new ColdStart(options, now);
  }

  /** Whether a cold start is in progress. */
  isColdStarting(now: number): boolean {
    return this.coldStart?.isActive(now) ?? false;
  }

  /** Adds overhead, in milliseconds, to the duration of the next run. */
  addOverhead(ms: number): void {
    this.pendingOverheadMs += ms;
  }

  /** Duration in ms of a run that starts now, including pending overhead. */
  nextRunMs(now: number): number {
    const runMs = this.applySlowdown(this.sampler.next(), now);
    const overheadMs = this.pendingOverheadMs;
    this.pendingOverheadMs = 0;
    return runMs + overheadMs;
  }

  /** Scales a duration in milliseconds by the slow factors in effect now. */
  applySlowdown(ms: number, now: number): number {
    const coldStartFactor = this.coldStart?.slowFactor(now) ?? 1;
    return ms * coldStartFactor * this.stragglerFactor;
  }
}
