/** The platform's list of instances, which shows changes after a lag. */
import type {InstanceList, ListedInstance} from '@ragworthall/contracts';

/** A version of the list and the time from which it is visible. */
interface ListVersion {
  readonly visibleFromMs: number;
  readonly instances: readonly ListedInstance[];
}

/** A list of instances whose changes become visible only after a lag. */
export class InstanceRegistry {
  /**
   * Oldest first. The first one is the visible version as of the last read, or
   * the initial empty list.
   */
  private versions: readonly ListVersion[] = [
    {visibleFromMs: -Infinity, instances: []},
  ];

  /** @param lagMs Time until a change becomes visible, in milliseconds. */
  constructor(private readonly lagMs: number) {}

  /**
   * Replaces the list. An explicit `lagMs` overrides the default lag. Pending
   * versions that would become visible at the same time or later are dropped.
   */
  replace(
    instances: readonly ListedInstance[],
    now: number,
    lagMs = this.lagMs,
  ): void {
    const visibleFromMs = now + lagMs;
    const earlier = this.versions.filter(
      version => version.visibleFromMs < visibleFromMs,
    );
    this.versions = [...earlier, {visibleFromMs, instances}];
  }

  /** The list that is visible now. */
  list(now: number): InstanceList {
    const visibleIndex = this.versions.findLastIndex(
      ({visibleFromMs}) => visibleFromMs <= now,
    );
    this.versions = this.versions.slice(visibleIndex);
    return {instances: this.versions[0]!.instances};
  }
}
