/** Sends load to a cluster and does things to it while the load runs. */
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {
  mergeByTime,
  runSchedule,
  poissonTimes,
  type Scheduled,
  uniform,
} from '../caller/arrivals.js';
import type {Caller} from '../caller/caller.js';
import type {Observation, RequestKind} from '../caller/observation.js';
import {capacityOf, type ServicePlan, requestKindsOf} from './service_plans.js';

/** Requests of one kind for a part of a run. */
export interface Load {
  readonly work: RequestKind;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Share of requests that are sent twice at once, to two instances. */
  readonly resendShare?: number;
}

/** Returns the load of a plan at a share of its capacity, over its works. */
export function loadsOf(
  plan: ServicePlan,
  share: number,
  toMs: number,
  resendShare = 0,
): Load[] {
  const works = requestKindsOf(plan);
  const perSecond = (share * capacityOf(plan)) / works.length;
  return works.map(work => ({work, perSecond, fromMs: 0, toMs, resendShare}));
}

/** Something that is done to the system at a time. */
export interface ScheduledAction {
  readonly atMs: number;
  readonly name: string;
  readonly act: () => Promise<void>;
}

/** What a run gave. */
export interface LoadResult {
  readonly observations: readonly Observation[];
  /** Start of the load on the callers' clock, milliseconds. */
  readonly startedAt: number;
}

/** Sends the loads with open arrivals, and waits for all ends. */
export async function runLoad(
  callers: readonly Caller[],
  loads: readonly Load[],
  events: readonly ScheduledAction[],
  rng: RandomGenerator,
): Promise<LoadResult> {
  const observations: Observation[] = [];
  const pending = new Set<Promise<unknown>>();
  const startedAt = performance.now();
  const track = (promise: Promise<unknown>) => {
    pending.add(promise);
    void promise.finally(() => pending.delete(promise));
  };
  const fire = (what: Load | ScheduledAction, dueAt: number) => {
    if ('act' in what) {
      track(what.act());
      return;
    }
    const caller =
      callers[Math.floor(uniform(rng) * callers.length) % callers.length]!;
    const resend = uniform(rng) <= (what.resendShare ?? 0);
    const sending = caller.send(what.work, dueAt, resend);
    track(sending.then(seen => observations.push(seen)));
  };
  await runSchedule<Load | ScheduledAction>(
    mergeByTime<Load | ScheduledAction>(
      ...loads.map(load => arrivalsOf(load, rng)),
      events.map(event => ({at: event.atMs, item: event})),
    ),
    fire,
  );
  while (pending.size > 0) await Promise.all(pending);
  return {observations, startedAt};
}

function arrivalsOf(load: Load, rng: RandomGenerator): Scheduled<Load>[] {
  const length = load.toMs - load.fromMs;
  return poissonTimes(load.perSecond, length, rng).map(at => ({
    at: load.fromMs + at,
    item: load,
  }));
}
