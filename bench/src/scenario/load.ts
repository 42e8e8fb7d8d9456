/** Sends load to a cluster and runs scheduled actions meanwhile. */
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

/** Requests of one kind at a mean rate, for a part of a run. */
export interface Load {
  readonly work: RequestKind;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Share of requests that are sent to two instances at the same time. */
  readonly resendShare?: number;
}

/** Returns a load at a share of a plan's capacity, spread over its requests. */
export function loadsOf(
  plan: ServicePlan,
  share: number,
  toMs: number,
  resendShare = 0,
): Load[] {
  const kinds = requestKindsOf(plan);
  const perSecond = (share * capacityOf(plan)) / kinds.length;
  return kinds.map(work => ({work, perSecond, fromMs: 0, toMs, resendShare}));
}

/** An action on the system at a time after the start of the load. */
export interface ScheduledAction {
  readonly atMs: number;
  readonly name: string;
  readonly act: () => Promise<void>;
}

/** Result of a load. */
export interface LoadResult {
  readonly observations: readonly Observation[];
  /** Start of the load, by the clock of the observations, milliseconds. */
  readonly startedAt: number;
}

/** Sends the loads with open arrivals and waits for all requests to end. */
export async function runLoad(
  callers: readonly Caller[],
  loads: readonly Load[],
  events: readonly ScheduledAction[],
  rng: RandomGenerator,
): Promise<LoadResult> {
  const observations: Observation[] = [];
  const pending = new Set<Promise<unknown>>();
  const startedAt = performance.now();
  const trackPending = (promise: Promise<unknown>) => {
    pending.add(promise);
    void promise.finally(() => pending.delete(promise));
  };
  const start = (item: Load | ScheduledAction, dueAt: number) => {
    if ('act' in item) {
      trackPending(item.act());
      return;
    }
    const caller =
      callers[Math.floor(uniform(rng) * callers.length) % callers.length]!;
    const sendsTwice = uniform(rng) <= (item.resendShare ?? 0);
    const observed = caller.send(item.work, dueAt, sendsTwice);
    trackPending(observed.then(observation => observations.push(observation)));
  };
  await runSchedule<Load | ScheduledAction>(
    mergeByTime<Load | ScheduledAction>(
      ...loads.map(load => arrivalsOf(load, rng)),
      events.map(event => ({at: event.atMs, item: event})),
    ),
    start,
  );
  while (pending.size > 0) await Promise.all(pending);
  return {observations, startedAt};
}

function arrivalsOf(load: Load, rng: RandomGenerator): Scheduled<Load>[] {
  const lengthMs = load.toMs - load.fromMs;
  return poissonTimes(load.perSecond, lengthMs, rng).map(at => ({
    at: load.fromMs + at,
    item: load,
  }));
}
