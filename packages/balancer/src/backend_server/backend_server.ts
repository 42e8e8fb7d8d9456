/** One backend server as the instance that schedules it sees it. */
import {type BackendServerConfig, ServerState} from '@ragworthall/contracts';
import type {LoadHint} from '../link/call.js';
import {Ejection} from './ejection.js';
import {LeavingStatus, LeavingSource} from './leaving_status.js';
import {SlotUse, SlotUses} from './slot_use.js';
import {SlowStart} from './slow_start.js';
import {Slowness, STRAGGLER_SLOWNESS} from './slowness.js';

/** Time without work after an answer that shed a request, milliseconds. */
const SHED_BACKOFF_MS = 5;
/** Longest time without work after sheds in a row, milliseconds. */
const MAX_SHED_BACKOFF_MS = 200;
/** Age at which a reported load has lost most of its weight, milliseconds. */
const HINT_LIFETIME_MS = 100;
/** Time without a call after which its speed is not known, milliseconds. */
const UNTRIED_MS = 1_000;

/** Whether a server may get a call, and if not, when to look again. */
export type Readiness =
  | {readonly kind: 'ready'}
  /** It may become ready by time alone, at this time. */
  | {readonly kind: 'later'; readonly at: number}
  /** Only an event (a free slot, a sign, a change) can make it ready. */
  | {readonly kind: 'blocked'};

const READY: Readiness = {kind: 'ready'};
const BLOCKED: Readiness = {kind: 'blocked'};

/** Facts about one backend server, and what follows from them. */
export class BackendServer {
  /** Place in the list of its pool; the pool's own. */
  poolIndex = -1;
  /** Number of the newest choice of it; the dispatch policy's own. */
  lastChoice = 0;
  readonly slowness = new Slowness();
  private readonly uses = new SlotUses();
  private readonly ejection = new Ejection();
  private readonly slowStart = new SlowStart();
  private readonly signs = new LeavingStatus();
  private hintedInFlight = 0;
  private hintedAt = -Infinity;
  private pausedUntil = -Infinity;
  private shedsInRow = 0;
  private lastTaken = -Infinity;

  constructor(
    private config: BackendServerConfig,
    /** Whether it needs no sign of not leaving: no prober fetches one. */
    private readonly signAssumed = false,
  ) {
    this.applyOperatorMark();
  }

  /** What operators set for it. */
  get cfg(): BackendServerConfig {
    return this.config;
  }

  /** Requests of this instance that it runs. */
  get inFlight(): number {
    return this.uses.count;
  }

  /** Whether one of them has content that is suspected of crashing servers. */
  get runsSuspectContent(): boolean {
    return this.uses.hasSuspect;
  }

  /** Takes over a changed configuration of the same server. */
  reconfigure(cfg: BackendServerConfig): void {
    this.config = cfg;
    this.applyOperatorMark();
  }

  /**
   * Whether it may get a call. `overcommit` is the multiple of its slots that
   * may be in use; `ignoreErrors` lets ejected servers work too.
   */
  readiness(now: number, ignoreErrors: boolean, overcommit = 1): Readiness {
    if (!this.isUsable(now)) return BLOCKED;
    const slots = this.config.slots * overcommit;
    if (this.inFlight >= this.slowStart.openSlots(slots, now)) {
      const at = this.slowStart.nextAt(slots, now);
      return at === Infinity ? BLOCKED : {kind: 'later', at};
    }
    if (now < this.pausedUntil) return {kind: 'later', at: this.pausedUntil};
    return ignoreErrors ? READY : this.readinessByErrors(now);
  }

  /** Whether it may get a call now. */
  isReady(now: number): boolean {
    return this.readiness(now, false).kind === 'ready';
  }

  /** Whether it stays and has a fresh sign of that. */
  isUsable(now: number): boolean {
    return this.signAssumed ? !this.signs.isLeaving : this.signs.isFresh(now);
  }

  /** Time until which it is usable if no new sign comes. */
  get usableUntil(): number {
    if (this.signs.isLeaving) return -Infinity;
    return this.signAssumed ? Infinity : this.signs.freshUntil;
  }

  /** Whether errors keep it out of service. */
  isEjected(now: number): boolean {
    return this.ejection.at(now).kind !== 'in_service';
  }

  /** Time for which errors keep it out of service, milliseconds. */
  ejectedForMs(now: number): number {
    const state = this.ejection.at(now);
    return state.kind === 'ejected' ? state.until - now : 0;
  }

  /** Whether any source said that it is leaving. */
  isLeaving(): boolean {
    return this.signs.isLeaving;
  }

  /** Whether its last sign of not leaving is young enough to send it work. */
  isConfirmedServing(now: number): boolean {
    return this.signs.isFresh(now);
  }

  /** Time at which its newest sign of not leaving is too old. */
  get confirmedServingUntil(): number {
    return this.signs.freshUntil;
  }

  /** Takes in, from any source, that it is leaving. */
  markLeaving(source: LeavingSource, now: number): void {
    this.signs.mark(source, now);
  }

