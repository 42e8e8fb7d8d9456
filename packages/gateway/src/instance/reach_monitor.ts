/**
 * Checks whether this instance reaches the backend servers, and while it does
 * not, finds instances that do, so that callers can be sent there.
 */
import {
  type Clock,
  type Deployment,
  type InstanceEntry,
  type Random,
  ReachState,
  ServerReach,
  type SharedServer,
} from '@ragworthall/balancer';
import type {BackendClient} from '../backend_server/backend_client.js';
import type {GatewayLog, LogFields} from '../log/gateway_log.js';
import {pause} from './pause.js';

/** Interval at which the need for a check is looked at, milliseconds. */
const TICK_MS = 100;
/** Time within which a server responds on a fresh connection, milliseconds. */
const CHECK_TIMEOUT_MS = 300;
/** Instances that are asked at once whether they serve. */
const MAX_ASKED = 12;
/** Interval at which they are asked while no server is reached, milliseconds. */
export const ASK_INTERVAL_MS = 250;
/** Interval at which the list is read again while no instance is found, milliseconds. */
const REFRESH_INTERVAL_MS = 2_000;
const RANDOM_STEPS = 1_024;

/**
 * Returns the address for callers of another instance if that instance names
 * itself to them, so reaches servers; undefined if not, or without an answer.
 */
export type ServingCheck = (
  instance: InstanceEntry,
) => Promise<string | undefined>;

/** Dependencies of a {@link ReachMonitor}. */
export interface ReachContext {
  readonly self: {readonly id: string; readonly failureDomain: string};
  readonly deployment: Deployment;
  readonly backendClient: BackendClient;
  readonly instances: () => readonly InstanceEntry[];
  /** Reads the list of instances again. */
  readonly refreshInstances: () => void;
  readonly checkServing: ServingCheck;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: GatewayLog;
}

/** An instance that serves callers. */
interface Helper {
  /** Where callers connect to it. */
  readonly address: string;
  /** Whether it is in the failure domain of this instance. */
  readonly isNear: boolean;
  /** Whether it has taken what this instance passed on, as far as is known. */
  readonly takesRelays: boolean;
}

/** The reach of one instance. */
export class ReachMonitor {
  private readonly reach: ServerReach;
  /** The instances that serve callers, by id. */
  private readonly helpers = new Map<string, Helper>();
  private readonly listeners = new Set<() => void>();
  private askedAt = -Infinity;
  private helpersAsked = false;
  private refreshedAt = -Infinity;
  /** When the latest suspicion arose; an instance that starts is suspect. */
  private suspectedAt: number;

  constructor(private readonly context: ReachContext) {
    this.reach = new ServerReach(context.random);
    this.suspectedAt = context.clock.now();
  }

  get state(): ReachState {
    return this.reach.state;
  }

  /** Whether this instance is cut off from all servers. */
  get isCutOff(): boolean {
    return this.reach.isCutOff;
  }

  /** Whether nothing suggests that a server still responds. */
  get isSilent(): boolean {
    return this.reach.isSilent(this.context.clock.now());
  }

  /** Addresses of instances that serve callers while this one cannot. */
  get servingAddresses(): readonly string[] {
    return [...this.helpers.values()].map(({address}) => address);
  }

  /** Whether the other instances have been asked, as far as there are any. */
  get knowsHelpers(): boolean {
    const {instances} = this.context;
    return this.helpersAsked || instances().length === 1;
  }

  /**
   * Returns one of these addresses that is not among `except`, at random; from
   * another failure domain if there is one, since the own may be cut off whole.
   */
  pickServing(except: ReadonlySet<string>): string | undefined {
    const usable = [...this.helpers.values()].filter(
      ({address, takesRelays}) => takesRelays && !except.has(address),
    );
    const far = usable.filter(({isNear}) => !isNear);
    const preferred = far.length > 0 ? far : usable;
    const steps = Math.max(1, preferred.length);
    return preferred[this.context.random.nextInt(steps)]?.address;
  }

  /**
   * Records that the instance at this address takes nothing that is passed on;
   * nothing is until it has been asked again.
   */
  recordRelayRefused(address: string): void {
    this.helpers.forEach((helper, id) => {
      if (helper.address !== address) return;
      this.helpers.set(id, {...helper, takesRelays: false});
    });
  }

  /** Records that a server was added to the registry. */
  recordServerAdded(): void {
    this.reach.recordServerAdded();
  }

