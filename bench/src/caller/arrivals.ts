/** Open arrivals: requests are sent when due, however slow the answers are. */
import {setTimeout as delay} from 'node:timers/promises';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const RESOLUTION = 2 ** 30;

/** Returns a uniform number in (0, 1]. */
export function uniform(rng: RandomGenerator): number {
  return uniformInt(rng, 1, RESOLUTION) / RESOLUTION;
}

/** Returns the event times of a Poisson process in [0, `lengthMs`), ms. */
export function poissonTimes(
  perSecond: number,
  lengthMs: number,
  rng: RandomGenerator,
): number[] {
  const times: number[] = [];
  if (perSecond <= 0) return times;
  let at = 0;
  for (;;) {
    at -= (Math.log(uniform(rng)) * 1000) / perSecond;
    if (at >= lengthMs) return times;
    times.push(at);
  }
}

/** An item that is due at a time after the start of a schedule. */
export interface Scheduled<T> {
  /** Milliseconds after the start. */
  readonly at: number;
  readonly item: T;
}

/** Merges schedules into one, sorted by time. */
export function mergeByTime<T>(
  ...lists: readonly (readonly Scheduled<T>[])[]
): Scheduled<T>[] {
  return lists.flat().sort((a, b) => a.at - b.at);
}

/** Calls `onDue` for each item when it is due; resolves after the last call. */
export async function runSchedule<T>(
  items: readonly Scheduled<T>[],
  onDue: (item: T, dueAt: number) => void,
): Promise<void> {
  const startedAt = performance.now();
  let next = 0;
  while (next < items.length) {
    const elapsedMs = performance.now() - startedAt;
    while (next < items.length && items[next]!.at <= elapsedMs) {
      const {at, item} = items[next]!;
      onDue(item, startedAt + at);
      next += 1;
    }
    if (next < items.length) {
      await delay(Math.max(1, Math.floor(items[next]!.at - elapsedMs)));
    }
  }
}
