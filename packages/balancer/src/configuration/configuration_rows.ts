/**
 * Rows of the table that hold a cell's configuration. A reading may be stale,
 * so each row says at which revision it was written: a reading is taken only
 * if its rows fit together.
 */
import {
  type ChangeRecord,
  type Row,
  type ServiceChange,
  type ServiceConfig,
  type ServiceId,
  serviceIdOf,
  serviceSchema,
  type Transaction,
  type Write,
} from '@ragworthall/contracts';
import {z} from 'zod';

/** Version of the form of the rows; rows of a later one are set aside. */
export const ROW_FORMAT = 1;
/** Changes that the table keeps. */
export const HISTORY_LENGTH = 100;
/** Digits of a revision in a key, so that keys sort by revision. */
const REVISION_DIGITS = 12;

/** The newest change of one service. */
export interface ServiceRecord {
  readonly serviceId: ServiceId;
  /** Revision of the change. */
  readonly revision: number;
  readonly operationId: string;
  readonly by: string;
  /** Null if the change removed the service. */
  readonly service: ServiceConfig | null;
}

/** A whole configuration, with who changed each service. */
export interface Snapshot {
  readonly revision: number;
  /** Also the services that were removed. */
  readonly services: readonly ServiceRecord[];
}

/** What rows hold. */
export type Parsed<T> =
  | {readonly kind: 'value'; readonly value: T}
  | {readonly kind: 'absent'}
  /** The row is set aside. */
  | {readonly kind: 'bad'; readonly key: string; readonly detail: string};

const serviceId = z.string().transform(id => id as ServiceId);
const format = z.literal(ROW_FORMAT);

const recordSchema = z.object({
  format,
  revision: z.int().min(1),
  operationId: z.string(),
  by: z.string(),
  changes: z.array(
    z.discriminatedUnion('kind', [
      z.object({kind: z.literal('put'), service: serviceSchema}),
      z.object({kind: z.literal('remove'), serviceId}),
    ]),
  ),
});

const serviceRowSchema = z.object({
  format,
  serviceId,
  revision: z.int().min(1),
  operationId: z.string(),
  by: z.string(),
  service: serviceSchema.nullable(),
});

const operationSchema = z.object({revision: z.int().min(1)});

/** Keys and rows of one cell's configuration. */
export class ConfigurationRows {
  /** Prefix of all rows that a whole reading needs. */
  readonly prefix: string;
  /** The row whose version is the newest revision. */
  readonly headKey: string;
  private readonly servicePrefix: string;
  private readonly changePrefix: string;

  constructor(private readonly cell: string) {
    this.prefix = `cell/${cell}/config/`;
    this.headKey = `${this.prefix}head`;
    this.servicePrefix = `${this.prefix}service/`;
    this.changePrefix = `${this.prefix}change/`;
  }

  /** Key of the row of a change. */
  changeKey(revision: number): string {
    const digits = String(revision).padStart(REVISION_DIGITS, '0');
    return this.changePrefix + digits;
  }

  /** Key of the row that remembers an operator's request. */
  operationKey(operationId: string): string {
    return `cell/${this.cell}/operation/${operationId}`;
  }

  /** Returns the transaction that writes a change as the next revision. */
  changeTransaction(record: ChangeRecord): Transaction {
    const {revision, operationId, by} = record;
    const outdated = revision - HISTORY_LENGTH;
    return {
      conditions: [
        {key: this.headKey, version: revision - 1},
        {key: this.operationKey(operationId), version: 0},
      ],
      writes: [
        {key: this.headKey, value: {operationId, by}},
        {key: this.operationKey(operationId), value: {revision}},
        {key: this.changeKey(revision), value: {format: ROW_FORMAT, ...record}},
        ...(outdated > 0 ? [{key: this.changeKey(outdated), value: null}] : []),
        ...serviceRecordsOf(record).map(r => this.serviceWrite(r)),
      ],
    };
  }

  /** Returns a transaction that succeeds only if a request was not written. */
  absenceTransaction(operationId: string): Transaction {
    const key = this.operationKey(operationId);
    return {conditions: [{key, version: 0}], writes: []};
  }

