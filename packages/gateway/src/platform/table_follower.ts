/** Follows one table of the platform's store. One task for each table. */
import {
  type Clock,
  NewsUse,
  type TableNews,
  TablePosition,
} from '@ragworthall/balancer';
import {pause, Rest} from '../instance/pause.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {NewsExchange} from '../peer/news_exchange.js';
import type {
  DecodedRow,
  RowSource,
  Snapshot,
  StoredRow,
  StoreError,
} from './row_source.js';

/** First pause after a failed call, milliseconds; it doubles. */
const FIRST_PAUSE_MS = 150;
/** Longest such pause, milliseconds. */
const MAX_PAUSE_MS = 800;

/** How a table is followed. */
export interface FollowPace {
  /** Longest time for which the store holds a question without news, milliseconds. */
  readonly waitMs: number;
  /** The same while other instances listen, who have to know how old news is. */
  readonly readerWaitMs: number;
  /** Pause after news, so that later changes are read together, milliseconds. */
  readonly gatherMs: number;
}

/** Who takes in the rows. */
export interface RowSink<T> {
  /** Takes in all rows of the table; rows that are not there are gone. */
  replace(rows: readonly DecodedRow<T>[], now: number): void;
  /** Takes in rows that have changed. */
  change(rows: readonly DecodedRow<T>[], now: number): void;
  /** Notes that the store answers again after it did not. */
  regained(now: number): void;
}

/** What a follower works with. */
export interface FollowDesk {
  readonly exchange: NewsExchange;
  readonly clock: Clock;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** The task that follows one table. */
export class TableFollower<T> {
  private readonly position = new TablePosition();
  private failures = 0;
  private readonly resting = new Rest();

  constructor(
    private readonly table: string,
    private readonly source: RowSource<T>,
    private readonly sink: RowSink<T>,
    private readonly desk: FollowDesk,
    private readonly pace: FollowPace,
  ) {
    desk.exchange.onNews(table, news => this.hear(news));
    desk.exchange.onChange(() => this.resting.wake());
  }

  /** Runs until the signal comes. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (await this.readAll(signal)) await this.follow(signal);
    }
  }

  private async readAll(signal: AbortSignal): Promise<boolean> {
    const read = await this.source.read(signal);
    if (read.isErr()) {
      await this.failed(read.error, signal);
      return false;
    }
    this.answered();
    const {rows, version} = read.value;
    const now = this.desk.clock.now();
    if (this.position.read(version, now)) {
      this.sink.replace(this.decode(rows), now);
    }
    return true;
  }

  /** Takes in changes until the store no longer knows them. */
  private async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const restMs = this.restMs();
      if (restMs > 0) {
        await this.resting.take(restMs, signal);
        continue;
      }
      const from = this.position.version;
      const read = await this.source.changes(from, this.waitMs, signal);
      if (read.isErr()) {
        await this.failed(read.error, signal);
        continue;
      }
      this.answered();
      const changes = read.value;
      switch (changes.kind) {
        case 'history_lost':
          this.desk.log.stateChange('history_lost', {
            table: this.table,
            version: from,
          });
          return;
        case 'changes':
          this.takeIn(from, changes);
          if (changes.rows.length > 0) await pause(this.pace.gatherMs, signal);
          break;
        default:
          changes satisfies never;
      }
    }
  }

  /** Time for which others read for this instance, milliseconds. */
  private restMs(): number {
    const {exchange, clock} = this.desk;
    if (exchange.isReader || !exchange.hasSources) return 0;
    return this.position.readDueAt - clock.now();
  }

  /** Time for which the store may hold a question, milliseconds. */
  private get waitMs(): number {
    // An answer at once shows that the store is back.
    if (this.failures > 0) return 0;
    const {exchange} = this.desk;
    return exchange.isReader ? this.pace.readerWaitMs : this.pace.waitMs;
  }

  /** Takes in what this instance read, and passes it on. */
  private takeIn(from: number, {rows, version}: Snapshot): void {
    const {exchange, clock} = this.desk;
    const known = this.position.version;
    const now = clock.now();
    if (this.position.read(version, now)) this.change(rows, known, now);
    const news: TableNews<StoredRow> =
      rows.length > 0
        ? {kind: 'rows', from, version, rows}
        : {kind: 'unchanged', from, version};
    exchange.publish(this.table, news);
  }

  /** Takes in what another instance read. */
  private hear(news: TableNews<StoredRow>): void {
    const {clock, metrics} = this.desk;
    const now = clock.now();
    const known = this.position.version;
    metrics.newsHeard(this.table, news.kind);
    if (news.kind === 'regained') this.sink.regained(now);
    const use = this.position.take(news, now);
    switch (use) {
      case NewsUse.Apply:
      case NewsUse.Confirm:
        if (this.failures > 0) this.regained(now);
        if (news.kind === 'rows') this.change(news.rows, known, now);
        return;
      case NewsUse.Behind:
        // The time at which the table is read here has come closer.
        return this.resting.wake();
      case NewsUse.None:
        return;
      default:
        use satisfies never;
    }
  }

  /** Takes in the rows that are newer than what was known. */
  private change(rows: readonly StoredRow[], known: number, now: number): void {
    const news = rows.filter(row => row.version > known);
    if (news.length > 0) this.sink.change(this.decode(news), now);
  }

  private decode(rows: readonly StoredRow[]): readonly DecodedRow<T>[] {
    return rows.map(row => this.source.decode(row));
  }

  private answered(): void {
    const {exchange, clock, metrics} = this.desk;
    metrics.storeCalled(this.table, 'answered');
    if (this.failures === 0) return;
    this.regained(clock.now());
    exchange.publish(this.table, {kind: 'regained'});
  }

  /** Notes that there is news again, from the store or from others. */
  private regained(now: number): void {
    this.failures = 0;
    this.desk.log.dependency('store_regained', {table: this.table});
    this.sink.regained(now);
  }

  private async failed(err: StoreError, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const {exchange, log, metrics} = this.desk;
    metrics.storeCalled(this.table, err.kind);
    if (this.failures === 0) {
      const {kind: cause, detail} = err;
      log.dependency('store_lost', {table: this.table, cause, detail});
    }
    exchange.publish(this.table, {kind: 'no_answer'});
    const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(this.failures, 8);
    this.failures += 1;
    await pause(Math.min(MAX_PAUSE_MS, pauseMs), signal);
  }
}
