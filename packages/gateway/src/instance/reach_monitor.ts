/**
 * Checks whether this instance reaches the backend servers, and while it does
 * not, finds instances that do, so that callers can be sent there.
 */
import {
  type Clock,
  type Deployment,
  type InstanceEntry,
  type Random,
  ServerReach,
  type SharedServer,
} from '@ragworthall/balancer';
import type {BackendClient} from '../backend_server/backend_client.js';
import type {GatewayLog} from '../log/gateway_log.js';
import {pause} from './pause.js';

/** Interval at which the need for a check is looked at, milliseconds. */
const TICK_MS = 100;
/** Time within which a server responds on a fresh connection, milliseconds. */
const CHECK_TIMEOUT_MS = 300;
/** Instances that are asked at once whether they serve. */
const MAX_ASKED = 12;
/** Interval at which they are asked while this instance is cut off, milliseconds. */
const ASK_INTERVAL_MS = 1_000;
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
  readonly checkServing: ServingCheck;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: GatewayLog;
}

/** The reach of one instance. */
export class ReachMonitor {
  private readonly reach: ServerReach;
  private helpers: readonly string[] = [];
  private askedAt = -Infinity;
  /** When the checks began; undefined while there is no suspicion. */
  private suspectedAt: number | undefined;

  constructor(private readonly context: ReachContext) {
    this.reach = new ServerReach(context.random);
  }

  /** Whether this instance is cut off from all servers. */
  get isCutOff(): boolean {
    return this.reach.isCutOff;
  }

  /** Whether no server can be reached, not even on open connections. */
  get reachesNothing(): boolean {
    return this.reach.reachesNothing(this.context.clock.now());
  }

  /** Addresses of instances that serve callers while this one cannot. */
  get servingAddresses(): readonly string[] {
    return this.helpers;
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
    const {deployment, clock, log} = this.context;
    const now = clock.now();
    const asked = this.reach.serversToCheck(
      () => deployment.checkableServerIds(now),
      now,
    );
    if (asked.length > 0) {
      if (this.suspectedAt === undefined) {
        this.suspectedAt = now;
        log.dependency('servers_suspected', {asked: asked.length});
      }
      const responses = await Promise.all(asked.map(id => this.responds(id)));
      const responded = responses.filter(Boolean).length;
      const change = this.reach.recordCheck(responded, clock.now());
      if (change !== undefined) {
        const afterMs = Math.round(clock.now() - this.suspectedAt);
        const fields = {asked: asked.length, responded, afterMs};
        log.dependency(`servers_${change}`, fields);
      }
      if (responded > 0 && !this.reach.isCutOff) this.suspectedAt = undefined;
    }
    const isDue = clock.now() - this.askedAt >= ASK_INTERVAL_MS;
    if (this.reach.isCutOff && isDue) await this.findHelpers();
  }

  private async responds(id: string): Promise<boolean> {
    const {deployment, backendClient} = this.context;
    const server = deployment.server(id);
    const path = server && deployment.healthPathOf(server);
    if (!server || path === undefined) return false;
    return backendClient.check(server, path, CHECK_TIMEOUT_MS);
  }

  /** Asks instances of other failure domains first: the own one may be cut off whole. */
  private async findHelpers(): Promise<void> {
    const {self, instances, checkServing, clock, log} = this.context;
    this.askedAt = clock.now();
    const others = this.shuffled(instances().filter(({id}) => id !== self.id));
    const isNear = ({failureDomain}: InstanceEntry) =>
      failureDomain === self.failureDomain;
    const asked = [
      ...others.filter(instance => !isNear(instance)),
      ...others.filter(isNear),
    ].slice(0, MAX_ASKED);
    const answers = await Promise.all(asked.map(checkServing));
    const before = this.helpers.length;
    this.helpers = answers.flatMap(address => address ?? []);
    if (before !== this.helpers.length) {
      const fields = {asked: asked.length, serving: this.helpers.length};
      log.stateChange('serving_instances', fields);
    }
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
