/**
 * The configuration that this instance has in force. It is replicated through
 * the table, where changes are written and read. Its revision never goes back:
 * a change is applied only if it is the next, a snapshot only if it is newer.
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
  type InvalidRow,
  changedServiceId,
  ConfigurationRows,
  HISTORY_LENGTH,
  serviceRecordsOf,
  type ServiceRecord,
  type Snapshot,
} from './configuration_rows.js';
import type {
  ChangeOutcome,
  ChangeRequest,
  ConfigurationService,
} from './configuration_service.js';

/** Time limit for writing a change to the table, milliseconds. */
const WRITE_TIMEOUT_MS = 4_000;
/** Time limit for the acceptance of a written change, milliseconds. */
const ACCEPTANCE_TIMEOUT_MS = 5_000;
/** Wait before the first retry of a transaction, milliseconds; it doubles. */
const FIRST_RETRY_DELAY_MS = 50;
/** Retry delay told to operators while the table is down, milliseconds. */
const RETRY_AFTER_MS = 1_000;
/** Number of requests with an unknown outcome that are remembered. */
const MAX_UNRESOLVED = 1_000;

/** Propagates written changes to the other instances. */
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

/** What the configuration needs from the process around it. */
export interface ConfigurationHost {
  /** Waits for a random part of the time; ends early when the signal fires. */
  pause(ms: number, signal: AbortSignal): Promise<void>;
  /** Called for each row of the table that cannot be parsed. */
  reportInvalidRow(row: InvalidRow): void;
  /** Monotonic time, milliseconds. */
  now(): number;
}

/** Outcome of writing a change to the table. */
type WriteOutcome =
  | {readonly kind: 'written'; readonly revision: number}
  | Extract<
      ChangeOutcome,
      {kind: 'conflict' | 'unresolved' | 'store_unavailable'}
    >;

const UNAVAILABLE: WriteOutcome = {
  kind: 'store_unavailable',
  retryAfterMs: RETRY_AFTER_MS,
};

type Listener = (cfg: Configuration) => void;

/** Reads, applies and submits changes of the configuration in force. */
export class ReplicatedConfiguration implements ConfigurationService {
  private cfg: Configuration = EMPTY_CONFIGURATION;
  /** Newest applied changes, oldest first. */
  private records: readonly ChangeRecord[] = [];
  private readonly listeners = new Set<Listener>();
  /** Newest change of each service, including removed services. */
  private services: ReadonlyMap<ServiceId, ServiceRecord> = new Map();
  private readonly rows: ConfigurationRows;
  private propagator: ChangePropagator | undefined;
  /** Requests that were sent to the table and whose outcome is unknown. */
  private readonly unresolved = new Set<string>();

  constructor(
    private readonly table: Table,
    cell: string,
    private readonly host: ConfigurationHost,
  ) {
    this.rows = new ConfigurationRows(cell);
  }

  /** Key of the row whose version is the newest revision. */
  get headKey(): string {
    return this.rows.headKey;
  }

  /** Sets how written changes reach the other instances. */
  setPropagator(propagator: ChangePropagator): void {
    this.propagator = propagator;
  }

  current(): Configuration {
    return this.cfg;
  }

  history(): readonly ChangeRecord[] {
    return this.records;
  }

  /** The changes from a revision on; undefined if they are no longer kept. */
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

  /** Applies a change if it is the next one; returns whether it was. */
  applyChange(record: ChangeRecord): boolean {
    if (record.revision !== this.cfg.revision + 1) return false;
    this.records = [...this.records, record].slice(-HISTORY_LENGTH);
    const services = new Map(this.services);
    serviceRecordsOf(record).forEach(r => services.set(r.serviceId, r));
    this.services = services;
    this.putInForce(withChange(this.cfg, record));
    return true;
  }

  /** Applies a whole configuration if it is newer; returns whether it was. */
  applySnapshot(snapshot: Snapshot): boolean {
    if (snapshot.revision <= this.cfg.revision) return false;
    this.records = [];
    this.services = new Map(snapshot.services.map(s => [s.serviceId, s]));
    const present = snapshot.services.flatMap(({serviceId, service}) =>
      service ? [[serviceId, service] as [ServiceId, ServiceConfig]] : [],
    );
    const {revision} = snapshot;
    this.putInForce({revision, services: new Map(present)});
    return true;
  }

