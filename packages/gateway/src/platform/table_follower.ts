/** Keeps this instance up to date with one table of the platform's store. */
import {
  type Clock,
  ReadVerdict,
  type StorePosition,
  type TableUpdate,
  TablePosition,
  UpdateAction,
} from '@ragworthall/balancer';
import {pause, WakeablePause} from '../instance/pause.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {NewsExchange} from '../peer/news_exchange.js';
import {type RetryTiming, retryDelayAfter} from './retry_delay.js';
import type {StoreWatch} from './store_watch.js';
import type {
  DecodedRow,
  RowSource,
  Snapshot,
  StoredRow,
  StoreError,
} from './row_source.js';

/**
 * Delay after a failed call while the sources of this instance do not reach the
 * store either, milliseconds. They tell when it is back.
 */
const COMMON_OUTAGE_RETRY_MS = 2_500;
/**
 * Longest time from the return of the store to the first answer, milliseconds: a
 * call into silence has to end, and the next one follows.
 */
const MAX_NOTICE_MS = 950;

/** Timing of the calls for a table. */
export interface FollowTiming extends RetryTiming {
  /** Longest time that the store may delay its answer when nothing changes, milliseconds. */
  readonly longPollMs: number;
  /**
   * The same while other instances listen, milliseconds; below `confirmationAgeMs`,
   * since they need confirmation that they are current.
   */
  readonly relayLongPollMs: number;
  /** Age of the last confirmation after which the table is read, milliseconds. */
  readonly confirmationAgeMs: number;
  /**
   * Whether to wait for changes while the fleet is unknown. Otherwise the table as
   * it was read counts as current until its next confirmation is due.
   */
  readonly pollsUntilFleetKnown: boolean;
  /** Delay after a change, so that following changes are read in one call, milliseconds. */
  readonly batchMs: number;
}

/** Receives the rows of a table. */
export interface RowSink<T> {
  /** Replaces all rows of the table; rows that are not given no longer exist. */
  replace(rows: readonly DecodedRow<T>[], now: number): void;
  /**
   * Replaces all rows by those of a store that was restored from an older copy:
   * some are older than what is known, and some are missing until they are
   * written again.
   */
  replaceRestored(rows: readonly DecodedRow<T>[], now: number): void;
  /** Applies changed rows. */
  update(rows: readonly DecodedRow<T>[], now: number): void;
  /** Called when the store does not answer, or refuses. */
  storeLost(): void;
  /**
   * Called when the store answers again after an outage.
   *
   * @param lostAt When the last call began that it did not answer, milliseconds.
   */
  storeRegained(now: number, lostAt: number): void;
}

/** Dependencies of a follower. */
export interface FollowerContext {
  readonly exchange: NewsExchange;
  readonly storeWatch: StoreWatch;
  readonly clock: Clock;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** Follows one table in a task of its own. */
export class TableFollower<T> {
  private readonly position: TablePosition;
  private failures = 0;
  /** When the latest call of the store began. */
  private calledAt = -Infinity;
  /** Whether a call waits for changes. */
  private isWaiting = false;
  /** When the latest call began that the store did not answer. */
  private lostAt = -Infinity;
  /** Whether the latest update of a source was that the store does not answer. */
  private sourcesLostStore = false;
  /** Ends the current call early; replaced after each use. */
  private interrupt = new AbortController();
  /** Called at the end of the next call. */
  private readonly awaitingCall: (() => void)[] = [];
  private readonly pollPause = new WakeablePause();

  constructor(
    private readonly table: string,
    private readonly source: RowSource<T>,
    private readonly sink: RowSink<T>,
    private readonly context: FollowerContext,
    private readonly timing: FollowTiming,
  ) {
    this.position = new TablePosition(timing.confirmationAgeMs);
    context.exchange.onUpdate(table, (update, givesRows) =>
      this.applyPeerUpdate(update, givesRows),
    );
    context.exchange.onRoleChange(() => this.pollPause.wake());
    context.storeWatch.onReturn(() => this.pollPause.wake());
    context.storeWatch.onLoss(() => this.checkConnection());
    context.storeWatch.onRestored(era => this.eraChanged(era));
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (await this.readAll(signal)) await this.follow(signal);
    }
  }

