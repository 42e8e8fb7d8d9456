/**
 * The task that renews the row of this instance's seat in the table. A confirmed
 * renewal proves that the instance has the newest revision. The task also reads
 * who holds the other seats.
 */
import type {
  Clock,
  ReplicatedConfiguration,
  InstanceState,
  RenewalOutcome,
  SeatRegistration,
} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';

/**
 * Renewal interval per seat of the cell, and initial backoff while the table is
 * unreachable, milliseconds.
 */
const RENEWAL_INTERVAL_PER_SEAT_MS = 250;
/** Longest renewal interval, milliseconds; well below the lease time. */
const MAX_RENEWAL_INTERVAL_MS = 1_500;
/** Initial backoff after a renewal found a newer revision, milliseconds. */
const INITIAL_BEHIND_BACKOFF_MS = 50;
/** Longest backoff, milliseconds. */
const MAX_BACKOFF_MS = 2_000;
/** Initial interval of reading the cell's rows, milliseconds; it doubles. */
const INITIAL_DISCOVERY_INTERVAL_MS = 250;
/** Longest interval of reading the cell's rows, milliseconds. */
const MAX_DISCOVERY_INTERVAL_MS = 2_000;

/** The state of this instance, and the updates that the task triggers. */
export interface FleetHooks {
  readonly state: InstanceState;
  /** Dials the known holders of seats; closes links to superseded ones. */
  updateLinkTargets(): void;
  /** Re-evaluates lease, acceptance and ownership. */
  reevaluate(): void;
}

/** Settings and dependencies of {@link SeatRenewalTask}. */
export interface SeatRenewalTaskOptions {
  readonly seats: number;
  readonly registration: SeatRegistration;
  readonly configuration: ReplicatedConfiguration;
  readonly fleet: FleetHooks;
  readonly clock: Clock;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  /** Called when the kind of outcome differs from that of the last renewal. */
  readonly onRenewal: (renewal: RenewalOutcome) => void;
}

/** Renews the seat until it is disposed of, then releases the seat. */
export class SeatRenewalTask implements AsyncDisposable {
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  private lastRenewalKind: RenewalOutcome['kind'] | undefined;
  private backoffMs = 0;
  private lastDiscoveryAt = -Infinity;
  private discoveryIntervalMs = INITIAL_DISCOVERY_INTERVAL_MS;

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
      // After its own row is written, so that of two instances that start at
      // the same time, at least one sees the other.
      if (renewal.kind !== 'unreachable') await this.discoverHolders();
      this.reportRenewal(renewal);
      if (renewal.kind === 'superseded') return;
      const delayMs = await this.handleRenewal(renewal);
      fleet.reevaluate();
      await delay(delayMs, undefined, {signal}).catch(() => undefined);
    }
    await registration.renew('left');
  }

  private async discoverHolders(): Promise<void> {
    const now = this.options.clock.now();
    if (now - this.lastDiscoveryAt < this.discoveryIntervalMs) return;
    this.lastDiscoveryAt = now;
    this.discoveryIntervalMs = Math.min(
      this.discoveryIntervalMs * 2,
      MAX_DISCOVERY_INTERVAL_MS,
    );
    await this.options.registration.readHolders();
    this.options.fleet.updateLinkTargets();
  }

  /** Handles an outcome; returns the delay before the next renewal in ms. */
  private async handleRenewal(
    renewal: Exclude<RenewalOutcome, {kind: 'superseded'}>,
  ): Promise<number> {
    const {seats, configuration, random} = this.options;
    switch (renewal.kind) {
      case 'confirmed': {
        this.backoffMs = 0;
        const intervalMs = Math.min(
          seats * RENEWAL_INTERVAL_PER_SEAT_MS,
          MAX_RENEWAL_INTERVAL_MS,
        );
        return intervalMs * (0.75 + random() / 4);
      }
      case 'behind':
        await configuration.readUpTo(renewal.newest);
        return this.backOff(INITIAL_BEHIND_BACKOFF_MS);
      case 'unreachable':
        return this.backOff(RENEWAL_INTERVAL_PER_SEAT_MS);
      default:
        throw new Error(
          `unexpected renewal outcome: ${renewal satisfies never}`,
        );
    }
  }

  /** Doubles the backoff; full jitter keeps instances from retrying in step. */
  private backOff(initialMs: number): number {
    const doubled = Math.max(initialMs, this.backoffMs * 2);
    this.backoffMs = Math.min(doubled, MAX_BACKOFF_MS);
    return this.backoffMs * this.options.random();
  }

  private reportRenewal(renewal: RenewalOutcome): void {
    if (renewal.kind !== this.lastRenewalKind) this.options.onRenewal(renewal);
    this.lastRenewalKind = renewal.kind;
  }
}
