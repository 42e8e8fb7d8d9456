/** Determines and watches on which instances a revision is in force. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  ConfigurationService,
  FleetStatus,
  InstanceStatus,
} from '@ragworthall/balancer';
import {assertNever} from '@ragworthall/contracts';
import type {Clock} from './clock.js';

/**
 * Interval for polling the fleet, which does not notify about changes,
 * milliseconds.
 */
const SAMPLE_INTERVAL_MS = 250;
/**
 * Interval for repeating an unchanged update, milliseconds, so that clients can
 * detect a dead connection.
 */
const KEEPALIVE_INTERVAL_MS = 5_000;

/** State of the rollout of one revision. */
export interface Rollout {
  readonly revision: number;
  /** Whether every instance that may serve requests has the revision. */
  readonly inForceEverywhere: boolean;
  readonly instances: readonly InstanceStatus[];
}

/**
 * Returns the state of the rollout of `revision`. An instance that has been
 * unreachable for `fencedAfterMs` refuses all requests by itself, so the
 * rollout does not wait for it.
 */
export function rolloutOf(
  revision: number,
  instances: readonly InstanceStatus[],
  fencedAfterMs: number,
): Rollout {
  const serving = instances.filter(status => mayServe(status, fencedAfterMs));
  const inForceEverywhere =
    serving.length > 0 && serving.every(status => status.revision >= revision);
  return {revision, inForceEverywhere, instances};
}

/** Data sources of a watch. */
export interface RolloutSources {
  readonly configuration: ConfigurationService;
  readonly fleet: FleetStatus;
  readonly clock: Clock;
  /** See {@link rolloutOf}; in milliseconds. */
  readonly fencedAfterMs: number;
}

/**
 * Yields the state of the rollout of `revision`, immediately and after each
 * change, until `signal` aborts. If `revision` is undefined, follows whichever
 * revision is current.
 */
export async function* watchRollout(
  sources: RolloutSources,
  revision: number | undefined,
  signal: AbortSignal,
): AsyncGenerator<Rollout> {
  let sentKey = '';
  let sentAt = -Infinity;
  while (!signal.aborted) {
    const now = sources.clock.now();
    const rollout = sampleRollout(sources, revision, now);
    const key = changeKey(rollout);
    if (key !== sentKey || now - sentAt >= KEEPALIVE_INTERVAL_MS) {
      sentKey = key;
      sentAt = now;
      yield rollout;
    }
    await waitForNextSample(sources.configuration, signal);
  }
}

function sampleRollout(
  sources: RolloutSources,
  revision: number | undefined,
  now: number,
): Rollout {
  const target = revision ?? sources.configuration.current().revision;
  const instances = sources.fleet.instances(now);
  return rolloutOf(target, instances, sources.fencedAfterMs);
}

/** Waits until the configuration changes or the sample interval ends. */
async function waitForNextSample(
  configuration: ConfigurationService,
  signal: AbortSignal,
): Promise<void> {
  const configurationChanged = new AbortController();
  using ownedSubscription = configuration.onChanged(() =>
    configurationChanged.abort(),
  );
  const stopWaiting = AbortSignal.any([signal, configurationChanged.signal]);
  await sleep(SAMPLE_INTERVAL_MS, undefined, {signal: stopWaiting}).catch(
    () => undefined,
  );
}

function mayServe(status: InstanceStatus, fencedAfterMs: number): boolean {
  switch (status.state) {
    case 'serving':
    case 'stopping':
      return true;
    case 'starting':
      return false;
    case 'unreachable':
      return status.ageMs < fencedAfterMs;
    default:
      throw assertNever(status.state);
  }
}

/** Returns a key that differs if the rollouts differ in more than `ageMs`. */
function changeKey(rollout: Rollout): string {
  const instances = rollout.instances.map(status => ({...status, ageMs: 0}));
  return JSON.stringify({...rollout, instances});
}
