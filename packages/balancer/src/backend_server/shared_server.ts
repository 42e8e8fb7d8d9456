/**
 * A backend server that several instances send requests to without a common
 * queue. Its load from other instances is known only from its own reports,
 * which are out of date within a fraction of a second.
 */

import {Backpressure, WHOLE_LIMIT} from './backpressure.js';

/** Whether a backend server accepts new requests, according to the registry. */
export const EntryState = {
  Ready: 'ready',
  /** It completes the requests it has and then stops. */
  Leaving: 'leaving',
} as const;

/** One of the values of {@link EntryState}. */
export type EntryState = (typeof EntryState)[keyof typeof EntryState];

/** Registry entry of a backend server. */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: EntryState;
  /** Time for which it is slow after its start, milliseconds. */
  readonly warmUpMs: number;
  /** Start of the server process, Unix milliseconds; 0 if unknown. */
  readonly startedAt: number;
  /** Number of its reports since its start. */
  readonly sequence: number;
}

/** Load reported by a backend server. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Duration of requests relative to normal; 1 is normal. */
  readonly slowness: number;
}

/** Time constant of the exponential decay of a report, milliseconds. */
const REPORT_DECAY_MS = 250;
/** Age up to which a reported number of requests counts in full, milliseconds. */
const LOAD_VALID_MS = 100;
/** Age up to which a reported slowness is considered current, milliseconds. */
const SLOWNESS_VALID_MS = 30;
/** Time for which a sent request may be missing from reports, milliseconds. */
const UNREPORTED_SEND_LIFETIME_MS = 1_000;
/** Slowness assumed for a server without a recent report. */
const TYPICAL_SLOWNESS = 1.7;
/** Fraction of the slots in use above which servers commonly slow down. */
const NEARLY_FULL_UTILIZATION = 0.8;
/** Slowdown assumed for a nearly full server. */
const NEARLY_FULL_SLOWNESS = 1.6;
/** Slowdown assumed for a server that is warming up. */
const WARM_UP_SLOWNESS = 1.8;
/** Half-life of the failure count, milliseconds. */
const FAILURE_HALF_LIFE_MS = 4_000;
/** Increase of the cost factor for each counted failure. */
const FAILURE_PENALTY = 1.5;
/** Factor by which a success reduces the failure count. */
const SUCCESS_DECAY = 0.7;
/** Time for which a server is suspect after the first missing response, milliseconds. */
const FIRST_SUSPICION_MS = 300;
/** Maximum time for which a server is suspect, milliseconds. */
const MAX_SUSPICION_MS = 3_000;
/** Time after which an unanswered load query indicates a busy server, milliseconds. */
const SLOW_LOAD_QUERY_MS = 20;
/** Fraction of the time per slot within which a slot rarely becomes free. */
const MIN_SLOT_WAIT_FRACTION = 0.5;
/** Cost factor of a server with an overdue load query. */
const SLOW_LOAD_QUERY_PENALTY = 3;
/** Cost factor of a server that reports itself unhealthy. */
const UNHEALTHY_PENALTY = 20;

/** State of one backend server, as known to this instance. */
export class SharedServer {
  /** Number of requests from this instance that it runs or queues. */
  inFlight = 0;
  /** Monotonic time of the latest load report, milliseconds. */
  reportedAt = -Infinity;
  /** Monotonic time of the latest load query, milliseconds. */
  loadQueriedAt = -Infinity;
  /** Whether the latest load query is unanswered. */
  isLoadQueryPending = false;
  /** Number of its responses of any kind. */
  responses = 0;
  private report: LoadReport | undefined;
  /** Send times of requests that the latest report does not include. */
  private unreportedSends: number[] = [];
  private failures = 0;
  private failuresUpdatedAt = 0;
  private suspectUntil = -Infinity;
  private consecutiveTimeouts = 0;
  private unhealthy = false;
  private misplaced = false;
  private warmUpEndsAt: number;

  constructor(
    public entry: ServerEntry,
    now: number,
    /** What it states of itself. */
    readonly backpressure = new Backpressure(WHOLE_LIMIT),
  ) {
    this.warmUpEndsAt = now + entry.warmUpMs;
  }

  /** Applies a changed entry of the same server process. */
  update(entry: ServerEntry, now: number): void {
    this.entry = entry;
    this.warmUpEndsAt = now + entry.warmUpMs;
    this.misplaced = false;
  }

  /** Whether it accepts new requests. */
  get acceptsRequests(): boolean {
    return (
      this.entry.state === EntryState.Ready &&
      !this.misplaced &&
      !this.backpressure.isLeaving
    );
  }

  /** Whether it accepts new requests and may be sent one now. */
  isOpen(now: number): boolean {
    return this.acceptsRequests && this.backpressure.nextSendAt(now) <= now;
  }

  /** Whether it recently failed to respond, so that other servers are preferred. */
  isSuspect(now: number): boolean {
    return now < this.suspectUntil;
  }

  /** Returns the age of the latest report, milliseconds. */
  reportAge(now: number): number {
    return now - this.reportedAt;
  }

  /**
   * Estimates the number of requests that it runs or queues. The reported load
   * decays with the age of the report.
   */
  loadAt(now: number): number {
    const {report} = this;
    const reported = report ? report.running + report.waiting : 0;
    const age = Math.max(0, this.reportAge(now) - LOAD_VALID_MS);
    const weight = Math.exp(-age / REPORT_DECAY_MS);
    return Math.max(
      this.inFlight,
      (reported + this.unreportedSends.length) * weight,
    );
  }

