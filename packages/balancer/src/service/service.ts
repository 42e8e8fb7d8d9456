/**
 * A service whose servers this instance schedules. Calls are queued here, not
 * at the servers: the first slot to become free gets the most urgent call.
 */
import {
  type Rank,
  RANKS,
  type ServiceConfig,
  type ServiceId,
  serviceIdOf,
} from '@ragworthall/contracts';
import {BackendServer} from '../backend_server/backend_server.js';
import {LeavingSource} from '../backend_server/leaving_status.js';
import type {SlotUse} from '../backend_server/slot_use.js';
import {FailureDomains} from '../failure_domain/failure_domains.js';
import {WakeupTimer} from '../link/wakeup_timer.js';
import {type Call, type LoadHint, RefusalReason} from '../link/call.js';
import {PROCESS_CLOCK, PROCESS_TIMERS} from '../link/clock.js';
import {SeededRandom} from '../link/random.js';
import {refusedNotRun} from '../request_key/request_ledger.js';
import {CallAdmission} from './call_admission.js';
import {ContentQuarantine} from './content_quarantine.js';
import {type Choice, DEFAULT_POLICY, Dispatcher} from './dispatch_policy.js';
import {ServiceLatencies} from './service_latencies.js';
import {RankFloors} from './rank_floors.js';
import {RankQueues} from './rank_queues.js';
import {type PoolStats, ServerPool} from './server_pool.js';
import type {ServiceOptions} from './service_options.js';
import {ShareBudget} from './share_budget.js';
import {StragglerTrials} from './straggler_trials.js';
import {type Placement, WaitingCall} from './waiting_call.js';

export type {ServiceOptions, ServingConfirmation} from './service_options.js';
export type {Placement} from './waiting_call.js';

/** Maximum number of calls with restrictions that one call may overtake. */
const MAX_OVERTAKEN = 8;
/** Minimum time until a decision to wait is reconsidered, milliseconds. */
const MIN_RECONSIDER_MS = 5;

/** Queues calls of one service and dispatches them to its backend servers. */
export class Service implements Disposable {
  readonly id: ServiceId;
  /** Measured latencies of calls, by contract. */
  readonly latencies = new ServiceLatencies();
  /** Request contents that are suspected or known to crash the servers. */
  readonly quarantine: ContentQuarantine;
  readonly retryBudget: ShareBudget;
  readonly hedgeBudget: ShareBudget;
  /** Network distance to the failure domains of the servers. */
  readonly domains: FailureDomains;
  private readonly pool: ServerPool;
  private readonly dispatcher: Dispatcher;
  private readonly queues = new RankQueues();
  private readonly floors: RankFloors;
  private readonly admission: CallAdmission;
  private readonly wakeup: WakeupTimer;
  private readonly servingAssumed: boolean;
  private readonly mayDispatch: (now: number) => boolean;
  private readonly byId = new Map<string, BackendServer>();
  private readonly listeners = new Set<() => void>();
  private readonly trials = new StragglerTrials();

  constructor(
    private cfg: ServiceConfig,
    options: ServiceOptions = {},
  ) {
    this.id = serviceIdOf(cfg);
    const clock = options.clock ?? PROCESS_CLOCK;
    const random = options.random ?? new SeededRandom(cfg.name.length);
    const policy = options.policy ?? DEFAULT_POLICY;
    const timers = options.timers ?? PROCESS_TIMERS;
    this.quarantine = new ContentQuarantine(timers);
    this.retryBudget = new ShareBudget(cfg.budgets.retryShare);
    this.hedgeBudget = new ShareBudget(cfg.budgets.hedgeShare);
    this.mayDispatch = options.mayDispatch ?? (() => true);
    this.servingAssumed = options.servingConfirmation?.kind !== 'required';
    this.domains = new FailureDomains(options.failureDomain);
    this.dispatcher = new Dispatcher(policy, this.domains, random);
    this.pool = new ServerPool(random, this.dispatcher.overcommit);
    this.floors = new RankFloors(cfg.floors);
    this.admission = new CallAdmission(
      this.queues,
      this.pool,
      this.latencies,
      cfg.floors,
    );
    this.wakeup = new WakeupTimer(clock, timers, now =>
      this.dispatchWaiting(now),
    );
    this.setServers(clock.now());
  }

  /** All configured backend servers. */
  get backendServers(): readonly BackendServer[] {
    return this.pool.all;
  }

  /** The configuration set by operators. */
  get config(): ServiceConfig {
    return this.cfg;
  }

  /** Number of waiting calls of a rank. */
  waiting(rank: Rank): number {
    return this.queues.of(rank).length;
  }

  /** Returns the backend server with this id. */
  backendServer(id: string): BackendServer | undefined {
    return this.byId.get(id);
  }

