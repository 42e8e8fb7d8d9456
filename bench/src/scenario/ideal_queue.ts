/**
 * Simulates a single queue with perfect knowledge: the time that each request
 * takes at each server is known in advance, each request goes to the slot at
 * which it ends first, and messages take no time. Balancers are compared with
 * it over the same arrivals; none can be much faster.
 */
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniform} from '../caller/arrivals.js';

/** A server of the simulated queue. */
export interface IdealServer {
  readonly slots: number;
  /** Mean service time, milliseconds. */
  readonly serviceMs: number;
}

/** Returns the latency of each arriving request, milliseconds. */
export function idealLatencies(
  arrivals: readonly number[],
  servers: readonly IdealServer[],
  rng: RandomGenerator,
): number[] {
  const slots = servers.flatMap(server =>
    Array.from({length: server.slots}, () => ({
      freeAt: 0,
      serviceMs: server.serviceMs,
    })),
  );
  return arrivals.map(arrivedAt => {
    const work = -Math.log(uniform(rng));
    const endAt = (slot: {freeAt: number; serviceMs: number}) =>
      Math.max(arrivedAt, slot.freeAt) + work * slot.serviceMs;
    const earliest = slots.reduce((a, b) => (endAt(b) < endAt(a) ? b : a));
    earliest.freeAt = endAt(earliest);
    return earliest.freeAt - arrivedAt;
  });
}
