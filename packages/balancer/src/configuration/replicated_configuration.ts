/**
 * The configuration that this instance has in force, read from the table and
 * changed through it. Its revision never goes back: a record is taken in only
 * if it is the next one, a snapshot only if it is newer.
 */
import {
  type ChangeRecord,
  type Configuration,
  EMPTY_CONFIGURATION,
  type ServiceConfig,
  type ServiceId,
  withChange,
} from '@ragworthall/contracts';
import type {Table} from '../platform/table.js';
import {
  type BadRow,
  changedService,
  ConfigurationRows,
  HISTORY_LENGTH,
  recordsOf,
  type ServiceRecord,
  type Snapshot,
} from './configuration_rows.js';
import type {
  ChangeOutcome,
  ChangeRequest,
  ConfigurationService,
} from './configuration_service.js';

/** Time for a change to reach the table, milliseconds. */
const WRITE_TIME_MS = 4_000;
/** Time for a written change to be accepted, milliseconds. */
const ACCEPT_TIME_MS = 5_000;
/** First wait before a transaction is sent again, milliseconds; it doubles. */
const FIRST_RETRY_MS = 50;
/** Wait that an operator is told while the table is down, milliseconds. */
const RETRY_AFTER_MS = 1_000;
/** Requests remembered whose writes may have taken effect. */
const MAX_DOUBTFUL = 1_000;

/** Brings a written change to the other instances. */
export interface ChangePropagator {
  /** Sends a change to all other instances of the cell. */
  publish(record: ChangeRecord): void;
  /** Waits until a revision is in force wherever requests are served. */
  waitUntilAccepted(
    revision: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<boolean>;
}

/** What the keeper needs of its process. */
export interface ConfigurationHost {
  /** Waits, up to a random share of the time; ends early with the signal. */
  pause(ms: number, signal: AbortSignal): Promise<void>;
  /** A row of the table was set aside. */
  reportInvalidRow(row: BadRow): void;
  /** Monotonic time, milliseconds. */
  now(): number;
}

/** What is known after a change was sent to the table. */
type Written =
  | {readonly kind: 'written'; readonly revision: number}
  | Extract<
      ChangeOutcome,
      {kind: 'conflict' | 'unresolved' | 'store_unavailable'}
    >;

const UNAVAILABLE: Written = {
  kind: 'store_unavailable',
  retryAfterMs: RETRY_AFTER_MS,
};

type Listener = (cfg: Configuration) => void;

/** Keeps the configuration in force. */
export class ReplicatedConfiguration implements ConfigurationService {
  private cfg: Configuration = EMPTY_CONFIGURATION;
  private records: readonly ChangeRecord[] = [];
  private readonly listeners = new Set<Listener>();
  /** The newest change of each service, also of removed ones. */
  private services: ReadonlyMap<ServiceId, ServiceRecord> = new Map();
  private readonly rows: ConfigurationRows;
  private spread: ChangePropagator | undefined;
  /** Requests that were sent to the table and whose end is not known. */
  private readonly doubtful = new Set<string>();

  constructor(
    private readonly table: Table,
    cell: string,
    private readonly host: ConfigurationHost,
  ) {
    this.rows = new ConfigurationRows(cell);
  }

  /** The row whose version is the newest revision. */
  get headKey(): string {
    return this.rows.headKey;
  }

  /** Sets what brings changes to the other instances. */
  setPropagator(spread: ChangePropagator): void {
    this.spread = spread;
  }

  current(): Configuration {
    return this.cfg;
  }

  history(): readonly ChangeRecord[] {
    return this.records;
  }

  /** The changes from a revision on; undefined if they are no longer here. */
  changesFrom(revision: number): readonly ChangeRecord[] | undefined {
    const oldest = this.records[0]?.revision ?? Infinity;
    if (revision < oldest) return undefined;
    return this.records.filter(r => r.revision >= revision);
  }

  snapshot(): Snapshot {
    const services = [...this.services.values()];
    return {revision: this.cfg.revision, services};
  }

  onChanged(listener: Listener): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** Takes in the next record; returns whether it was the next one. */
  applyChange(record: ChangeRecord): boolean {
    if (record.revision !== this.cfg.revision + 1) return false;
    this.records = [...this.records, record].slice(-HISTORY_LENGTH);
    const services = new Map(this.services);
    recordsOf(record).forEach(r => services.set(r.serviceId, r));
    this.services = services;
    this.replace(withChange(this.cfg, record));
    return true;
  }

  /** Takes in a whole configuration if it is newer. */
  applySnapshot(snapshot: Snapshot): boolean {
    if (snapshot.revision <= this.cfg.revision) return false;
    this.records = [];
    this.services = new Map(snapshot.services.map(s => [s.serviceId, s]));
    const present = snapshot.services.flatMap(({serviceId, service}) =>
      service ? [[serviceId, service] as [ServiceId, ServiceConfig]] : [],
    );
    const {revision} = snapshot;
    this.replace({revision, services: new Map(present)});
    return true;
  }

  /** Reads what is new in the table; returns whether the table answered. */
  async refresh(): Promise<boolean> {
    const head = await this.table.read(this.rows.headKey);
    if (head.kind === 'unavailable') return false;
    const newest = head.rows[0]?.version ?? 0;
    return newest <= this.cfg.revision || this.readUpTo(newest);
  }