  /** Takes back what the platform's list or an operator said. */
  unmarkLeaving(
    source: typeof LeavingSource.Platform | typeof LeavingSource.Operator,
  ): void {
    this.signs.unmark(source);
  }

  /** Takes a slot for an attempt. */
  acquireSlot(now: number, fingerprint: string, suspect: boolean): SlotUse {
    const use = new SlotUse(now, fingerprint, suspect);
    this.uses.add(use);
    this.lastTaken = now;
    return use;
  }

  /** Leaves a slot. */
  releaseSlot(use: SlotUse): void {
    this.uses.remove(use);
  }

  /** Estimated slowness against its service, see {@link Slowness}. */
  estimateSlowness(now: number, meanMs: number): number {
    return this.slowness.estimate(this.uses.oldestAgeMs(now), meanMs);
  }

  /** Whether a call is due to tell how fast it is by now. */
  isLatencySampleDue(now: number): boolean {
    return this.inFlight === 0 && now - this.lastTaken >= UNTRIED_MS;
  }

  /**
   * Work of others as a share of its slots, by its newest report and that
   * report's age. It only ever makes a server look busier: a report of no load
   * never outweighs one's own count.
   */
  reportedLoadOfOthers(now: number): number {
    const others = this.hintedInFlight - this.inFlight;
    if (others <= 0) return 0;
    const age = now - this.hintedAt;
    if (age >= HINT_LIFETIME_MS) return 0;
    return ((1 - age / HINT_LIFETIME_MS) * others) / this.config.slots;
  }

  /**
   * Takes in what it reported with an answer or a probe. The report counts as
   * of `asOf`, the start of the exchange: a paused process may read it late.
   */
  recordReport(
    hint: LoadHint,
    asOf: number,
    now: number,
    source: LeavingSource = LeavingSource.Answer,
  ): void {
    if (hint.inFlight !== undefined) {
      this.hintedInFlight = hint.inFlight;
      this.hintedAt = asOf;
    }
    this.observeState(hint.state, asOf, now, source);
  }

  /**
   * Takes in a whole answer; `multiple` is of its contract's mean latency, or
   * undefined while that is not known. True if it is a straggler that was not
   * slow this time, and may be tried again at once.
   */
  recordAnswer(multiple: number | undefined, now: number): boolean {
    this.shedsInRow = 0;
    if (this.ejection.succeeded(now)) this.slowStart.begin(now);
    return multiple !== undefined && this.observeSpeed(multiple, now);
  }

  /**
   * Takes in that an attempt was given up when it had taken `multiple` of its
   * contract's mean latency: its answer would have taken longer still.
   */
  recordAbandoned(multiple: number, now: number): void {
    if (multiple <= this.slowness.multiple) return;
    this.slowness.observe(multiple, now);
  }

  /** Takes in that it shed a request; the wait doubles with each in a row. */
  recordShed(now: number): void {
    const backoff = SHED_BACKOFF_MS * 2 ** Math.min(this.shedsInRow, 8);
    this.shedsInRow += 1;
    const until = now + Math.min(backoff, MAX_SHED_BACKOFF_MS);
    this.pausedUntil = Math.max(this.pausedUntil, until);
  }

  /** Takes in a failure: a lost connection or an error answer. */
  recordFailure(now: number): void {
    this.ejection.failed(now);
  }

  /** Takes in that no connection could be opened: it may be restarting. */
  recordUnreachable(now: number): void {
    this.ejection.unreachable(now);
    this.signs.restarted();
    this.slowStart.begin(now);
  }

  private observeSpeed(multiple: number, now: number): boolean {
    this.slowness.observe(multiple, now);
    const recovers =
      this.slowness.isStraggler && multiple < STRAGGLER_SLOWNESS / 2;
    if (recovers) this.lastTaken = -Infinity;
    return recovers;
  }

  private readinessByErrors(now: number): Readiness {
    const state = this.ejection.at(now);
    switch (state.kind) {
      case 'in_service':
        return READY;
      case 'ejected':
        return {kind: 'later', at: state.until};
      case 'on_trial':
        return this.inFlight === 0 ? READY : BLOCKED;
      default:
        throw new Error(`unexpected state: ${state satisfies never}`);
    }
  }

  private observeState(
    state: ServerState | undefined,
    asOf: number,
    now: number,
    source: LeavingSource,
  ): void {
    switch (state) {
      case ServerState.Draining:
        this.signs.mark(source, now);
        return;
      case ServerState.Starting:
        this.signs.restarted();
        this.slowStart.begin(now);
        this.signs.serves(asOf);
        return;
      case ServerState.Serving:
        this.signs.serves(asOf);
        return;
      case undefined:
        return;
      default:
        state satisfies never;
    }
  }

  private applyOperatorMark(): void {
    if (this.config.draining) this.signs.mark(LeavingSource.Operator, 0);
    else this.signs.unmark(LeavingSource.Operator);
  }
}
