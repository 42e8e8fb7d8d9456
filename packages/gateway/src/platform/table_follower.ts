/** Follows one table of the platform's store. One task for each table. */
import type {Clock} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import type {GatewayLog} from '../log/gateway_log.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {RowNews, RowSource, Snapshot, StoreError} from './row_source.js';

/** First pause after a failed call, milliseconds; it doubles. */
const FIRST_PAUSE_MS = 150;
/** Longest such pause, milliseconds. */
const MAX_PAUSE_MS = 800;

/** How a table is followed. */
export interface FollowPace {
  /** Longest time for which the store holds a question without news, milliseconds. */
  readonly waitMs: number;
  /** Pause after news, so that later changes are read together, milliseconds. */
  readonly gatherMs: number;
}

/** Who takes in the rows. */
export interface RowSink<T> {
  /** Takes in all rows of the table; rows that are not there are gone. */
  replace(rows: readonly RowNews<T>[], now: number): void;
  /** Takes in rows that have changed. */
  change(rows: readonly RowNews<T>[], now: number): void;
  /** Notes that the store answers again after it did not. */
  regained(now: number): void;
}

/** The task that follows one table. */
export class TableFollower<T> {
  private failures = 0;

  constructor(
    private readonly table: string,
    private readonly source: RowSource<T>,
    private readonly sink: RowSink<T>,
    private readonly clock: Clock,
    private readonly log: GatewayLog,
    private readonly metrics: GatewayMetrics,
    private readonly pace: FollowPace,
  ) {}

  /** Runs until the signal comes. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const snapshot = await this.readAll(signal);
      if (snapshot) await this.follow(snapshot.version, signal);
    }
  }

  private async readAll(signal: AbortSignal): Promise<Snapshot<T> | undefined> {
    const read = await this.source.read(signal);
    if (read.isErr()) {
      await this.failed(read.error, signal);
      return undefined;
    }
    this.answered();
    this.sink.replace(read.value.rows, this.clock.now());
    return read.value;
  }

  /** Takes in changes until the store no longer knows them. */
  private async follow(from: number, signal: AbortSignal): Promise<void> {
    let version = from;
    while (!signal.aborted) {
      const read = await this.source.changes(version, this.pace.waitMs, signal);
      if (read.isErr()) {
        await this.failed(read.error, signal);
        continue;
      }
      this.answered();
      const changes = read.value;
      switch (changes.kind) {
        case 'history_lost':
          this.log.belief('history_lost', {table: this.table, version});
          return;
        case 'changes':
          version = changes.version;
          if (changes.rows.length === 0) break;
          this.sink.change(changes.rows, this.clock.now());
          await pause(this.pace.gatherMs, signal);
          break;
        default:
          changes satisfies never;
      }
    }
  }

  private answered(): void {
    this.metrics.storeCalled(this.table, 'answered');
    if (this.failures === 0) return;
    this.failures = 0;
    this.log.dependency('store_regained', {table: this.table});
    this.sink.regained(this.clock.now());
  }

  private async failed(err: StoreError, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    this.metrics.storeCalled(this.table, err.kind);
    if (this.failures === 0) {
      const {kind: cause, detail} = err;
      this.log.dependency('store_lost', {table: this.table, cause, detail});
    }
    const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(this.failures, 8);
    this.failures += 1;
    await pause(Math.min(MAX_PAUSE_MS, pauseMs), signal);
  }
}

async function pause(ms: number, signal: AbortSignal): Promise<void> {
  // Rejects only when the signal ends the task, which its loop looks at.
  await delay(ms, undefined, {signal}).catch(() => undefined);
}
