/**
 * This instance's row in the table. Writing it proves that the instance has the
 * newest revision and that no later incarnation took its seat.
 */
import type {Row} from '@ragworthall/contracts';
import {z} from 'zod';
import type {ReplicatedConfiguration} from '../configuration/replicated_configuration.js';
import type {ReadOutcome, Table} from '../platform/table.js';
import type {Clock} from '../service/call_runner.js';
import type {Membership} from './membership.js';
import type {InstanceState} from './seat.js';

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

/** What a renewal came to. */
export type RenewalOutcome =
  | {readonly kind: 'confirmed'}
  /** The table has a newer revision than this instance. */
  | {readonly kind: 'behind'; readonly newest: number}
  /** A later incarnation holds the seat; this one must end. */
  | {readonly kind: 'superseded'; readonly by: string}
  | {readonly kind: 'unreachable'; readonly detail: string};

/** Tries within one renewal. */
const MAX_TRIES = 3;

/** Keeps the row of this instance's seat. */
export class SeatRegistration {
  private version = 0;
  private registered = false;
  /** Whether the seat had no holder that may live on. */
  private isFree = false;

  constructor(
    private readonly table: Table,
    private readonly membership: Membership,
    private readonly keeper: ReplicatedConfiguration,
    private readonly clock: Clock,
  ) {}

  /** Writes the row once; a proof of the newest revision if it succeeds. */
  async renew(state: InstanceState | 'left'): Promise<RenewalOutcome> {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const renewal = await this.tryRenew(state);
      if (renewal) return renewal;
    }
    return {kind: 'unreachable', detail: 'the row changes all the time'};
  }

  /** Reads who holds the other seats; returns whether the table answered. */
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

  private async tryRenew(
    state: InstanceState | 'left',
  ): Promise<RenewalOutcome | undefined> {
    const key = this.prefix + this.membership.cell.identity.seat;
    const {revision} = this.keeper.current();
    const sentAt = this.clock.now();
    const sent = await this.table.transact({
      conditions: [
        {key: this.keeper.headKey, version: revision},
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
        this.isFree ||= !this.registered && this.version === 1;
        this.registered = true;
        this.membership.recordRegistration(sentAt, this.isFree);
        return {kind: 'confirmed'};
      case 'conflict':
        return this.resolve(sent.failed, key, revision);
      case 'unknown':
      case 'unavailable':
        return {kind: 'unreachable', detail: sent.detail};
      default:
        throw new Error(`unexpected outcome: ${sent satisfies never}`);
    }
  }

  /** Takes in the rows of a conflict; undefined if another try may succeed. */
  private resolve(
    failed: readonly Row[],
    key: string,
    revision: number,
  ): RenewalOutcome | undefined {
    const own = failed.find(row => row.key === key);
    const newest = failed.find(row => row.key === this.keeper.headKey)?.version;
    if (own) {
      const {incarnation} = this.membership.cell.self;
      const parsed = rowSchema.safeParse(own.value);
      const holder = parsed.success ? parsed.data.holder : undefined;
      if (holder && holder.incarnation > incarnation) {
        this.membership.lease.supersede();
        return {kind: 'superseded', by: holder.instance};
      }
      this.version = own.version;
      // An answer that was lost: the row is this incarnation's already.
      const isOwn = holder?.incarnation === incarnation;
      if (!this.registered && !isOwn) {
        this.isFree = parsed.data?.state === 'left';
      }
    }
    return newest === undefined || newest <= revision
      ? undefined
      : {kind: 'behind', newest};
  }
}