  /** Returns the reported slowness if it is recent; 1 is normal. */
  recentSlowness(now: number): number | undefined {
    return this.reportAge(now) <= SLOWNESS_VALID_MS
      ? this.report?.slowness
      : undefined;
  }

  /** Number of slots that it reported, or else that of its entry. */
  get slots(): number {
    return Math.max(1, this.report?.slots ?? this.entry.slots);
  }

  /**
   * Estimates the latency of one more request, as a multiple of the latency on
   * an idle server of normal speed.
   */
  expectedLatencyFactor(now: number, load: number): number {
    const {slots} = this;
    const after = load + 1;
    const weight = Math.exp(-this.reportAge(now) / REPORT_DECAY_MS);
    const reported = this.report?.slowness ?? TYPICAL_SLOWNESS;
    const slowness = reported * weight + TYPICAL_SLOWNESS * (1 - weight);
    const utilizationFactor =
      after > NEARLY_FULL_UTILIZATION * slots ? NEARLY_FULL_SLOWNESS : 1;
    const queueing = 1 + Math.max(0, after - slots) / slots;
    const warmUp = now < this.warmUpEndsAt ? WARM_UP_SLOWNESS : 1;
    return slowness * utilizationFactor * queueing * warmUp;
  }

  /**
   * Estimates the time until a slot becomes free, as a multiple of the latency
   * on an idle server of normal speed; 0 if a slot is free. The estimate is low:
   * a slot rarely becomes free earlier.
   */
  expectedSlotWaitFactor(load: number): number {
    const {slots} = this;
    const excess = load - slots + 1;
    if (excess <= 0) return 0;
    const slowness = this.report?.slowness ?? TYPICAL_SLOWNESS;
    return (MIN_SLOT_WAIT_FRACTION * slowness * excess) / slots;
  }

  /** Penalty factor for recent failures and bad health; 1 for a sound server. */
  penalty(now: number): number {
    const failurePenalty = 1 + FAILURE_PENALTY * this.decayedFailures(now);
    return failurePenalty * (this.unhealthy ? UNHEALTHY_PENALTY : 1);
  }

  /**
   * Expected latency factor, multiplied by penalties for recent failures, bad
   * health and an overdue load query.
   *
   * @param commonPenalty Penalty that most servers of its service have.
   */
  expectedCost(
    now: number,
    latencyFactor: number,
    commonPenalty: number,
  ): number {
    const isLoadQuerySlow =
      this.isLoadQueryPending && now - this.loadQueriedAt > SLOW_LOAD_QUERY_MS;
    const loadQueryPenalty = isLoadQuerySlow ? SLOW_LOAD_QUERY_PENALTY : 1;
    const penalty = Math.max(1, this.penalty(now) / commonPenalty);
    return latencyFactor * penalty * loadQueryPenalty;
  }

  /** Records that a load query was sent. */
  beginLoadQuery(now: number): void {
    this.loadQueriedAt = now;
    this.isLoadQueryPending = true;
  }

  /** Records that the load query was answered or abandoned. */
  endLoadQuery(): void {
    this.isLoadQueryPending = false;
  }

  /** Records that a request is sent to it. */
  recordSend(now: number): void {
    this.inFlight += 1;
    this.backpressure.recordSend(now);
    this.unreportedSends = this.unreportedSends.filter(
      at => now - at < UNREPORTED_SEND_LIFETIME_MS,
    );
    this.unreportedSends.push(now);
  }

  /** Records the end of a request that was sent to it. */
  recordEnd(): void {
    this.inFlight -= 1;
  }

  /**
   * Records a load report.
   *
   * @param asOf Requests sent from this time on may be missing from the report.
   */
  recordLoadReport(report: LoadReport, asOf: number, now: number): void {
    this.report = report;
    this.reportedAt = now;
    this.unreportedSends = this.unreportedSends.filter(at => at >= asOf);
  }

  /** Records a response of any kind, which shows that it is reachable. */
  recordResponse(): void {
    this.responses += 1;
    this.suspectUntil = -Infinity;
    this.consecutiveTimeouts = 0;
  }

  /** Records the result of a health check. */
  recordHealth(healthy: boolean): void {
    this.unhealthy = !healthy;
  }

  /** Records a response timeout or a refused connection. */
  recordNoResponse(now: number): void {
    const suspicionMs = FIRST_SUSPICION_MS * 2 ** this.consecutiveTimeouts;
    this.consecutiveTimeouts += 1;
    this.suspectUntil = now + Math.min(MAX_SUSPICION_MS, suspicionMs);
  }

  /** Records that a different server responds at its address. */
  markMisplaced(): void {
    this.misplaced = true;
  }

  /** Records a request that succeeded. */
  recordSuccess(now: number): void {
    this.failures = this.decayedFailures(now) * SUCCESS_DECAY;
    this.failuresUpdatedAt = now;
  }

  /** Records a request that failed. */
  recordFailure(now: number): void {
    this.failures = this.decayedFailures(now) + 1;
    this.failuresUpdatedAt = now;
  }

  private decayedFailures(now: number): number {
    if (this.failures === 0) return 0;
    return (
      this.failures *
      0.5 ** ((now - this.failuresUpdatedAt) / FAILURE_HALF_LIFE_MS)
    );
  }
}

/**
 * Returns whether an entry is at least as recent as the known one of its
 * server.
 */
export function isAtLeastAsRecent(
  entry: ServerEntry,
  known: ServerEntry,
): boolean {
  if (entry.startedAt !== known.startedAt) {
    return entry.startedAt > known.startedAt;
  }
  return entry.sequence >= known.sequence;
}