  /** Calls `listener` when the set of backend servers has changed. */
  onServersChanged(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** Applies a changed configuration; servers that remain keep their state. */
  reconfigure(cfg: ServiceConfig, now: number): void {
    this.cfg = cfg;
    this.floors.reconfigure(cfg.floors);
    this.admission.reconfigure(cfg.floors);
    this.retryBudget.reconfigure(cfg.budgets.retryShare);
    this.hedgeBudget.reconfigure(cfg.budgets.hedgeShare);
    this.latencies.retain(new Set(cfg.contracts.map(c => c.name)));
    this.setServers(now);
    this.listeners.forEach(listener => listener());
    if (cfg.backendServers.length === 0) {
      // Another instance may schedule the servers now and can serve the calls.
      this.queues.refuseAll(refusedNotRun(RefusalReason.NoBackendServer));
    }
    this.dispatchWaiting(now);
  }

  /** Waits until a slot is available or the call is refused. Never rejects. */
  place(
    call: Call,
    excluded: ReadonlySet<string>,
    now: number,
    signal: AbortSignal,
  ): Promise<Placement> | Placement {
    if (signal.aborted) return refusedNotRun(RefusalReason.CallerLeft);
    const placed = this.tryPlace(call, excluded, now);
    if (placed) return placed;
    const refusal = this.admission.refusalOf(call, now);
    if (refusal) return refusal;
    const queue = this.queues.of(call.rank);
    const waiting = new WaitingCall(call, excluded, now, signal, () =>
      queue.onSettled(),
    );
    queue.push(waiting);
    this.dispatchWaiting(now);
    return waiting.placement;
  }

  /** Takes a free slot; undefined if there is none or other calls wait. */
  tryPlace(
    call: Call,
    excluded: ReadonlySet<string>,
    now: number,
  ): Placement | undefined {
    if (this.queues.length > 0 || now >= call.deadline) return undefined;
    this.pool.updateDue(now);
    const choice = this.choose(call, excluded, now, 1);
    return choice.kind === 'server'
      ? this.takeSlot(choice.server, call, now)
      : undefined;
  }

  /** Releases the slot of a finished attempt and dispatches waiting calls. */
  release(server: BackendServer, slot: SlotUse, now: number): void {
    server.releaseSlot(slot);
    this.serverChanged(server, now);
  }

  /** Must be called when the state of a server has changed. */
  serverChanged(server: BackendServer, now: number): void {
    if (this.byId.get(server.cfg.id) === server) this.pool.update(server, now);
    this.dispatchWaiting(now);
  }

  /** Records the latency of a successful answer. */
  recordAnswer(
    server: BackendServer,
    call: Call,
    latencyMs: number,
    now: number,
  ): void {
    const latency = this.latencies.of(call.contract.name);
    const multiple = latency.isComparable
      ? latency.multipleOf(latencyMs)
      : undefined;
    const recovers = server.recordAnswer(multiple, now);
    if (recovers) this.trials.allowNext();
    this.retryBudget.recordSuccess();
    this.hedgeBudget.recordSuccess();
    // Stragglers do not affect the mean latency unless most servers are slow.
    const {slots, fastSlots} = this.pool.stats(now);
    if (server.slowness.isStraggler && fastSlots * 2 >= slots) return;
    latency.record(latencyMs);
    this.latencies.all.record(latencyMs);
  }

  /** Records that an attempt was abandoned after `elapsedMs`. */
  recordAbandoned(
    server: BackendServer,
    call: Call,
    elapsedMs: number,
    now: number,
  ): void {
    const latency = this.latencies.of(call.contract.name);
    if (latency.isKnown)
      server.recordAbandoned(latency.multipleOf(elapsedMs), now);
  }

  /** Whether a late attempt of this call may be hedged. */
  mayHedge(call: Call): boolean {
    return (
      call.contract.idempotent &&
      this.pool.all.length > 1 &&
      this.hedgeBudget.hasToken &&
      this.latencies.of(call.contract.name).isKnown
    );
  }

  /** Records the result of a probe that was started at `asOf`. */
  recordProbe(
    server: BackendServer,
    load: LoadHint,
    asOf: number,
    now: number,
    source: LeavingSource,
  ): void {
    server.recordReport(load, asOf, now, source);
    this.serverChanged(server, now);
  }

  /** Records that a source has reported a server as leaving. */
  markLeaving(serverId: string, source: LeavingSource, now: number): void {
    const server = this.byId.get(serverId);
    if (!server) return;
    server.markLeaving(source, now);
    this.pool.invalidateStats();
    this.serverChanged(server, now);
  }

  /** Withdraws a leaving report of the platform or an operator. */
  unmarkLeaving(
    serverId: string,
    source: typeof LeavingSource.Platform | typeof LeavingSource.Operator,
    now: number,
  ): void {
    const server = this.byId.get(serverId);
    if (!server?.isLeaving()) return;
    server.unmarkLeaving(source);
    this.pool.invalidateStats();
    this.serverChanged(server, now);
  }

  /** Dispatches waiting calls to free slots and refuses expired calls. */
  dispatchWaiting(now: number): void {
    this.pool.updateDue(now);
    if (this.queues.length === 0) return;
    const stats = this.pool.stats(now);
    const {meanMs} = this.latencies.all;
    this.floors.accrue(now, stats.slots, meanMs, r => this.waiting(r) > 0);
    this.admission.refuseUnservable(now);
    while (this.pool.hasReady && this.placeNext(now));
    this.scheduleWakeup(now, stats);
  }

  /** Refuses all waiting calls and stops the timer. */
  [Symbol.dispose](): void {
    this.wakeup[Symbol.dispose]();
    this.queues.refuseAll(refusedNotRun(RefusalReason.UnknownService));
  }

  private setServers(now: number): void {
    const known = new Map(this.pool.all.map(s => [serverKey(s.cfg), s]));
    const servers = this.cfg.backendServers.map(cfg => {
      const server = known.get(serverKey(cfg));
      server?.reconfigure(cfg);
      return server ?? new BackendServer(cfg, this.servingAssumed);
    });
    this.byId.clear();
    servers.forEach(server => this.byId.set(server.cfg.id, server));
    this.pool.replace(servers, now);
  }

  /** Places one waiting call; returns false if none can be placed now. */
  private placeNext(now: number): boolean {
    const {meanMs} = this.latencies.all;
    // Ranks with credit from their floors come first, then all by urgency.
    return (
      RANKS.some(
        rank => this.floors.covers(rank, meanMs) && this.placeRank(rank, now),
      ) || RANKS.some(rank => this.placeRank(rank, now))
    );
  }

  /** Places the first call of a rank for which a server is available. */
  private placeRank(rank: Rank, now: number): boolean {
    const queue = this.queues.of(rank);
    const overtaken: WaitingCall[] = [];
    let placed = false;
    let head = queue.peek();
    while (head && !placed && overtaken.length <= MAX_OVERTAKEN) {
      placed = this.placeWaiting(head, now);
      if (placed || !this.isConstrained(head, now)) break;
      // The free servers may all be ruled out for this call only: try the next.
      overtaken.push(queue.shift()!);
      head = queue.peek();
    }
    overtaken.forEach(waiting => queue.push(waiting));
    return placed;
  }

  private isConstrained({call, excluded}: WaitingCall, now: number): boolean {
    return excluded.size > 0 || this.isSuspect(call, now);
  }

  private isSuspect(call: Call, now: number): boolean {
    return this.quarantine.statusOf(call.fingerprint, now).kind !== 'clear';
  }

  private placeWaiting(waiting: WaitingCall, now: number): boolean {
    const {call, excluded} = waiting;
    const queue = this.queues.of(call.rank);
    if (this.admission.isTooLate(waiting, now)) {
      queue.shift();
      this.admission.refuseLate(waiting, now);
      return true;
    }
    const queueLength = this.queues.lengthUpTo(call.rank);
    const choice = this.choose(call, excluded, now, queueLength);
    if (choice.kind !== 'server') return false;
    queue.shift();
    this.admission.recordDispatch(waiting, now);
    waiting.settle(this.takeSlot(choice.server, call, now));
    return true;
  }

  private choose(
    call: Call,
    excluded: ReadonlySet<string>,
    now: number,
    queueLength: number,
  ): Choice {
    if (!this.mayDispatch(now)) return {kind: 'none'};
    const {fastSlots} = this.pool.stats(now);
    const suspect = this.isSuspect(call, now);
    const isUnconstrained = excluded.size === 0 && !suspect;
    const ready = this.pool.gatherCandidates(
      now,
      isUnconstrained
        ? acceptAny
        : s => !excluded.has(s.cfg.id) && !(suspect && s.runsSuspectContent),
    );
    const {meanMs} = this.latencies.of(call.contract.name);
    return this.dispatcher.choose(ready, ready.length, {
      now,
      meanMs,
      waitForFastMs: (queueLength * this.latencies.all.meanMs) / fastSlots,
      timeLeftMs: call.deadline - now,
      mayTryStraggler: this.trials.mayTry(now),
    });
  }

  private takeSlot(server: BackendServer, call: Call, now: number): Placement {
    const suspect = this.isSuspect(call, now);
    const slot = server.acquireSlot(now, call.fingerprint, suspect);
    this.trials.recordDispatch(server.slowness.isStraggler, now);
    this.floors.charge(call.rank, this.latencies.all.meanMs);
    this.pool.update(server, now);
    return {kind: 'dispatch', server, slot};
  }

  private scheduleWakeup(now: number, stats: PoolStats): void {
    if (this.queues.length === 0) return;
    this.wakeup.scheduleAt(this.queues.earliestDeadline, now);
    this.wakeup.scheduleAt(this.pool.nextReadyAt, now);
    this.wakeup.scheduleAt(this.admission.noServerRefusalAt(now), now);
    if (!this.pool.hasReady) return;
    // A call waits for a faster server despite a free slot: reconsider later.
    const waitMs =
      (this.queues.length * this.latencies.all.meanMs) /
      Math.max(1, stats.fastSlots);
    this.wakeup.scheduleAt(now + Math.max(MIN_RECONSIDER_MS, waitMs), now);
  }
}

function acceptAny(): boolean {
  return true;
}

function serverKey({id, address}: {id: string; address: string}): string {
  return `${id} ${address}`;
}
