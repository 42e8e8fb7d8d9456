/** State of one backend server, as known to the instance that schedules it. */
import {type BackendServerConfig, ServerState} from '@ragworthall/contracts';
import type {LoadHint} from '../link/call.js';
import {Ejection} from './ejection.js';
import {LeavingStatus, LeavingSource} from './leaving_status.js';
import {SlotUse, SlotUseList} from './slot_use.js';
import {SlowStart} from './slow_start.js';
import {Slowness, STRAGGLER_SLOWNESS} from './slowness.js';

/** Initial backoff after a server shed a request, milliseconds. */
const SHED_BACKOFF_MS = 5;
/** Maximum backoff after consecutive shed requests, milliseconds. */
const MAX_SHED_BACKOFF_MS = 200;
/** Age at which a reported load no longer counts, milliseconds. */
const REPORT_LIFETIME_MS = 100;
/** Idle time after which the measured latency is out of date, milliseconds. */
const RESAMPLE_AFTER_MS = 1_000;

/** Whether a server can accept a call and, if not, when to check again. */
export type Readiness =
  | {readonly kind: 'ready'}
  /** Not ready before this time; no event is needed. */
  | {readonly kind: 'later'; readonly at: number}
  /** Ready only after an event: a freed slot, a report or a configuration change. */
  | {readonly kind: 'blocked'};

const READY: Readiness = {kind: 'ready'};
const BLOCKED: Readiness = {kind: 'blocked'};

/** Load, errors and lifecycle state of one backend server, and its readiness. */
export class BackendServer {
  /** Index in the list of its pool; maintained by the pool. */
  poolIndex = -1;
  /** Sequence number of its latest selection; maintained by the dispatch policy. */
  lastChoice = 0;
  readonly slowness = new Slowness();
  private readonly slotUses = new SlotUseList();
  private readonly ejection = new Ejection();
  private readonly slowStart = new SlowStart();
  private readonly leavingStatus = new LeavingStatus();
  private reportedInFlight = 0;
  private inFlightReportedAt = -Infinity;
  private backoffUntil = -Infinity;
  private consecutiveSheds = 0;
  private lastUsedAt = -Infinity;

  constructor(
    private config: BackendServerConfig,
    /** Whether it counts as serving without confirmation, because nothing probes it. */
    private readonly assumedServing = false,
  ) {
    this.applyConfiguredDraining();
  }

  /** Configuration set by operators. */
  get cfg(): BackendServerConfig {
    return this.config;
  }

  /** Number of requests from this instance in flight on the server. */
  get inFlight(): number {
    return this.slotUses.count;
  }

  /** Whether a request in flight has content suspected of crashing servers. */
  get runsSuspectContent(): boolean {
    return this.slotUses.hasSuspect;
  }

  /** Applies a changed configuration of the same server. */
  reconfigure(cfg: BackendServerConfig): void {
    this.config = cfg;
    this.applyConfiguredDraining();
  }

  /**
   * Returns whether the server can accept a call.
   *
   * @param ignoreErrors Whether an ejected server counts as ready.
   * @param overcommit Multiple of its slots that may be in use.
   */
  readiness(now: number, ignoreErrors: boolean, overcommit = 1): Readiness {
    if (!this.isUsable(now)) return BLOCKED;
    const slots = this.config.slots * overcommit;
    if (this.inFlight >= this.slowStart.openSlots(slots, now)) {
      const at = this.slowStart.nextSlotAt(slots, now);
      return at === Infinity ? BLOCKED : {kind: 'later', at};
    }
    if (now < this.backoffUntil) return {kind: 'later', at: this.backoffUntil};
    return ignoreErrors ? READY : this.readinessByEjection(now);
  }

  /** Whether the server can accept a call now. */
  isReady(now: number): boolean {
    return this.readiness(now, false).kind === 'ready';
  }

  /** Whether it is not leaving and is confirmed to be serving. */
  isUsable(now: number): boolean {
    return this.assumedServing
      ? !this.leavingStatus.isLeaving
      : this.leavingStatus.isConfirmedServing(now);
  }

  /** Time until which it is usable without a further confirmation. */
  get usableUntil(): number {
    if (this.leavingStatus.isLeaving) return -Infinity;
    return this.assumedServing ? Infinity : this.leavingStatus.confirmedUntil;
  }

  /** Whether it is ejected or on trial because of errors. */
  isEjected(now: number): boolean {
    return this.ejection.stateAt(now).kind !== 'in_service';
  }

  /** Remaining time of its ejection, milliseconds; 0 if it is not ejected. */
  ejectedForMs(now: number): number {
    const state = this.ejection.stateAt(now);
    return state.kind === 'ejected' ? state.until - now : 0;
  }

  /** Whether any source reported that it is leaving. */
  isLeaving(): boolean {
    return this.leavingStatus.isLeaving;
  }

  /** Whether a recent report confirms that it is serving. */
  isConfirmedServing(now: number): boolean {
    return this.leavingStatus.isConfirmedServing(now);
  }

  /** Time at which the latest serving confirmation expires. */
  get confirmedServingUntil(): number {
    return this.leavingStatus.confirmedUntil;
  }

  /** Marks the server as leaving, as reported by `source`. */
  markLeaving(source: LeavingSource, now: number): void {
    this.leavingStatus.mark(source, now);
  }

