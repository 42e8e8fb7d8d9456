/** A schedule of faults for instances of the gateway; it follows from a seed. */
import type {LinkMode} from '@ragworthall/platform/dist/testing/loopback_proxy.js';
import type {StoreMode} from '@ragworthall/platform/dist/testing/store_standin.js';
import type {BackendServerMode} from '@ragworthall/platform/dist/testing/backend_server_standin.js';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type Scheduled, uniform} from '../caller/arrivals.js';

/** One thing that is done. Lengths of time in milliseconds. */
export type GatewayFault =
  | {readonly kind: 'kill'; readonly instance: number; readonly forMs: number}
  | {readonly kind: 'kill_all'; readonly forMs: number}
  /** It stands still, then goes on as if nothing had been. */
  | {readonly kind: 'pause'; readonly instance: number; readonly forMs: number}
  | {readonly kind: 'stop'; readonly instance: number}
  | {readonly kind: 'hangup'; readonly instance: number}
  | {readonly kind: 'store'; readonly mood: StoreMode; readonly forMs: number}
  /** The link of one instance to the store. */
  | {
      readonly kind: 'store_link';
      readonly instance: number;
      readonly mood: LinkMode;
      readonly forMs: number;
    }
  | {readonly kind: 'store_forgets'}
  | {
      readonly kind: 'server';
      readonly server: number;
      readonly mood: BackendServerMode;
      readonly forMs: number;
    }
  /** The link of all instances to one server. */
  | {
      readonly kind: 'server_link';
      readonly server: number;
      readonly mood: LinkMode;
      readonly forMs: number;
    }
  /** A server says that it leaves, works on for a while and ends. */
  | {readonly kind: 'server_leaves'; readonly server: number}
  /** The operator writes the next configuration. */
  | {readonly kind: 'configure'};

/** Sizes of the system that the faults are for. */
export interface GatewaySizes {
  readonly instances: number;
  readonly servers: number;
}

/** Time between two faults, milliseconds. */
const SHORTEST_GAP_MS = 200;
const LONGEST_GAP_MS = 1_600;
/** Length of a fault, milliseconds. */
const SHORTEST_MS = 400;
const LONGEST_MS = 5_000;

const STORE_MOODS: readonly StoreMode[] = [
  {kind: 'refuses', status: 503},
  {kind: 'refuses', status: 429},
  {kind: 'silent'},
  {kind: 'resets'},
];
const LINK_MOODS: readonly LinkMode[] = [
  {kind: 'slow', ms: 150},
  {kind: 'silent'},
  {kind: 'one_way'},
  {kind: 'reset'},
];
const SERVER_MOODS: readonly BackendServerMode[] = [
  {kind: 'fails'},
  {kind: 'sheds'},
  {kind: 'silent'},
  {kind: 'resets'},
  {kind: 'mixes_up'},
  {kind: 'unsigned'},
  {kind: 'garbage'},
  {kind: 'twice'},
  {kind: 'answers', afterMs: 700},
];

/** Returns the faults of a run of this length; they may overlap. */
export function planGatewayFaults(
  rng: RandomGenerator,
  sizes: GatewaySizes,
  lengthMs: number,
): Scheduled<GatewayFault>[] {
  const plan: Scheduled<GatewayFault>[] = [];
  let at = between(rng, SHORTEST_GAP_MS, LONGEST_GAP_MS);
  while (at < lengthMs) {
    plan.push({at, item: drawFault(rng, sizes)});
    at += between(rng, SHORTEST_GAP_MS, LONGEST_GAP_MS);
  }
  return plan;
}

function drawFault(
  rng: RandomGenerator,
  {instances, servers}: GatewaySizes,
): GatewayFault {
  const instance = below(rng, instances);
  const server = below(rng, servers);
  const forMs = between(rng, SHORTEST_MS, LONGEST_MS);
  const faults: readonly GatewayFault[] = [
    {kind: 'kill', instance, forMs},
    {kind: 'pause', instance, forMs},
    {kind: 'stop', instance},
    {kind: 'hangup', instance},
    {kind: 'store', mood: oneOf(rng, STORE_MOODS), forMs},
    {kind: 'store_link', instance, mood: oneOf(rng, LINK_MOODS), forMs},
    {kind: 'store_forgets'},
    {kind: 'server', server, mood: oneOf(rng, SERVER_MOODS), forMs},
    {kind: 'server', server, mood: oneOf(rng, SERVER_MOODS), forMs},
    {kind: 'server_link', server, mood: oneOf(rng, LINK_MOODS), forMs},
    {kind: 'server_leaves', server},
    {kind: 'configure'},
    {kind: 'configure'},
  ];
  // Rare: nothing else is seen while no instance runs.
  if (below(rng, 30) === 0) return {kind: 'kill_all', forMs: SHORTEST_MS};
  return oneOf(rng, faults);
}

function oneOf<T>(rng: RandomGenerator, of: readonly T[]): T {
  return of[below(rng, of.length)]!;
}

function below(rng: RandomGenerator, bound: number): number {
  return Math.min(bound - 1, Math.floor(uniform(rng) * bound));
}

function between(rng: RandomGenerator, from: number, to: number): number {
  return from + (to - from) * uniform(rng);
}
