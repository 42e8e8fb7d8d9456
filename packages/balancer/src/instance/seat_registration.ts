/**
 * Registers this instance as the holder of its seat in the table. The row is
 * written on the condition that the table has no newer revision and that no one
 * else has changed the row, so each successful write is a proof for the lease.
 */
import type {Row} from '@ragworthall/contracts';
import * as z from 'zod';
import type {ReplicatedConfiguration} from '../configuration/replicated_configuration.js';
import type {ReadOutcome, Table} from '../platform/table.js';
import type {Clock} from '../service/call_runner.js';
import type {Membership} from './membership.js';
import type {InstanceState} from './seat.js';

/** Version of the row format. */
const FORMAT = 1;

const rowSchema = z.object({
  format: z.literal(FORMAT),
  state: z.enum(['starting', 'serving', 'stopping', 'left']),
  holder: z.object({
    instance: z.string(),
    incarnation: z.string(),
    failureDomain: z.string(),
    peerAddress: z.string(),
    callerUrl: z.string(),
  }),
});

/** Result of a renewal. */
export type RenewalOutcome =
  | {readonly kind: 'confirmed'}
  /** The table has a newer revision than this instance has in force. */
  | {readonly kind: 'behind'; readonly newest: number}
  /** A later incarnation holds the seat; this process must end. */
  | {readonly kind: 'superseded'; readonly by: string}
  | {readonly kind: 'unreachable'; readonly detail: string};

/** Attempts to write the row within one renewal. */
const MAX_ATTEMPTS = 3;

/** Writes and renews the row of this instance's seat. */
export class SeatRegistration {
  /** Last known version of the row; 0 if there is none. */
  private version = 0;
  private registered = false;
  /**
   * Whether the seat was unused before: no row existed, or its holder had left.
   */
  private seatWasFree = false;

  constructor(
    private readonly table: Table,
    private readonly membership: Membership,
    private readonly configuration: ReplicatedConfiguration,
    private readonly clock: Clock,
  ) {}

  /** Writes the row; success proves that the revision here is the newest. */
  async renew(state: InstanceState | 'left'): Promise<RenewalOutcome> {
    for (let tries = 0; tries < MAX_ATTEMPTS; tries += 1) {
      const renewal = await this.attemptRenewal(state);
      if (renewal) return renewal;
    }
    return {
      kind: 'unreachable',
      detail: 'the row of the seat changed at every attempt to write it',
    };
  }

  /** Reads the holders of the other seats; returns how the table answered. */
  async readHolders(): Promise<ReadOutcome['kind']> {
    const read = await this.table.list(this.prefix);
    if (read.kind === 'unavailable') return read.kind;
    read.rows.forEach(row => {
      const parsed = rowSchema.safeParse(row.value);
      const seat = Number(row.key.slice(this.prefix.length));
      if (!parsed.success || parsed.data.state === 'left') return;
      this.membership.cell.recordHolder(seat, parsed.data.holder);
    });
    return read.kind;
  }

  private get prefix(): string {
    return `cell/${this.membership.cell.identity.cell}/instance/`;
  }

  private async attemptRenewal(
    state: InstanceState | 'left',
  ): Promise<RenewalOutcome | undefined> {
    const key = this.prefix + this.membership.cell.identity.seat;
    const {revision} = this.configuration.current();
    const sentAt = this.clock.now();
    const sent = await this.table.transact({
      conditions: [
        {key: this.configuration.headKey, version: revision},
        {key, version: this.version},
      ],
      writes: [
        {
          key,
          value: {format: FORMAT, state, holder: this.membership.cell.self},
        },
      ],
    });
    switch (sent.kind) {
      case 'done':
        this.version = sent.versions[key] ?? 0;
        this.seatWasFree ||= !this.registered && this.version === 1;
        this.registered = true;
        this.membership.recordRegistration(sentAt, this.seatWasFree);
        return {kind: 'confirmed'};
      case 'conflict':
        return this.resolveConflict(sent.failed, key, revision);
      case 'unknown':
      case 'unavailable':
        return {kind: 'unreachable', detail: sent.detail};
      default:
        throw new Error(`unexpected outcome: ${sent satisfies never}`);
    }
  }

  /** Evaluates the rows of a conflict; undefined if a retry may succeed. */
  private resolveConflict(
    failed: readonly Row[],
    key: string,
    revision: number,
  ): RenewalOutcome | undefined {
    const own = failed.find(row => row.key === key);
    const newest = failed.find(
      row => row.key === this.configuration.headKey,
    )?.version;
    if (own) {
      const {incarnation} = this.membership.cell.self;
      const parsed = rowSchema.safeParse(own.value);
      const holder = parsed.success ? parsed.data.holder : undefined;
      if (holder && holder.incarnation > incarnation) {
        this.membership.lease.supersede();
        return {kind: 'superseded', by: holder.instance};
      }
      this.version = own.version;
      // This incarnation wrote the row already, but the answer was lost.
      const isOwn = holder?.incarnation === incarnation;
      if (!this.registered && !isOwn) {
        this.seatWasFree = parsed.data?.state === 'left';
      }
    }
    return newest === undefined || newest <= revision
      ? undefined
      : {kind: 'behind', newest};
  }
}