  /**
   * Asks the store at once, on a new connection; resolves when it has answered or
   * the call has failed. What was known before a pause may be out of date.
   */
  confirm(): Promise<void> {
    return new Promise(resolve => {
      this.awaitingCall.push(resolve);
      this.interrupt.abort();
      this.pollPause.wake();
    });
  }

  /**
   * Asks again on a new connection if a call waits for changes: another task has
   * found the store silent, and the connection of that call may be silent, too.
   */
  private checkConnection(): void {
    if (this.isWaiting) void this.confirm();
  }

  private async readAll(signal: AbortSignal): Promise<boolean> {
    const startedAt = this.position.current;
    this.calledAt = this.context.clock.now();
    const read = await this.source.read(signal);
    if (read.isErr()) {
      await this.storeFailed(read.error, signal);
      return false;
    }
    this.storeAnswered();
    const {rows, era, version} = read.value;
    const now = this.context.clock.now();
    this.context.storeWatch.recordEra(era);
    const outcome = this.position.recordRead({era, version}, startedAt, now);
    switch (outcome) {
      case ReadVerdict.Overtaken:
        // A stale read is not repeated at once.
        await pause(this.timing.minRetryMs, signal);
        return true;
      case ReadVerdict.Restored:
        this.context.log.dependency('store_restored', {
          table: this.table,
          era,
          version,
          known: startedAt,
        });
        this.context.exchange.storeRestored();
        this.sink.replaceRestored(this.decode(rows), now);
        return true;
      case ReadVerdict.Newest:
        this.sink.replace(this.decode(rows), now);
        return true;
      default:
        return outcome satisfies never;
    }
  }