  /** Reads the changes up to a revision that the table surely has. */
  async readUpTo(newest: number): Promise<boolean> {
    const gap = newest - this.cfg.revision;
    const isNear = this.cfg.revision > 0 && gap <= HISTORY_LENGTH / 10;
    if (isNear && (await this.catchUp(newest))) return true;
    return this.readAll();
  }

  async submit(
    req: ChangeRequest,
    signal: AbortSignal,
  ): Promise<ChangeOutcome> {
    const written = await this.write(req, signal);
    switch (written.kind) {
      case 'written': {
        const {revision} = written;
        const isAccepted = await this.spread?.waitUntilAccepted(
          revision,
          ACCEPT_TIME_MS,
          signal,
        );
        return {kind: isAccepted ? 'accepted' : 'pending', revision};
      }
      case 'conflict':
      case 'unresolved':
      case 'store_unavailable':
        return written;
      default:
        throw new Error(`unexpected end: ${written satisfies never}`);
    }
  }

  /** Sends a change until it is known what became of it. */
  private async write(
    req: ChangeRequest,
    signal: AbortSignal,
  ): Promise<Written> {
    const endsAt = this.host.now() + WRITE_TIME_MS;
    const unresolved = {
      kind: 'unresolved',
      operationId: req.operationId,
    } as const;
    // Whether a copy may still be on its way to the table.
    let inDoubt = this.doubtful.has(req.operationId);
    if (!(await this.refresh()) && !inDoubt) return UNAVAILABLE;
    let waitMs = FIRST_RETRY_MS;
    while (this.host.now() < endsAt && !signal.aborted) {
      const rival = this.rivalOf(req);
      const record = this.nextRecord(req);
      const sent = await this.table.transact(
        rival
          ? this.rows.absenceTransaction(req.operationId)
          : this.rows.changeTransaction(record),
      );
      switch (sent.kind) {
        case 'done':
          this.doubtful.delete(req.operationId);
          if (rival) return conflictWith(rival);
          this.applyChange(record);
          this.spread?.publish(record);
          return {kind: 'written', revision: record.revision};
        case 'conflict': {
          const revision = this.rows.revisionOf(req.operationId, sent.failed);
          const head = sent.failed.find(r => r.key === this.rows.headKey);
          if (head) await this.readUpTo(head.version);
          if (revision) return {kind: 'written', revision};
          // The head has moved on: no copy can take effect any more.
          inDoubt = false;
          this.doubtful.delete(req.operationId);
          break;
        }
        case 'unknown':
          inDoubt ||= !rival;
          if (inDoubt) this.doubt(req.operationId);
          break;
        case 'unavailable':
          break;
        default:
          throw new Error(`unexpected outcome: ${sent satisfies never}`);
      }
      await this.host.pause(waitMs, signal);
      waitMs *= 2;
    }
    return inDoubt ? unresolved : UNAVAILABLE;
  }

  private doubt(operationId: string): void {
    this.doubtful.add(operationId);
    if (this.doubtful.size <= MAX_DOUBTFUL) return;
    const [oldest] = this.doubtful;
    this.doubtful.delete(oldest!);
  }

  private nextRecord(req: ChangeRequest): ChangeRecord {
    const {operationId, by, changes} = req;
    return {revision: this.cfg.revision + 1, operationId, by, changes};
  }

  /** The change of another request that `req` did not know of, if any. */
  private rivalOf(req: ChangeRequest): ServiceRecord | undefined {
    return req.changes
      .map(change => this.services.get(changedService(change)))
      .find(
        r =>
          r &&
          r.revision > req.baseRevision &&
          r.operationId !== req.operationId,
      );
  }

  private async catchUp(newest: number): Promise<boolean> {
    while (this.cfg.revision < newest) {
      const key = this.rows.changeKey(this.cfg.revision + 1);
      const read = await this.table.read(key);
      if (read.kind === 'unavailable') return false;
      const parsed = this.rows.parseChange(read.rows[0]);
      switch (parsed.kind) {
        case 'value':
          // A peer may have brought it meanwhile.
          if (!this.applyChange(parsed.value) && !this.has(parsed.value))
            return false;
          break;
        case 'absent':
          return false;
        case 'bad':
          this.host.reportInvalidRow(parsed);
          return false;
        default:
          throw new Error(`unexpected row: ${parsed satisfies never}`);
      }
    }
    return true;
  }

  private has(record: ChangeRecord): boolean {
    return this.cfg.revision >= record.revision;
  }

  private async readAll(): Promise<boolean> {
    const read = await this.table.list(this.rows.prefix);
    if (read.kind === 'unavailable') return false;
    const parsed = this.rows.parseAll(read.rows);
    if (!parsed) return false;
    parsed.bad.forEach(row => this.host.reportInvalidRow(row));
    // With something in force, a change that cannot be read stays out; without
    // anything, the services that can be read are better than none.
    if (parsed.bad.length > 0 && this.cfg.revision > 0) return false;
    this.applySnapshot(parsed.snapshot);
    return true;
  }

  private replace(cfg: Configuration): void {
    this.cfg = cfg;
    this.listeners.forEach(listener => listener(cfg));
  }
}

function conflictWith(rival: ServiceRecord): Written {
  return {kind: 'conflict', revision: rival.revision, by: rival.by};
}
