/**
 * Admission control: refuses calls that a service cannot answer in time, as
 * early as possible: on arrival, while queued, or just before dispatch. Calls
 * refused here have not been sent to any backend server.
 */
import {type Floors, type Rank, RANKS} from '@ragworthall/contracts';
import {type Call, RefusalReason, type Refused} from '../link/call.js';
import {refusedNotRun} from '../request_key/request_ledger.js';
import type {ServiceLatencies} from './service_latencies.js';
import {floorOf} from './rank_floors.js';
import {RankLoadMonitor} from './rank_load_monitor.js';
import type {RankQueues} from './rank_queues.js';
import type {ServerPool} from './server_pool.js';
import type {WaitingCall} from './waiting_call.js';

/** Maximum number of waiting calls per rank. */
const MAX_WAITING_PER_RANK = 10_000;
/** Retry delay sent to callers when a queue is full, milliseconds. */
const RETRY_WHEN_FULL_MS = 100;
/** Time without a usable server after which no call may wait, milliseconds. */
const NO_SERVER_AFTER_MS = 5_000;
/** Retry delay sent to callers when there is no usable server, milliseconds. */
const RETRY_WITHOUT_SERVER_MS = 1_000;

/** Decides which calls of one service may be queued, and for how long. */
export class CallAdmission {
  private readonly monitors = new Map(
    RANKS.map(rank => [rank, new RankLoadMonitor()]),
  );
  /** Time since which no server has been usable; undefined if one is. */
  private unusableSince: number | undefined;

  constructor(
    private readonly queues: RankQueues,
    private readonly pool: ServerPool,
    private readonly latencies: ServiceLatencies,
    private floors: Floors,
  ) {}

  /** Applies changed floors. */
  reconfigure(floors: Floors): void {
    this.floors = floors;
  }

  /**
   * Returns why a call that found no free slot may not wait; undefined if it
   * may.
   */
  refusalOf(call: Call, now: number): Refused | undefined {
    if (now >= call.deadline)
      return refusedNotRun(RefusalReason.DeadlinePassed);
    if (this.pool.all.length === 0 || this.lacksUsableServer(now)) {
      return refusedNotRun(
        RefusalReason.NoBackendServer,
        RETRY_WITHOUT_SERVER_MS,
      );
    }
    const queue = this.queues.of(call.rank);
    if (queue.length >= MAX_WAITING_PER_RANK) {
      return refusedNotRun(RefusalReason.QueueFull, RETRY_WHEN_FULL_MS);
    }
    return queue.length > 0 ? this.refusalByWait(call, now) : undefined;
  }

  /**
   * Whether a waiting call is to be refused because its target is out of reach.
   * Late calls are still served unless their rank is overloaded.
   */
  isTooLate(waiting: WaitingCall, now: number): boolean {
    if (!this.monitorOf(waiting.call.rank).isOverloaded) return false;
    return this.isLate(waiting, now);
  }

  /** Refuses a waiting call whose target is out of reach. */
  refuseLate(waiting: WaitingCall, now: number): void {
    this.monitorOf(waiting.call.rank).recordExpired(now);
    const retryAfterMs = waiting.call.contract.targetMs;
    waiting.settle(
      refusedNotRun(RefusalReason.DeadlineUnreachable, retryAfterMs),
    );
  }

  /** Records that a waiting call was placed. It must have left its queue. */
  recordDispatch(waiting: WaitingCall, now: number): void {
    const {rank} = waiting.call;
    const stillWaiting = this.queues.of(rank).length;
    this.monitorOf(rank).recordDispatch(
      this.isLate(waiting, now),
      stillWaiting,
      now,
    );
  }

  /**
   * Refuses expired calls, or all calls if no server has been usable for too
   * long.
   */
  refuseUnservable(now: number): void {
    RANKS.forEach(rank => this.refuseExpired(rank, now));
    if (!this.lacksUsableServer(now)) return;
    this.queues.refuseAll(
      refusedNotRun(RefusalReason.NoBackendServer, RETRY_WITHOUT_SERVER_MS),
    );
  }

  /** Time from which all calls are refused unless a server becomes usable. */
  noServerRefusalAt(now: number): number {
    const until = this.pool.stats(now).usableUntil;
    return (this.unusableSince ?? Math.max(now, until)) + NO_SERVER_AFTER_MS;
  }

  /** Expected time in the queue for a new call, milliseconds. */
  expectedWaitMs(call: Call, now: number): number {
    const {rank} = call;
    const ahead = this.queues.of(rank).aheadOf(call.deadline);
    const measured = this.monitorOf(rank).waitMs(ahead, now);
    if (measured !== undefined) return measured;
    const {slots} = this.pool.stats(now);
    const perCallMs = this.latencies.all.meanMs / Math.max(1, slots);
    const before = this.queues.lengthUpTo(rank) - this.queues.of(rank).length;
    const inOrderMs = (before + ahead) * perCallMs;
    const floor = floorOf(this.floors, rank);
    return floor > 0
      ? Math.min(inOrderMs, (ahead * perCallMs) / floor)
      : inOrderMs;
  }

  private refusalByWait(call: Call, now: number): Refused | undefined {
    const latency = this.latencies.of(call.contract.name);
    if (!latency.isKnown) return undefined;
    const waitMs = this.expectedWaitMs(call, now);
    const {isOverloaded} = this.monitorOf(call.rank);
    const missesTarget =
      isOverloaded && waitMs + latency.p95Ms > call.contract.targetMs;
    const missesDeadline = now + waitMs + latency.meanMs > call.deadline;
    if (!missesTarget && !missesDeadline) return undefined;
    return refusedNotRun(RefusalReason.DeadlineUnreachable, Math.ceil(waitMs));
  }

  private refuseExpired(rank: Rank, now: number): void {
    const queue = this.queues.of(rank);
    let head = queue.peek();
    while (head && now >= head.call.deadline) {
      queue.shift();
      this.monitorOf(rank).recordExpired(now);
      head.settle(this.expiredRefusal(now));
      head = queue.peek();
    }
    if (!head) this.monitorOf(rank).recordIdle();
  }

  private expiredRefusal(now: number): Refused {
    const none = this.pool.stats(now).usable === 0;
    return refusedNotRun(
      none ? RefusalReason.NoBackendServer : RefusalReason.DeadlinePassed,
    );
  }

  private lacksUsableServer(now: number): boolean {
    if (this.pool.hasReady || this.pool.stats(now).usable > 0) {
      this.unusableSince = undefined;
      return false;
    }
    this.unusableSince ??= now;
    return now - this.unusableSince >= NO_SERVER_AFTER_MS;
  }

  private isLate(waiting: WaitingCall, now: number): boolean {
    // The 95th percentile: with the mean, about half of the calls that are sent
    // at the last moment would be late.
    const {p95Ms} = this.latencies.of(waiting.call.contract.name);
    return now + p95Ms > waiting.targetAt;
  }

  private monitorOf(rank: Rank): RankLoadMonitor {
    return this.monitors.get(rank)!;
  }
}