  /**
   * Reads changes until the store no longer has them, has too many, or was restored.
   */
  private async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const delayMs = this.pollDelayMs();
      if (delayMs > 0 && this.awaitingCall.length === 0) {
        await this.pollPause.wait(delayMs, signal);
        continue;
      }
      const from = this.position.current;
      this.interrupt = new AbortController();
      const awaiting = this.awaitingCall.splice(0);
      const settle = () => awaiting.forEach(resolve => resolve());
      const longPollMs = awaiting.length > 0 ? 0 : this.currentLongPollMs;
      this.calledAt = this.context.clock.now();
      this.isWaiting = longPollMs > 0;
      const read = await this.source.changes(
        from.version,
        longPollMs,
        AbortSignal.any([signal, this.interrupt.signal]),
      );
      this.isWaiting = false;
      if (read.isErr()) {
        settle();
        if (this.interrupt.signal.aborted) continue;
        await this.storeFailed(read.error, signal);
        // The whole table comes in pages, many changes in one reply.
        if (read.error.kind === 'too_large') return;
        continue;
      }
      this.storeAnswered();
      const changes = read.value;
      switch (changes.kind) {
        case 'history_lost':
          settle();
          this.context.log.stateChange('history_lost', {
            table: this.table,
            version: from.version,
          });
          return;
        case 'changes':
          if (!this.applyChanges(from, changes)) {
            settle();
            return;
          }
          settle();
          if (changes.rows.length > 0) await pause(this.timing.batchMs, signal);
          break;
        default:
          changes satisfies never;
      }
    }
  }

  /** Ends a wait for changes of the era before. */
  private eraChanged(era: number): void {
    if (!this.position.recordEra(era, this.context.clock.now())) return;
    this.interrupt.abort();
    this.pollPause.wake();
  }

  /** Time for which this instance relies on updates from other instances, milliseconds. */
  private pollDelayMs(): number {
    const {exchange, clock} = this.context;
    const mayRead = exchange.isFleetKnown || this.timing.pollsUntilFleetKnown;
    if (mayRead && !exchange.hasSources) return 0;
    return this.position.readDueAt - clock.now();
  }

  /** Longest time that the store may delay the answer to the next call, milliseconds. */
  private get currentLongPollMs(): number {
    // After a failure, an immediate answer shows that the store is back. One in
    // another era need not have changes after the known version.
    if (this.failures > 0 || this.position.awaitsEra) return 0;
    const {exchange} = this.context;
    return exchange.hasListeners
      ? this.timing.relayLongPollMs
      : this.timing.longPollMs;
  }

  /**
   * Applies changes that this instance read and publishes them to its listeners;
   * returns false if the table has to be read, since the store was restored.
   */
  private applyChanges(
    from: StorePosition,
    {rows, era, version}: Snapshot,
  ): boolean {
    const {exchange, clock, storeWatch} = this.context;
    const known = this.position.current.version;
    const now = clock.now();
    storeWatch.recordEra(era);
    const outcome = this.position.recordChanges({era, version}, from, now);
    if (outcome === ReadVerdict.Restored) return false;
    if (outcome === ReadVerdict.Newest) this.updateSink(rows, known, now);
    const span = {era, from: from.version, version};
    const update: TableUpdate<StoredRow> =
      rows.length > 0
        ? {kind: 'rows', ...span, rows}
        : {kind: 'unchanged', ...span};
    exchange.publish(this.table, update);
    return true;
  }

  /**
   * Applies an update that another instance published; returns whether to pass it
   * on. Announcements are not: those who listen may have the rows already.
   */
  private applyPeerUpdate(
    update: TableUpdate<StoredRow>,
    givesRows: boolean,
  ): boolean {
    const {clock, metrics} = this.context;
    const now = clock.now();
    const known = this.position.current.version;
    metrics.newsReceived(this.table, update.kind);
    this.sourcesLostStore = update.kind === 'no_answer';
    if (update.kind === 'regained') {
      this.sink.storeRegained(now, now - MAX_NOTICE_MS);
    }
    const action = this.position.recordUpdate(update, now);
    switch (action) {
      case UpdateAction.Apply:
      case UpdateAction.Confirm:
        if (this.failures > 0) this.endOutage(now);
        this.pollPause.wake();
        if (update.kind === 'rows') this.updateSink(update.rows, known, now);
        return true;
      case UpdateAction.Behind:
        // This instance now has to read the table earlier than planned.
        this.pollPause.wake();
        return false;
      case UpdateAction.None:
        return (
          givesRows &&
          (update.kind === 'no_answer' || update.kind === 'regained')
        );
      default:
        return action satisfies never;
    }
  }

  /** Applies the rows that are newer than the known version. */
  private updateSink(
    rows: readonly StoredRow[],
    known: number,
    now: number,
  ): void {
    const newerRows = rows.filter(row => row.version > known);
    if (newerRows.length > 0) this.sink.update(this.decode(newerRows), now);
  }

  private decode(rows: readonly StoredRow[]): readonly DecodedRow<T>[] {
    return rows.map(row => this.source.decode(row));
  }

  private storeAnswered(): void {
    const {exchange, clock, metrics} = this.context;
    metrics.storeCalled(this.table, 'answered');
    if (this.failures === 0) return;
    this.endOutage(clock.now());
    exchange.publish(this.table, {kind: 'regained'});
  }

  /** Ends an outage, after an answer of the store or an update from another instance. */
  private endOutage(now: number): void {
    this.failures = 0;
    this.context.log.dependency('store_regained', {table: this.table});
    // An instance that relies on others to notice the return calls rarely.
    const lostAt = Math.max(this.lostAt, now - MAX_NOTICE_MS);
    this.sink.storeRegained(now, lostAt);
    this.context.storeWatch.recordReturn();
  }

  private async storeFailed(
    err: StoreError,
    signal: AbortSignal,
  ): Promise<void> {
    if (signal.aborted) return;
    const {exchange, log, metrics} = this.context;
    metrics.storeCalled(this.table, err.kind);
    this.lostAt = this.calledAt;
    if (this.failures === 0) {
      const {kind: cause, detail} = err;
      log.dependency('store_lost', {table: this.table, cause, detail});
      this.sink.storeLost();
    }
    exchange.publish(this.table, {kind: 'no_answer'});
    if (err.kind === 'unreachable') this.context.storeWatch.recordLoss();
    const delayMs = this.retryDelayMs();
    this.failures += 1;
    await this.pollPause.wait(delayMs, signal);
  }

  /** Delay before the next call after a failed one, milliseconds. */
  private retryDelayMs(): number {
    const {exchange, clock} = this.context;
    if (this.sourcesLostStore && exchange.hasSources) {
      return Math.max(COMMON_OUTAGE_RETRY_MS, this.timing.maxRetryMs);
    }
    const spentMs = clock.now() - this.calledAt;
    return retryDelayAfter(this.failures, spentMs, this.timing);
  }
}
