/**
 * A backend server that several instances send to without a common queue. What
 * it runs for others is known only from its own reports, which are old within
 * a fraction of a second.
 */

/** Whether a backend server takes new work, as the registry says. */
export const EntryState = {
  Ready: 'ready',
  /** It finishes what it has and leaves. */
  Leaving: 'leaving',
} as const;

/** One of the values of {@link EntryState}. */
export type EntryState = (typeof EntryState)[keyof typeof EntryState];

/** What the registry says of a backend server. */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: EntryState;
  /** Time for which it stays slow after its start, milliseconds. */
  readonly warmUpMs: number;
  /** Start of the server process, milliseconds of the epoch; 0 if unknown. */
  readonly startedAt: number;
  /** Count of its reports since its start. */
  readonly sequence: number;
}

/** What a backend server reports of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes, relative to the usual; 1 is the usual. */
  readonly slowness: number;
}

/** Time constant with which a report loses its value, milliseconds. */
const REPORT_DECAY_MS = 250;
/** Age up to which a report of requests in flight counts in full, milliseconds. */
const LOAD_HOLDS_MS = 100;
/** Age up to which a report tells the present slowness, milliseconds. */
const SLOWNESS_HOLDS_MS = 30;
/** Time in which a request that was just sent may be missing in a report, milliseconds. */
const SENDS_KEPT_MS = 1_000;
/** Slowness that is expected of a server without a recent report. */
const TYPICAL_SLOWNESS = 1.7;
/** Share of the slots in use from which servers commonly slow down. */
const NEARLY_FULL = 0.8;
/** How much slower a nearly full server is expected to be. */
const NEARLY_FULL_SLOWNESS = 1.6;
/** How much slower a server is expected to be while it warms up. */
const WARM_UP_SLOWNESS = 1.8;
/** Time in which the memory of failures halves, milliseconds. */
const FAILURE_HALF_LIFE_MS = 4_000;
/** Factor on the expected time for each remembered failure. */
const FAILURE_COST = 1.5;
/** Part that a success leaves of the memory of failures. */
const SUCCESS_KEEPS = 0.7;
/** First time for which a server without an answer is passed over, milliseconds. */
const FIRST_SUSPICION_MS = 300;
/** Longest such time, milliseconds. */
const MAX_SUSPICION_MS = 3_000;
/** Time after which a question without an answer means that the server is busy, milliseconds. */
const BUSY_AFTER_MS = 20;
/** Part of the time for a slot in which it rarely becomes free. */
const FREE_SOONER = 0.5;
/** Factor on the expected time of a server that is busy in this way. */
const BUSY_COST = 3;
/** Factor on the expected time of a server that says it is not well. */
const UNWELL_COST = 20;

/** One backend server as this instance knows it. */
export class SharedServer {
  /** Requests of this instance that it runs or queues. */
  inFlight = 0;
  /** Time of the last report on the monotonic clock, milliseconds. */
  reportedAt = -Infinity;
  /** Time of the last question about its load on the monotonic clock, milliseconds. */
  loadQueriedAt = -Infinity;
  /** Whether that question waits for its answer. */
  isLoadQueryPending = false;
  private report: LoadReport | undefined;
  /** Times of the requests sent from here that the last report does not count. */
  private sentAt: number[] = [];
  private failures = 0;
  private failuresAt = 0;
  private suspectUntil = -Infinity;
  private suspicions = 0;
  private unwell = false;
  private misplaced = false;
  private warmUntil: number;

  constructor(
    public entry: ServerEntry,
    now: number,
  ) {
    this.warmUntil = now + entry.warmUpMs;
  }

  /** Takes over a changed entry of the same server process. */
  update(entry: ServerEntry, now: number): void {
    this.entry = entry;
    this.warmUntil = now + entry.warmUpMs;
    this.misplaced = false;
  }

  /** Whether new requests may go there. */
  get acceptsRequests(): boolean {
    return this.entry.state === EntryState.Ready && !this.misplaced;
  }

  /** Whether it did not answer lately, so that others go first. */
  isSuspect(now: number): boolean {
    return now < this.suspectUntil;
  }

  /** Age of the last report, milliseconds. */
  reportAge(now: number): number {
    return now - this.reportedAt;
  }

  /**
   * Requests that are expected to run or wait there. What it reported for
   * others counts for less as the report grows old.
   */
  loadAt(now: number): number {
    const {report} = this;
    const reported = report ? report.running + report.waiting : 0;
    const age = Math.max(0, this.reportAge(now) - LOAD_HOLDS_MS);
    const weight = Math.exp(-age / REPORT_DECAY_MS);
    return Math.max(this.inFlight, (reported + this.sentAt.length) * weight);
  }