  /** Reads newer changes from the table; returns whether that succeeded. */
  async refresh(): Promise<boolean> {
    const head = await this.table.read(this.rows.headKey);
    if (head.kind === 'unavailable') return false;
    const newest = head.rows[0]?.version ?? 0;
    return newest <= this.cfg.revision || this.readUpTo(newest);
  }

  /** Reads changes up to `newest`, a revision that the table has. */
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
        const isAccepted = await this.propagator?.waitUntilAccepted(
          revision,
          ACCEPTANCE_TIMEOUT_MS,
          signal,
        );
        return {kind: isAccepted ? 'accepted' : 'pending', revision};
      }
      case 'conflict':
      case 'unresolved':
      case 'store_unavailable':
        return written;
      default:
        throw new Error(`unexpected outcome: ${written satisfies never}`);
    }
  }

  /** Writes a change, retrying until the outcome is known or time runs out. */
  private async write(
    req: ChangeRequest,
    signal: AbortSignal,
  ): Promise<WriteOutcome> {
    const endsAt = this.host.now() + WRITE_TIMEOUT_MS;
    const unresolved = {
      kind: 'unresolved',
      operationId: req.operationId,
    } as const;
    // Whether an earlier transaction may still reach the table.
    let mayBePending = this.unresolved.has(req.operationId);
    if (!(await this.refresh()) && !mayBePending) return UNAVAILABLE;
    let waitMs = FIRST_RETRY_DELAY_MS;
    while (this.host.now() < endsAt && !signal.aborted) {
      const conflict = this.conflictingChange(req);
      const record = this.nextRecord(req);
      const sent = await this.table.transact(
        conflict
          ? this.rows.absenceTransaction(req.operationId)
          : this.rows.changeTransaction(record),
      );
      switch (sent.kind) {
        case 'done':
          this.unresolved.delete(req.operationId);
          if (conflict) return conflictOutcome(conflict);
          this.applyChange(record);
          this.propagator?.publish(record);
          return {kind: 'written', revision: record.revision};
        case 'conflict': {
          const revision = this.rows.revisionOf(req.operationId, sent.failed);
          const head = sent.failed.find(r => r.key === this.rows.headKey);
          if (head) await this.readUpTo(head.version);
          if (revision) return {kind: 'written', revision};
          // The head has changed, so no earlier transaction can succeed now.
          mayBePending = false;
          this.unresolved.delete(req.operationId);
          break;
        }
        case 'unknown':
          mayBePending ||= !conflict;
          if (mayBePending) this.rememberUnresolved(req.operationId);
          break;
        case 'unavailable':
          break;
        default:
          throw new Error(`unexpected outcome: ${sent satisfies never}`);
      }
      await this.host.pause(waitMs, signal);
      waitMs *= 2;
    }
    return mayBePending ? unresolved : UNAVAILABLE;
  }

  private rememberUnresolved(operationId: string): void {
    this.unresolved.add(operationId);
    if (this.unresolved.size <= MAX_UNRESOLVED) return;
    const [oldest] = this.unresolved;
    this.unresolved.delete(oldest!);
  }

  private nextRecord(req: ChangeRequest): ChangeRecord {
    const {operationId, by, changes} = req;
    return {revision: this.cfg.revision + 1, operationId, by, changes};
  }

  /** Finds a newer change to the same services than `req` is based on. */
  private conflictingChange(req: ChangeRequest): ServiceRecord | undefined {
    return req.changes
      .map(change => this.services.get(changedServiceId(change)))
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
          // A peer may have sent the change during the read.
          if (!this.applyChange(parsed.value) && !this.isInForce(parsed.value))
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

  private isInForce(record: ChangeRecord): boolean {
    return this.cfg.revision >= record.revision;
  }

  private async readAll(): Promise<boolean> {
    const read = await this.table.list(this.rows.prefix);
    if (read.kind === 'unavailable') return false;
    const parsed = this.rows.parseSnapshot(read.rows);
    if (!parsed) return false;
    parsed.invalidRows.forEach(row => this.host.reportInvalidRow(row));
    // With a configuration in force, a snapshot with invalid rows is ignored;
    // at the start, the services that can be parsed are better than none.
    if (parsed.invalidRows.length > 0 && this.cfg.revision > 0) return false;
    this.applySnapshot(parsed.snapshot);
    return true;
  }

  private putInForce(cfg: Configuration): void {
    this.cfg = cfg;
    this.listeners.forEach(listener => listener(cfg));
  }
}

function conflictOutcome(conflict: ServiceRecord): WriteOutcome {
  return {kind: 'conflict', revision: conflict.revision, by: conflict.by};
}
