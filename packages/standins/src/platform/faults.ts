/** Faults that can be injected into the stand-in platform. */
import * as z from 'zod';

const durationMs = z.number().min(0);

/** Schema of {@link PlatformFault}. */
const platformFaultSchema = z.discriminatedUnion('kind', [
  /** The table and the object store answer 503 and change nothing. */
  z.object({kind: z.literal('down')}),
  /** Connections are destroyed on any request, including `GET /instances`. */
  z.object({kind: z.literal('unreachable')}),
  /**
   * The table and the object store answer after this delay. A delayed write
   * takes effect even if its connection closes in the meantime.
   */
  z.object({kind: z.literal('delay'), ms: durationMs}),
  /**
   * The next `count` committed transactions get no answer: the connection is
   * destroyed after the commit.
   */
  z.object({
    kind: z.literal('lose_write_answers'),
    count: z.int().min(0),
  }),
  /** Reads of the table and the object store return the state `ms` ago. */
  z.object({kind: z.literal('stale_reads'), ms: durationMs}),
]);

/** One fault of the platform. */
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** Schema of {@link PlatformFaultsChange}. */
export const platformFaultsChangeSchema = z.strictObject({
  faults: z.array(platformFaultSchema).readonly(),
  forClient: z.string().optional(),
});

/**
 * Replaces the active faults; an empty list clears them. With `forClient`, the
 * faults of the client with that name in {@link CLIENT_HEADER} are replaced;
 * they apply in addition to those of all clients. Without it, the faults of all
 * clients are replaced.
 */
export type PlatformFaultsChange = z.infer<typeof platformFaultsChangeSchema>;

/** Request header with the name of the client. */
export const CLIENT_HEADER = 'x-client';

/** The combined effects of a list of faults. */
class FaultSet {
  down = false;
  unreachable = false;
  delayMs = 0;
  staleMs = 0;
  answersToLose = 0;

  constructor(faults: readonly PlatformFault[]) {
    faults.forEach(fault => this.applyFault(fault));
  }

  private applyFault(fault: PlatformFault): void {
    switch (fault.kind) {
      case 'down':
        this.down = true;
        return;
      case 'unreachable':
        this.unreachable = true;
        return;
      case 'delay':
        this.delayMs = fault.ms;
        return;
      case 'lose_write_answers':
        this.answersToLose = fault.count;
        return;
      case 'stale_reads':
        this.staleMs = fault.ms;
        return;
    }
  }
}

/** Effects of the faults of all clients combined with those of one client. */
export class EffectiveFaults {
  constructor(private readonly faultSets: readonly FaultSet[]) {}

  /** Whether the table and the object store answer 503. */
  get down(): boolean {
    return this.faultSets.some(set => set.down);
  }

  /** Whether connections are destroyed. */
  get unreachable(): boolean {
    return this.faultSets.some(set => set.unreachable);
  }

  /** Delay of the table and the object store, in milliseconds. */
  get delayMs(): number {
    return Math.max(...this.faultSets.map(set => set.delayMs));
  }

  /** Age of the state that reads return, in milliseconds. */
  get staleMs(): number {
    return Math.max(...this.faultSets.map(set => set.staleMs));
  }

  /**
   * Whether to drop the answer to the transaction just committed; uses up one
   * of the answers to lose.
   */
  consumeLostAnswer(): boolean {
    const set = this.faultSets.find(({answersToLose}) => answersToLose > 0);
    if (set === undefined) return false;
    set.answersToLose--;
    return true;
  }
}

/** The active faults of all clients and of individual clients. */
export class PlatformFaults {
  private allClientsFaults = new FaultSet([]);
  private readonly byClient = new Map<string, FaultSet>();

  /** Replaces the faults of all clients, or of the client in `forClient`. */
  replace({faults, forClient}: PlatformFaultsChange): void {
    const set = new FaultSet(faults);
    if (forClient === undefined) this.allClientsFaults = set;
    else this.byClient.set(forClient, set);
  }

  /** The faults that apply to requests of a client. */
  effectiveFor(client: string | undefined): EffectiveFaults {
    const clientFaults = this.byClient.get(client ?? '');
    return new EffectiveFaults(
      clientFaults
        ? [this.allClientsFaults, clientFaults]
        : [this.allClientsFaults],
    );
  }
}
