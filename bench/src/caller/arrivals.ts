/** Open arrivals: requests come when they are due, however slow answers are. */
import {setTimeout as delay} from 'node:timers/promises';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const RESOLUTION = 2 ** 30;

/** Returns a uniform number in (0, 1]. */
export function uniform(rng: RandomGenerator): number {
  return uniformInt(rng, 1, RESOLUTION) / RESOLUTION;
}

/** Returns times of a Poisson process in [0, `lengthMs`), milliseconds. */
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

/** One thing that happens at a time after the start, milliseconds. */
export interface Scheduled<T> {
  readonly at: number;
  readonly item: T;
}

/** Merges timed lists into one, by time. */
export function mergeByTime<T>(
  ...lists: readonly (readonly Scheduled<T>[])[]
): Scheduled<T>[] {
  return lists.flat().sort((a, b) => a.at - b.at);
}

/** Calls `fire` for each item when it is due; resolves after the last. */
export async function runSchedule<T>(
  items: readonly Scheduled<T>[],
  fire: (what: T, dueAt: number) => void,
): Promise<void> {
  const start = performance.now();
  let next = 0;
  while (next < items.length) {
    const now = performance.now() - start;
    while (next < items.length && items[next]!.at <= now) {
      const {at, item: what} = items[next]!;
      fire(what, start + at);
      next += 1;
    }
    if (next < items.length) {
      await delay(Math.max(1, Math.floor(items[next]!.at - now)));
    }
  }
}
