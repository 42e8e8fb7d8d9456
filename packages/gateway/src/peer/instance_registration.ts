/** The entry of this instance in the list of instances, and what the list says. */
import type {InstanceEntry, Random, UpdateSources} from '@ragworthall/balancer';
import type {Result} from 'neverthrow';
import {pause, WakeablePause} from '../instance/pause.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {StoreError} from '../platform/row_source.js';
import type {FleetDirectory, InstanceList} from './fleet_directory.js';
import type {InstanceKeys} from './instance_keys.js';

/**
 * Time after the start by which the other instances have announced themselves,
 * milliseconds.
 */
const STARTUP_DELAY_MS = 1_500;
/** Largest random addition to that delay, milliseconds. */
const STARTUP_JITTER_MS = 1_000;
/**
 * The same for an instance that was restarted: the others are listed already, and
 * those that are restarted with it listen by then.
 */
const RESTART_DELAY_MS = 400;
const RESTART_JITTER_MS = 300;
/** Mean delay before a failed call to the store is retried, milliseconds. */
const RETRY_DELAY_MS = 800;
/** Mean interval at which the list of instances is read, milliseconds. */
const LIST_INTERVAL_MS = 60_000;
/** Number of entries that one line names. */
const MAX_LOGGED_ENTRIES = 5;
const RANDOM_STEPS = 1_024;

/** Settings and dependencies of an {@link InstanceRegistration}. */
export interface RegistrationOptions {
  readonly self: InstanceEntry;
  readonly fleet: FleetDirectory;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  readonly random: Random;
  readonly log: GatewayLog;
}

/** Keeps this instance in the list, and the known instances as listed. */
export class InstanceRegistration {
  private readonly listPause = new WakeablePause();
  /** Whether the store may have lost entries that are not written again yet. */
  private isStoreRestored = false;
  /** Era of the store in which the list was read last. */
  private listEra: number | undefined;
  /** Whether the list, as it was read last, names this instance and its key. */
  private isListed = false;

  /** @param onRead Called whenever the list has been read. */
  constructor(
    private readonly options: RegistrationOptions,
    private readonly sources: UpdateSources,
    private readonly keys: InstanceKeys,
    private readonly onRead: () => void,
  ) {}

  /** Reads the list soon: instances that were added may be missing. */
  refresh(): void {
    this.listPause.wake();
  }

  /** Records that the store was restored from an older copy. */
  storeRestored(): void {
    this.isStoreRestored = true;
    this.listPause.wake();
  }

  /** Announces this instance and reads the list until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    if (this.options.isFirstStart) {
      await this.announce(signal);
      await this.pauseWithJitter(STARTUP_DELAY_MS, STARTUP_JITTER_MS, signal);
      await this.readInstances(signal);
    } else {
      await this.pauseWithJitter(RESTART_DELAY_MS, RESTART_JITTER_MS, signal);
      await this.readInstances(signal);
      if (!this.isListed) await this.announce(signal);
    }
    while (!signal.aborted) {
      if (this.isStoreRestored) {
        await this.announceAgain(signal);
        continue;
      }
      const intervalMs = LIST_INTERVAL_MS * (0.5 + this.randomFraction());
      await this.listPause.wait(intervalMs, signal);
      if (!this.isStoreRestored) await this.readInstances(signal);
    }
  }

  /** Announces this instance again if the store has lost its entry. */
  private async announceAgain(signal: AbortSignal): Promise<void> {
    await this.pauseWithJitter(RESTART_DELAY_MS, RESTART_JITTER_MS, signal);
    await this.readInstances(signal);
    this.isStoreRestored = false;
    if (!this.isListed) await this.announce(signal);
    // By then the others have done so too.
    await this.pauseWithJitter(STARTUP_DELAY_MS, STARTUP_JITTER_MS, signal);
    await this.readInstances(signal);
  }

  private announce(signal: AbortSignal): Promise<void> {
    const {fleet, self} = this.options;
    return this.retryStoreCall('announce', signal, async () => {
      const key = this.keys.current;
      const announced = await fleet.announce({...self, key}, signal);
      return announced.map(() => this.keys.settle(key));
    });
  }

  private async readInstances(signal: AbortSignal): Promise<void> {
    const before = this.sources.size;
    await this.retryStoreCall('list', signal, async () => {
      const listed = await this.options.fleet.list(signal);
      return listed.map(list => this.takeList(list));
    });
    const after = this.sources.size;
    if (after !== before) {
      this.options.log.stateChange('instances', {before, after});
    }
    this.onRead();
  }

  private takeList({instances, unreadable, era}: InstanceList): void {
    if (unreadable.length > 0) {
      const some = unreadable.slice(0, MAX_LOGGED_ENTRIES);
      const fields = {count: unreadable.length, instances: some};
      this.options.log.stateChange('instances_unreadable', fields);
    }
    if (this.listEra !== undefined && era !== this.listEra) {
      this.storeRestored();
    }
    this.listEra = era;
    const {id} = this.options.self;
    const key = instances.find(entry => entry.id === id)?.key;
    if (key !== undefined) this.keys.settle(key);
    this.isListed = this.sources.lists(instances) && key !== undefined;
    // Instances that the store has lost are still there: their shares of common
    // bounds are theirs.
    if (this.isStoreRestored) this.sources.addInstances(instances);
    else this.sources.setInstances(instances);
  }

  private async pauseWithJitter(
    ms: number,
    jitterMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    await pause(ms + jitterMs * this.randomFraction(), signal);
  }

  /** Repeats a call to the store until it succeeds or the signal is aborted. */
  private async retryStoreCall(
    call: string,
    signal: AbortSignal,
    make: () => Promise<Result<unknown, StoreError>>,
  ): Promise<void> {
    while (!signal.aborted) {
      const made = await make();
      if (!made.isErr()) return;
      const {kind: cause, detail} = made.error;
      this.options.log.dependency('fleet_call_failed', {call, cause, detail});
      await pause(RETRY_DELAY_MS * (0.5 + this.randomFraction()), signal);
    }
  }

  private randomFraction(): number {
    return this.options.random.nextInt(RANDOM_STEPS) / RANDOM_STEPS;
  }
}