  /** Clears the mark set by the platform's list or by an operator. */
  unmarkLeaving(
    source: typeof LeavingSource.Platform | typeof LeavingSource.Operator,
  ): void {
    this.leavingStatus.unmark(source);
  }

  /** Occupies a slot for an attempt. */
  acquireSlot(now: number, fingerprint: string, suspect: boolean): SlotUse {
    const use = new SlotUse(now, fingerprint, suspect);
    this.slotUses.add(use);
    this.lastUsedAt = now;
    return use;
  }

  /** Frees a slot. */
  releaseSlot(use: SlotUse): void {
    this.slotUses.remove(use);
  }

  /** Estimates its slowness relative to its service, see {@link Slowness}. */
  estimateSlowness(now: number, meanMs: number): number {
    return this.slowness.estimate(this.slotUses.oldestAgeMs(now), meanMs);
  }

  /** Whether it is idle and its measured latency is out of date. */
  isLatencySampleDue(now: number): boolean {
    return this.inFlight === 0 && now - this.lastUsedAt >= RESAMPLE_AFTER_MS;
  }

  /**
   * Load from other instances as a fraction of its slots, from its latest
   * report, weighted by that report's age. It can only make a server look
   * busier: a report of no load never lowers this instance's own count.
   */
  reportedLoadOfOthers(now: number): number {
    const others = this.reportedInFlight - this.inFlight;
    if (others <= 0) return 0;
    const age = now - this.inFlightReportedAt;
    if (age >= REPORT_LIFETIME_MS) return 0;
    return ((1 - age / REPORT_LIFETIME_MS) * others) / this.config.slots;
  }

  /**
   * Records the load and state reported with an answer or a probe. The report
   * is dated `asOf`, the start of the exchange, because a paused process may
   * read it late.
   */
  recordReport(
    hint: LoadHint,
    asOf: number,
    now: number,
    source: LeavingSource = LeavingSource.Answer,
  ): void {
    if (hint.inFlight !== undefined) {
      this.reportedInFlight = hint.inFlight;
      this.inFlightReportedAt = asOf;
    }
    this.recordState(hint.state, asOf, now, source);
  }

  /**
   * Records a complete answer.
   *
   * @param multiple Latency relative to the mean of its contract; undefined
   *     while that mean is unknown.
   * @returns Whether the server is a straggler that answered fast this time, so
   *     that it may be sampled again immediately.
   */
  recordAnswer(multiple: number | undefined, now: number): boolean {
    this.consecutiveSheds = 0;
    if (this.ejection.recordSuccess(now)) this.slowStart.restart(now);
    return multiple !== undefined && this.recordLatency(multiple, now);
  }

  /**
   * Records an attempt that was abandoned after `multiple` times the mean
   * latency of its contract. This is a lower bound of its latency, so it only
   * ever raises the slowness.
   */
  recordAbandoned(multiple: number, now: number): void {
    if (multiple <= this.slowness.multiple) return;
    this.slowness.recordSample(multiple, now);
  }

  /** Records a shed request; the backoff doubles with each consecutive one. */
  recordShed(now: number): void {
    const backoff = SHED_BACKOFF_MS * 2 ** Math.min(this.consecutiveSheds, 8);
    this.consecutiveSheds += 1;
    const until = now + Math.min(backoff, MAX_SHED_BACKOFF_MS);
    this.backoffUntil = Math.max(this.backoffUntil, until);
  }

  /** Records a failure: a lost connection or an error answer. */
  recordFailure(now: number): void {
    this.ejection.recordFailure(now);
  }

  /** Records a failed connection attempt; the server may be restarting. */
  recordUnreachable(now: number): void {
    this.ejection.recordUnreachable(now);
    this.leavingStatus.recordRestart();
    this.slowStart.restart(now);
  }

  private recordLatency(multiple: number, now: number): boolean {
    this.slowness.recordSample(multiple, now);
    const isRecovering =
      this.slowness.isStraggler && multiple < STRAGGLER_SLOWNESS / 2;
    if (isRecovering) this.lastUsedAt = -Infinity;
    return isRecovering;
  }

  private readinessByEjection(now: number): Readiness {
    const state = this.ejection.stateAt(now);
    switch (state.kind) {
      case 'in_service':
        return READY;
      case 'ejected':
        return {kind: 'later', at: state.until};
      case 'on_trial':
        return this.inFlight === 0 ? READY : BLOCKED;
      default:
        throw new Error(`unexpected ejection state: ${state satisfies never}`);
    }
  }

  private recordState(
    state: ServerState | undefined,
    asOf: number,
    now: number,
    source: LeavingSource,
  ): void {
    switch (state) {
      case ServerState.Draining:
        this.leavingStatus.mark(source, now);
        return;
      case ServerState.Starting:
        this.leavingStatus.recordRestart();
        this.slowStart.restart(now);
        this.leavingStatus.confirmServing(asOf);
        return;
      case ServerState.Serving:
        this.leavingStatus.confirmServing(asOf);
        return;
      case undefined:
        return;
      default:
        state satisfies never;
    }
  }

  private applyConfiguredDraining(): void {
    if (this.config.draining)
      this.leavingStatus.mark(LeavingSource.Operator, 0);
    else this.leavingStatus.unmark(LeavingSource.Operator);
  }
}