  /**
   * Calls `listener` whenever requests need not wait any longer for the servers
   * that this instance has chosen.
   */
  onUnreachable(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** Records a response of any server. */
  recordResponse(): void {
    this.reach.recordResponse(this.context.clock.now());
  }

  /** Records that a server refused a connection or did not respond. */
  recordFailure({entry}: SharedServer): void {
    this.reach.recordFailure(entry.id, this.context.clock.now());
  }

  /** Checks whenever there is a need, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(TICK_MS, signal);
      await this.check();
    }
  }

  private async check(): Promise<void> {
    const {deployment, clock} = this.context;
    const now = clock.now();
    const before = this.reach.state;
    const asked = this.reach.serversToCheck(
      () => deployment.checkableServerIds(now),
      now,
    );
    if (asked.length === 0) return;
    this.noteChange(before, {asked: asked.length});
    const suspected = this.reach.state;
    const [responses] = await Promise.all([
      Promise.all(asked.map(id => this.responds(id))),
      this.findHelpersIfDue(),
    ]);
    this.refreshIfAlone();
    const responded = responses.filter(Boolean).length;
    this.reach.recordCheck(responded, clock.now());
    this.noteChange(suspected, {asked: asked.length, responded});
  }

  private noteChange(before: ReachState, counts: LogFields): void {
    const {log, clock} = this.context;
    const {state} = this.reach;
    if (before === state) return;
    const afterMs = Math.round(clock.now() - this.suspectedAt);
    switch (state) {
      case ReachState.Suspected:
        this.suspectedAt = clock.now();
        log.dependency('servers_suspected', counts);
        return;
      case ReachState.CutOff:
        log.dependency('servers_cut_off', {...counts, afterMs});
        this.notifyUnreachable();
        return;
      case ReachState.Reached: {
        const kind =
          before === ReachState.CutOff
            ? 'servers_reached'
            : 'servers_suspicion_ended';
        log.dependency(kind, {...counts, afterMs});
        this.helpers.clear();
        this.askedAt = -Infinity;
        this.helpersAsked = false;
        return;
      }
      default:
        state satisfies never;
    }
  }

  private notifyUnreachable(): void {
    this.listeners.forEach(listener => listener());
  }

  private async responds(id: string): Promise<boolean> {
    const {deployment, backendClient} = this.context;
    const server = deployment.server(id);
    const path = server && deployment.healthPathOf(server);
    if (!server || path === undefined) return false;
    return backendClient.check(server, path, CHECK_TIMEOUT_MS);
  }

  /** Asks instances of other failure domains first: the own one may be cut off whole. */
  private async findHelpersIfDue(): Promise<void> {
    const {self, instances, clock, log} = this.context;
    if (clock.now() - this.askedAt < ASK_INTERVAL_MS) return;
    const others = this.shuffled(instances().filter(({id}) => id !== self.id));
    if (others.length === 0) return;
    this.askedAt = clock.now();
    const isNear = ({failureDomain}: InstanceEntry) =>
      failureDomain === self.failureDomain;
    const asked = [
      ...others.filter(instance => !isNear(instance)),
      ...others.filter(isNear),
    ].slice(0, MAX_ASKED);
    const before = this.helpers.size;
    const known = new Set(asked.map(({id}) => id));
    [...this.helpers.keys()]
      .filter(id => !known.has(id))
      .forEach(id => this.helpers.delete(id));
    await Promise.all(asked.map(instance => this.ask(instance)));
    this.helpersAsked = true;
    const serving = this.helpers.size;
    if (before !== serving) {
      log.stateChange('serving_instances', {asked: asked.length, serving});
    }
  }

  /** The known list may lack instances that were added since it was read. */
  private refreshIfAlone(): void {
    const now = this.context.clock.now();
    const isDue = now - this.refreshedAt >= REFRESH_INTERVAL_MS;
    if (this.helpers.size > 0 || !isDue) return;
    this.refreshedAt = now;
    this.context.refreshInstances();
  }

  /** Asks one instance; what it says counts at once. */
  private async ask(instance: InstanceEntry): Promise<void> {
    const {checkServing} = this.context;
    const address = await checkServing(instance);
    if (address === undefined) {
      this.helpers.delete(instance.id);
      return;
    }
    const isFirst = this.helpers.size === 0;
    const isNear = instance.failureDomain === this.context.self.failureDomain;
    this.helpers.set(instance.id, {address, isNear, takesRelays: true});
    if (isFirst && this.isSilent) this.notifyUnreachable();
  }

  private shuffled(
    instances: readonly InstanceEntry[],
  ): readonly InstanceEntry[] {
    const {random} = this.context;
    return instances
      .map(instance => ({instance, order: random.nextInt(RANDOM_STEPS)}))
      .sort((a, b) => a.order - b.order)
      .map(({instance}) => instance);
  }
}
