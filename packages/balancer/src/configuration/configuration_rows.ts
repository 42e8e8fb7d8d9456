/**
 * Rows of the table that hold a cell's configuration. Reads may return stale
 * rows, so each row contains the revision at which it was written, and a read
 * is used only if its rows are consistent.
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
import * as z from 'zod';

/** Version of the row format; rows of any other version are invalid. */
export const ROW_FORMAT = 1;
/** Number of changes that the table keeps. */
export const HISTORY_LENGTH = 100;
/** Digits of a revision in a key; padding makes keys sort by revision. */
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

/** A whole configuration, with the newest change of each service. */
export interface Snapshot {
  readonly revision: number;
  /** Includes removed services. */
  readonly services: readonly ServiceRecord[];
}

/** Result of parsing a row. */
export type Parsed<T> =
  | {readonly kind: 'value'; readonly value: T}
  | {readonly kind: 'absent'}
  /** The row cannot be parsed and is ignored. */
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

/** Keys, rows and transactions of one cell's configuration. */
export class ConfigurationRows {
  /** Prefix of all rows that a snapshot is read from. */
  readonly prefix: string;
  /** Key of the row whose version is the newest revision. */
  readonly headKey: string;
  private readonly servicePrefix: string;
  private readonly changePrefix: string;

  constructor(private readonly cell: string) {
    this.prefix = `cell/${cell}/config/`;
    this.headKey = `${this.prefix}head`;
    this.servicePrefix = `${this.prefix}service/`;
    this.changePrefix = `${this.prefix}change/`;
  }

  /** Returns the key of the row that holds a change. */
  changeKey(revision: number): string {
    const digits = String(revision).padStart(REVISION_DIGITS, '0');
    return this.changePrefix + digits;
  }

  /** Returns the key of the row that records an operator's request. */
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

  /** Returns a transaction that succeeds only if a request is not written. */
  absenceTransaction(operationId: string): Transaction {
    const key = this.operationKey(operationId);
    return {conditions: [{key, version: 0}], writes: []};
  }

  /** Returns the revision that a request created, from rows of a conflict. */
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
   * Parses the rows below {@link prefix}; undefined if they are inconsistent,
   * that is, were read at different revisions.
   */
  parseSnapshot(
    rows: readonly Row[],
  ):
    | {readonly snapshot: Snapshot; readonly invalidRows: readonly InvalidRow[]}
    | undefined {
    const revision = rows.find(r => r.key === this.headKey)?.version ?? 0;
    const services = rows
      .filter(r => r.key.startsWith(this.servicePrefix))
      .map(parseService);
    const valid = services.flatMap(p => (p.kind === 'value' ? [p.value] : []));
    const invalid = services.flatMap(p => (p.kind === 'bad' ? [p] : []));
    const changes = rows
      .filter(r => r.key.startsWith(this.changePrefix))
      .map(row => this.parseChange(row))
      .flatMap(p => (p.kind === 'value' ? [p.value] : []));
    if (!areConsistent(revision, valid, invalid.length > 0, changes)) {
      return undefined;
    }
    return {snapshot: {revision, services: valid}, invalidRows: invalid};
  }

  private serviceWrite(record: ServiceRecord): Write {
    return {
      key: this.servicePrefix + record.serviceId,
      value: {format: ROW_FORMAT, ...record},
    };
  }
}

/** A row that cannot be parsed; logged with these fields. */
export type InvalidRow = Extract<Parsed<never>, {kind: 'bad'}>;

/** Returns the resulting record of each service that a change touches. */
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

/** Returns the id of the service that a change touches. */
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
 * Whether the rows can be the table's content at `revision`: all changes that
 * the table keeps must be present, and each service as new as its last change.
 */
function areConsistent(
  revision: number,
  services: readonly ServiceRecord[],
  hasInvalidRows: boolean,
  changes: readonly ChangeRecord[],
): boolean {
  if (services.some(s => s.revision > revision)) return false;
  const oldest = Math.max(1, revision - HISTORY_LENGTH + 1);
  const kept = changes.filter(c => c.revision >= oldest);
  const isComplete =
    kept.length === revision - oldest + 1 &&
    kept.every((c, i) => c.revision === oldest + i);
  if (!isComplete) return false;
  const writtenAt = new Map(services.map(s => [s.serviceId, s.revision]));
  return kept.every(change =>
    change.changes.map(changedServiceId).every(id => {
      const at = writtenAt.get(id);
      return at === undefined ? hasInvalidRows : at >= change.revision;
    }),
  );
}