  /** Revision that a request made, from the rows of a conflict. */
  revisionOf(operationId: string, rows: readonly Row[]): number | undefined {
    const row = rows.find(r => r.key === this.operationKey(operationId));
    const parsed = operationSchema.safeParse(row?.value);
    return parsed.success ? parsed.data.revision : undefined;
  }

  /** Parses the row of a change. */
  parseChange(row: Row | undefined): Parsed<ChangeRecord> {
    if (!row) return {kind: 'absent'};
    const parsed = recordSchema.safeParse(row.value);
    if (!parsed.success) return invalidRow(row, parsed.error);
    const {revision, operationId, by, changes} = parsed.data;
    return {kind: 'value', value: {revision, operationId, by, changes}};
  }

  /**
   * Parses the rows below {@link prefix}; undefined if they are of different
   * moments.
   */
  parseSnapshot(
    rows: readonly Row[],
  ):
    | {readonly snapshot: Snapshot; readonly bad: readonly InvalidRow[]}
    | undefined {
    const revision = rows.find(r => r.key === this.headKey)?.version ?? 0;
    const services = rows
      .filter(r => r.key.startsWith(this.servicePrefix))
      .map(parseService);
    const good = services.flatMap(p => (p.kind === 'value' ? [p.value] : []));
    const badRows = services.flatMap(p => (p.kind === 'bad' ? [p] : []));
    const changes = rows
      .filter(r => r.key.startsWith(this.changePrefix))
      .map(row => this.parseChange(row))
      .flatMap(p => (p.kind === 'value' ? [p.value] : []));
    if (!areConsistent(revision, good, badRows.length > 0, changes)) {
      return undefined;
    }
    return {snapshot: {revision, services: good}, bad: badRows};
  }

  private serviceWrite(record: ServiceRecord): Write {
    return {
      key: this.servicePrefix + record.serviceId,
      value: {format: ROW_FORMAT, ...record},
    };
  }
}

/** A row that was set aside. */
export type InvalidRow = Extract<Parsed<never>, {kind: 'bad'}>;

/** Returns what a change makes of each service that it touches. */
export function serviceRecordsOf(
  record: ChangeRecord,
): readonly ServiceRecord[] {
  const {revision, operationId, by} = record;
  return record.changes.map(change => ({
    serviceId: changedServiceId(change),
    revision,
    operationId,
    by,
    service: change.kind === 'put' ? change.service : null,
  }));
}

/** Returns the service that a change touches. */
export function changedServiceId(change: ServiceChange): ServiceId {
  switch (change.kind) {
    case 'put':
      return serviceIdOf(change.service);
    case 'remove':
      return change.serviceId;
    default:
      throw new Error(`unexpected change: ${change satisfies never}`);
  }
}

function parseService(row: Row): Parsed<ServiceRecord> {
  const parsed = serviceRowSchema.safeParse(row.value);
  return parsed.success
    ? {kind: 'value', value: parsed.data}
    : invalidRow(row, parsed.error);
}

function invalidRow(row: Row, err: z.ZodError): InvalidRow {
  return {kind: 'bad', key: row.key, detail: z.prettifyError(err)};
}

/**
 * Whether the rows can be of one moment: that of `revision`. All changes that
 * the table keeps must be there, and each service be as new as they say.
 */
function areConsistent(
  revision: number,
  services: readonly ServiceRecord[],
  someAreBad: boolean,
  changes: readonly ChangeRecord[],
): boolean {
  if (services.some(s => s.revision > revision)) return false;
  const oldest = Math.max(1, revision - HISTORY_LENGTH + 1);
  const kept = changes.filter(c => c.revision >= oldest);
  const isWhole =
    kept.length === revision - oldest + 1 &&
    kept.every((c, i) => c.revision === oldest + i);
  if (!isWhole) return false;
  const writtenAt = new Map(services.map(s => [s.serviceId, s.revision]));
  return kept.every(change =>
    change.changes.map(changedServiceId).every(id => {
      const at = writtenAt.get(id);
      return at === undefined ? someAreBad : at >= change.revision;
    }),
  );
}
