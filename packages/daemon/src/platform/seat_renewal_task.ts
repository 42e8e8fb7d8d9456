/**
 * The task that keeps this instance in touch with the table: it renews the row
 * of its seat, which proves the newest revision, and reads who else is there.
 */
import type {
  Clock,
  ReplicatedConfiguration,
  InstanceState,
  RenewalOutcome,
  SeatRegistration,
} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';

/** Share of one seat in the time between renewals, milliseconds. */
const RENEWAL_PER_SEAT_MS = 250;
/** Longest time between renewals, milliseconds; well below the lease. */
const MAX_RENEWAL_MS = 1_500;
/** Wait after a renewal found a newer revision, milliseconds. */
const BEHIND_WAIT_MS = 50;
/** Longest wait after a failure, milliseconds. */
const MAX_BACKOFF_MS = 2_000;
/** First time between readings of the cell's rows, milliseconds; it doubles. */
const FIRST_DISCOVERY_MS = 250;
/** Longest time between readings of the cell's rows, milliseconds. */
const MAX_DISCOVERY_MS = 2_000;

/** What the task tells the fleet. */
export interface FleetHooks {
  readonly state: InstanceState;
  /** Follows what has been learned of other seats. */
  updateLinkTargets(): void;
  /** Draws the conclusions from what has been learned. */
  reevaluate(): void;
}

/** What the task needs. */
export interface SeatRenewalTaskOptions {
  readonly seats: number;
  readonly registration: SeatRegistration;
  readonly configuration: ReplicatedConfiguration;
  readonly fleet: FleetHooks;
  readonly clock: Clock;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  /** Told when what a renewal came to differs from the one before. */
  readonly onRenewal: (renewal: RenewalOutcome) => void;
}

/** Runs the task until it is disposed of; then gives the seat back. */
export class SeatRenewalTask implements AsyncDisposable {
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  private last: RenewalOutcome['kind'] | undefined;
  private backoffMs = 0;
  private discoveredAt = -Infinity;
  private discoveryMs = FIRST_DISCOVERY_MS;

  constructor(private readonly options: SeatRenewalTaskOptions) {
    this.done = this.run(this.stop.signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {registration, fleet} = this.options;
    while (!signal.aborted) {
      const renewal = await registration.renew(fleet.state);
      // After its own row is there: of two that start together, one sees both.
      if (renewal.kind !== 'unreachable') await this.discover();
      this.tell(renewal);
      if (renewal.kind === 'superseded') return;
      const waitMs = await this.follow(renewal);
      fleet.reevaluate();
      await delay(waitMs, undefined, {signal}).catch(() => undefined);
    }
    await registration.renew('left');
  }

  private async discover(): Promise<void> {
    const now = this.options.clock.now();
    if (now - this.discoveredAt < this.discoveryMs) return;
    this.discoveredAt = now;
    this.discoveryMs = Math.min(this.discoveryMs * 2, MAX_DISCOVERY_MS);
    await this.options.registration.readHolders();
    this.options.fleet.updateLinkTargets();
  }

  /** Acts on a renewal; returns the wait before the next, milliseconds. */
  private async follow(
    renewal: Exclude<RenewalOutcome, {kind: 'superseded'}>,
  ): Promise<number> {
    const {seats, configuration: keeper, random} = this.options;
    switch (renewal.kind) {
      case 'confirmed': {
        this.backoffMs = 0;
        const period = Math.min(seats * RENEWAL_PER_SEAT_MS, MAX_RENEWAL_MS);
        return period * (0.75 + random() / 4);
      }
      case 'behind':
        await keeper.readUpTo(renewal.newest);
        return this.backOff(BEHIND_WAIT_MS);
      case 'unreachable':
        return this.backOff(RENEWAL_PER_SEAT_MS);
      default:
        throw new Error(`unexpected renewal: ${renewal satisfies never}`);
    }
  }

  /** Full jitter, so that instances do not return together. */
  private backOff(firstMs: number): number {
    const doubled = Math.max(firstMs, this.backoffMs * 2);
    this.backoffMs = Math.min(doubled, MAX_BACKOFF_MS);
    return this.backoffMs * this.options.random();
  }

  private tell(renewal: RenewalOutcome): void {
    if (renewal.kind !== this.last) this.options.onRenewal(renewal);
    this.last = renewal.kind;
  }
}
