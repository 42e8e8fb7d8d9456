/**
 * Compact encoding of heartbeats. They are most of the traffic of an idle link,
 * so their fields are sent as a tuple, without names.
 */
import type {InstanceState, HeartbeatStatus} from '@ragworthall/balancer';
import type {MessageOf} from './message.js';

/** A decoded heartbeat. */
export interface Heartbeat {
  readonly sequence: number;
  /** Sequence number of the newest heartbeat that its sender has received. */
  readonly echo: number;
  /** Whether the receiver should answer with a heartbeat immediately. */
  readonly wantsEcho: boolean;
  readonly status: HeartbeatStatus;
}

/** Bits of the `flags` field. */
const Flag = {
  WantsEcho: 1,
  Voting: 2,
  Settled: 4,
  Serving: 8,
  Stopping: 16,
} as const;

/** Encodes an age that is undefined. */
const NO_AGE = -1;

/** Encodes a heartbeat. */
export function heartbeatMessage(beat: Heartbeat): MessageOf<'heartbeat'> {
  const {sequence, echo, wantsEcho, status: status} = beat;
  const {state, revision, confirmedAgeMs, voting, settled} = status;
  // Rounded up: a confirmation that looks too old is safe; one that looks too
  // recent could prolong a lease.
  const age = Math.ceil(confirmedAgeMs ?? NO_AGE);
  const flags = [
    wantsEcho ? Flag.WantsEcho : 0,
    voting ? Flag.Voting : 0,
    settled ? Flag.Settled : 0,
    state === 'serving' ? Flag.Serving : 0,
    state === 'stopping' ? Flag.Stopping : 0,
  ].reduce((all, flag) => all | flag, 0);
  return {kind: 'heartbeat', facts: [sequence, echo, revision, age, flags]};
}

/** Decodes a heartbeat. */
export function heartbeatOf(message: MessageOf<'heartbeat'>): Heartbeat {
  const [sequence, echo, revision, age, flags] = message.facts;
  const has = (flag: number) => (flags & flag) !== 0;
  return {
    sequence,
    echo,
    wantsEcho: has(Flag.WantsEcho),
    status: {
      state: stateOf(has),
      revision,
      confirmedAgeMs: age === NO_AGE ? undefined : age,
      voting: has(Flag.Voting),
      settled: has(Flag.Settled),
    },
  };
}

function stateOf(has: (flag: number) => boolean): InstanceState {
  if (has(Flag.Stopping)) return 'stopping';
  return has(Flag.Serving) ? 'serving' : 'starting';
}
