/** A schedule of faults that follows from a seed. */
import type {BackendServerFault, PlatformFault} from '@ragworthall/standins';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type Scheduled, uniform} from '../caller/arrivals.js';

/** One thing that is done to the system. Lengths of time in milliseconds. */
export type Fault =
  /** The daemon dies at once; another takes its seat. */
  | {
      readonly kind: 'kill_daemon';
      readonly seat: number;
      readonly downMs: number;
    }
  /** The daemon stands still, then goes on as if nothing had been. */
  | {
      readonly kind: 'pause_daemon';
      readonly seat: number;
      readonly lengthMs: number;
    }
  /** The daemon is asked to stop; another takes its seat. */
  | {readonly kind: 'stop_daemon'; readonly seat: number}
  /** A backend server has a fault for a time. */
  | {
      readonly kind: 'server_fault';
      readonly server: number;
      readonly fault: BackendServerFault;
      readonly lengthMs: number;
    }
  /** A backend server leaves, until the end of the run. */
  | {readonly kind: 'drain_server'; readonly server: number}
  /** A process with a third of the backend servers dies for good. */
  | {readonly kind: 'kill_servers'}
  /** The platform has a fault for a time, for all or for one daemon alone. */
  | {
      readonly kind: 'platform_fault';
      readonly fault: PlatformFault;
      readonly seat: number | undefined;
      readonly lengthMs: number;
    }
  /** Two operators change the same at the same time, through two daemons. */
  | {readonly kind: 'operators'; readonly seats: readonly [number, number]};

/** Sizes of the system that the faults are for. */
export interface Sizes {
  readonly daemons: number;
  readonly servers: number;
}

/** Time between two faults, milliseconds. */
const SHORTEST_GAP_MS = 200;
const LONGEST_GAP_MS = 1_800;
/** Length of a pause; longer than a lease, milliseconds. */
const SHORTEST_PAUSE_MS = 4_300;
const LONGEST_PAUSE_MS = 7_000;
/** Length of faults of servers and of the platform, milliseconds. */
const SHORTEST_FAULT_MS = 500;
const LONGEST_FAULT_MS = 6_000;
/** Time until a daemon is replaced, milliseconds. */
const LONGEST_DOWN_MS = 3_000;

/** Text of a body that crashes a server. */
export const CRASH_TEXT = 'crash-me';

/** Draws from a seeded source. */
class Draw {
  constructor(private readonly rng: RandomGenerator) {}

  /** A number from `from` to `to`. */
  between(from: number, to: number): number {
    return from + uniform(this.rng) * (to - from);
  }

  /** A whole number below `count`. */
  below(count: number): number {
    return Math.min(count - 1, Math.floor(uniform(this.rng) * count));
  }

  /** One of a list. */
  oneOf<T>(items: readonly T[]): T {
    return items[this.below(items.length)]!;
  }
}

type Kind = Fault['kind'];

/** Kinds, each as often as its weight. */
const KINDS: readonly Kind[] = [
  'kill_daemon',
  'kill_daemon',
  'pause_daemon',
  'pause_daemon',
  'stop_daemon',
  'server_fault',
  'server_fault',
  'server_fault',
  'server_fault',
  'drain_server',
  'kill_servers',
  'platform_fault',
  'platform_fault',
  'platform_fault',
  'operators',
  'operators',
  'operators',
];

/** Returns the faults of a run of `lengthMs`. */
export function planFaults(
  rng: RandomGenerator,
  lengthMs: number,
  sizes: Sizes,
): Scheduled<Fault>[] {
  const draw = new Draw(rng);
  // One stop comes in each run, before other faults can get in its way.
  const first: Fault = {kind: 'stop_daemon', seat: draw.below(sizes.daemons)};
  const plan: Scheduled<Fault>[] = [{at: SHORTEST_GAP_MS, item: first}];
  let at = SHORTEST_GAP_MS + draw.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
  while (at < lengthMs) {
    plan.push({at, item: faultOf(draw.oneOf(KINDS), draw, sizes)});
    at += draw.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
  }
  return plan;
}

function faultOf(kind: Kind, draw: Draw, sizes: Sizes): Fault {
  const seat = draw.below(sizes.daemons);
  const server = draw.below(sizes.servers);
  const lengthMs = draw.between(SHORTEST_FAULT_MS, LONGEST_FAULT_MS);
  switch (kind) {
    case 'kill_daemon':
      return {kind, seat, downMs: draw.between(0, LONGEST_DOWN_MS)};
    case 'pause_daemon': {
      const pauseMs = draw.between(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
      return {kind, seat, lengthMs: pauseMs};
    }
    case 'stop_daemon':
      return {kind, seat};
    case 'server_fault':
      return {kind, server, fault: serverFaultOf(draw), lengthMs};
    case 'drain_server':
      return {kind, server};
    case 'kill_servers':
      return {kind};
    case 'platform_fault': {
      const fault = platformFaultOf(draw);
      const alone = draw.below(2) === 0;
      return {kind, fault, seat: alone ? seat : undefined, lengthMs};
    }
    case 'operators':
      return {kind, seats: [seat, (seat + 1) % sizes.daemons]};
    default:
      throw new Error(`unexpected kind: ${kind satisfies never}`);
  }
}

function serverFaultOf(draw: Draw): BackendServerFault {
  return draw.oneOf<BackendServerFault>([
    {kind: 'silent_connections'},
    {kind: 'late_answers', ms: draw.between(50, 3_000)},
    {kind: 'cut_answers', count: 1 + draw.below(10)},
    {kind: 'straggler', slowFactor: draw.between(3, 30)},
    {kind: 'fail_fast'},
    {kind: 'misleading_health'},
    {kind: 'lagging_health', ms: draw.between(100, 2_000)},
    {kind: 'crash_on_body', text: CRASH_TEXT, restartMs: 300},
    {kind: 'crash_on_body', text: '/payout', restartMs: 300},
  ]);
}

function platformFaultOf(draw: Draw): PlatformFault {
  return draw.oneOf<PlatformFault>([
    {kind: 'down'},
    {kind: 'unreachable'},
    {kind: 'delay', ms: draw.between(50, 2_500)},
    {kind: 'lose_write_answers', count: 1 + draw.below(5)},
    {kind: 'stale_reads', ms: draw.between(200, 5_000)},
  ]);
}
