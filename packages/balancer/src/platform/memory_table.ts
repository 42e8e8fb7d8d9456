/**
 * An in-memory table for tests that implements the semantics of the platform's
 * table and injects faults. Stale reads return the state of some transactions
 * ago.
 */
import type {Row, Transaction} from '@ragworthall/contracts';
import type {ReadOutcome, Table, TransactionOutcome} from './table.js';

/** Fault that is injected into requests. */
export type TableFault =
  | 'none'
  /** The table is unreachable. */
  | 'down'
  /** Transactions are committed, but their answers are lost. */
  | 'answers_lost'
  /** Reads return an earlier state. */
  | 'stale'
  /** Reads return a mixture of rows from an earlier and the current state. */
  | 'mixed';

/** Number of transactions that a stale read lags behind. */
const STALE_TRANSACTIONS = 3;

type State = ReadonlyMap<string, Row>;

/** An in-memory table, shared by all of its clients. */
export class MemoryTable {
  private states: readonly State[] = [new Map()];
  /** Number of requests so far. */
  requests = 0;

  /** Returns a client of the table; `fault` is evaluated for each request. */
  client(fault: () => TableFault = () => 'none'): Table {
    return {
      transact: async transaction => this.transact(transaction, fault()),
      read: async key =>
        this.read(fault(), state => {
          const row = state.get(key);
          return row ? [row] : [];
        }),
      list: async prefix =>
        this.read(fault(), state =>
          [...state.values()]
            .filter(row => row.key.startsWith(prefix))
            .sort((a, b) => (a.key < b.key ? -1 : 1)),
        ),
    };
  }

  /** Writes a row without checking its version. */
  overwrite(key: string, value: unknown): void {
    this.commit({conditions: [], writes: [{key, value}]});
  }

  private get newest(): State {
    return this.states.at(-1)!;
  }

  private transact(
    transaction: Transaction,
    fault: TableFault,
  ): TransactionOutcome {
    this.requests += 1;
    if (fault === 'down') return {kind: 'unavailable', detail: 'down'};
    const failed = transaction.conditions
      .filter(
        condition =>
          (this.newest.get(condition.key)?.version ?? 0) !== condition.version,
      )
      .map(
        condition =>
          this.newest.get(condition.key) ?? {
            ...condition,
            version: 0,
            value: null,
          },
      );
    if (failed.length === 0) this.commit(transaction);
    if (fault === 'answers_lost') return {kind: 'unknown', detail: 'lost'};
    if (failed.length > 0) return {kind: 'conflict', failed};
    const versions = transaction.writes.map(write => [
      write.key,
      this.versionOf(write.key),
    ]);
    return {kind: 'done', versions: Object.fromEntries(versions)};
  }

  private versionOf(key: string): number {
    return this.newest.get(key)?.version ?? 0;
  }

  private commit(transaction: Transaction): void {
    const next = new Map(this.newest);
    transaction.writes.forEach(({key, value}) => {
      const version = this.versionOf(key) + 1;
      if (value === null) next.delete(key);
      else next.set(key, {key, version, value});
    });
    this.states = [...this.states, next].slice(-STALE_TRANSACTIONS - 1);
  }

  private read(
    fault: TableFault,
    rowsOf: (state: State) => Row[],
  ): ReadOutcome {
    this.requests += 1;
    if (fault === 'down') return {kind: 'unavailable', detail: 'down'};
    return {
      kind: 'rows',
      rows: structuredClone(rowsOf(this.visibleState(fault))),
    };
  }

  private visibleState(fault: TableFault): State {
    const oldest = this.states[0]!;
    if (fault === 'stale') return oldest;
    if (fault !== 'mixed') return this.newest;
    const newRows = [...this.newest].filter(
      ([key], i) => (i + this.requests) % 2 === 0 || !oldest.has(key),
    );
    return new Map([...oldest, ...newRows]);
  }
}