  /** How slow it said to be, if that was lately; 1 is the usual. */
  recentSlowness(now: number): number | undefined {
    return this.reportAge(now) <= SLOWNESS_HOLDS_MS
      ? this.report?.slowness
      : undefined;
  }

  /** The slots that it reports, or else those of its entry. */
  get slots(): number {
    return Math.max(1, this.report?.slots ?? this.entry.slots);
  }

  /**
   * Expected time of one more request there, as a multiple of the time on an
   * idle server of usual speed.
   */
  expectedLatencyFactor(now: number, load = this.loadAt(now)): number {
    const {slots} = this;
    const after = load + 1;
    const weight = Math.exp(-this.reportAge(now) / REPORT_DECAY_MS);
    const reported = this.report?.slowness ?? TYPICAL_SLOWNESS;
    const slowness = reported * weight + TYPICAL_SLOWNESS * (1 - weight);
    const full = after > NEARLY_FULL * slots ? NEARLY_FULL_SLOWNESS : 1;
    const turns = 1 + Math.max(0, after - slots) / slots;
    const warm = now < this.warmUntil ? WARM_UP_SLOWNESS : 1;
    return slowness * full * turns * warm;
  }

  /**
   * Time in which no slot is expected to become free, as a multiple of the time
   * on an idle server of usual speed; 0 if it is not full.
   */
  expectedSlotWaitFactor(load: number): number {
    const {slots} = this;
    const over = load - slots + 1;
    if (over <= 0) return 0;
    const slowness = this.report?.slowness ?? TYPICAL_SLOWNESS;
    return (FREE_SOONER * slowness * over) / slots;
  }

  /** Expected time, made dearer by what speaks against the server. */
  expectedCost(now: number, times = this.expectedLatencyFactor(now)): number {
    const failing = 1 + FAILURE_COST * this.failuresNow(now);
    const unwell = this.unwell ? UNWELL_COST : 1;
    const isBusy =
      this.isLoadQueryPending && now - this.loadQueriedAt > BUSY_AFTER_MS;
    const busy = isBusy ? BUSY_COST : 1;
    return times * failing * unwell * busy;
  }

  /** Notes that it is asked about its load. */
  beginLoadQuery(now: number): void {
    this.loadQueriedAt = now;
    this.isLoadQueryPending = true;
  }

  /** Notes that the question was answered or given up. */
  endLoadQuery(): void {
    this.isLoadQueryPending = false;
  }

  /** Counts a request that is sent there. */
  recordSend(now: number): void {
    this.inFlight += 1;
    this.sentAt = this.sentAt.filter(at => now - at < SENDS_KEPT_MS);
    this.sentAt.push(now);
  }

  /** Counts the end of a request that was sent there. */
  recordEnd(): void {
    this.inFlight -= 1;
  }

  /**
   * Takes in a report of its load.
   *
   * @param asOf Time from which on sent requests may be missing in it.
   */
  recordLoadReport(report: LoadReport, asOf: number, now: number): void {
    this.report = report;
    this.reportedAt = now;
    this.sentAt = this.sentAt.filter(at => at >= asOf);
  }

  /** Takes in any answer: it is reachable. */
  recordResponse(): void {
    this.suspectUntil = -Infinity;
    this.suspicions = 0;
  }

  /** Takes in what its health path says. */
  recordHealth(well: boolean): void {
    this.unwell = !well;
  }

  /** Takes in that it did not answer in time, or refused a connection. */
  recordNoResponse(now: number): void {
    const doubled = FIRST_SUSPICION_MS * 2 ** this.suspicions;
    this.suspicions += 1;
    this.suspectUntil = now + Math.min(MAX_SUSPICION_MS, doubled);
  }

  /** Takes in that another server answers on its address. */
  markMisplaced(): void {
    this.misplaced = true;
  }

  /** Takes in a request that it served. */
  recordSuccess(now: number): void {
    this.failures = this.failuresNow(now) * SUCCESS_KEEPS;
    this.failuresAt = now;
  }

  /** Takes in a request that it failed. */
  recordFailure(now: number): void {
    this.failures = this.failuresNow(now) + 1;
    this.failuresAt = now;
  }

  private failuresNow(now: number): number {
    if (this.failures === 0) return 0;
    return (
      this.failures * 0.5 ** ((now - this.failuresAt) / FAILURE_HALF_LIFE_MS)
    );
  }
}
