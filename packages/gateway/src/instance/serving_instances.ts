/** The other instances that serve callers, while this one reaches no server. */
import type {Clock, InstanceEntry, Random} from '@ragworthall/balancer';
import type {GatewayLog} from '../log/gateway_log.js';
import type {RelayTarget} from '../peer/relay_client.js';

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

/** Dependencies of {@link ServingInstances}. */
export interface ServingContext {
  readonly self: {readonly id: string; readonly failureDomain: string};
  /** The known instances; empty until the list has been read. */
  readonly instances: () => readonly InstanceEntry[];
  /** Reads the list of instances again. */
  readonly refreshInstances: () => void;
  readonly checkServing: ServingCheck;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: GatewayLog;
  /** Called when the first one is found. */
  readonly onFound: () => void;
}

/** An instance that serves callers. */
interface Helper extends RelayTarget {
  /** Whether it is in the failure domain of this instance. */
  readonly isNear: boolean;
  /** Whether it has taken what this instance passed on, as far as is known. */
  readonly takesRelays: boolean;
}

/** Finds instances that serve callers. */
export class ServingInstances {
  private readonly helpers = new Map<string, Helper>();
  private askedAt = -Infinity;
  private hasAsked = false;
  private refreshedAt = -Infinity;

  constructor(private readonly context: ServingContext) {}

  /** Where callers connect to them. */
  get addresses(): readonly string[] {
    return [...this.helpers.values()].map(({address}) => address);
  }

  /** Whether the other instances have been asked, as far as there are any. */
  get isKnown(): boolean {
    return this.hasAsked || this.context.instances().length === 1;
  }

  /**
   * Returns one of them whose address is not among `except`, at random; from
   * another failure domain if there is one, since the own may be cut off whole.
   */
  pick(except: ReadonlySet<string>): RelayTarget | undefined {
    const usable = [...this.helpers.values()].filter(
      ({address, takesRelays}) => takesRelays && !except.has(address),
    );
    const far = usable.filter(({isNear}) => !isNear);
    const preferred = far.length > 0 ? far : usable;
    const steps = Math.max(1, preferred.length);
    return preferred[this.context.random.nextInt(steps)];
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

  /** Forgets them, since this instance serves again. */
  forget(): void {
    this.helpers.clear();
    this.askedAt = -Infinity;
    this.hasAsked = false;
  }

  /** Asks instances of other failure domains first: the own one may be cut off whole. */
  async askIfDue(): Promise<void> {
    const {self, instances, clock, log} = this.context;
    if (clock.now() - this.askedAt < ASK_INTERVAL_MS) return;
    const others = this.shuffled(instances().filter(({id}) => id !== self.id));
    if (others.length === 0) return this.refreshIfAlone();
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
    this.hasAsked = true;
    this.refreshIfAlone();
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
    const {self, checkServing, onFound} = this.context;
    const address = await checkServing(instance);
    if (address === undefined) {
      this.helpers.delete(instance.id);
      return;
    }
    const isFirst = this.helpers.size === 0;
    const isNear = instance.failureDomain === self.failureDomain;
    const {key} = instance;
    this.helpers.set(instance.id, {address, key, isNear, takesRelays: true});
    if (isFirst) onFound();
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
