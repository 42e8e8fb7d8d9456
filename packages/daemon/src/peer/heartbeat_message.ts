/**
 * Heartbeats in their compact form. They are most of what links carry while
 * nothing happens, so their fields go without names.
 */
import type {InstanceState, HeartbeatStatus} from '@ragworthall/balancer';
import type {MessageOf} from './message.js';

/** A heartbeat, taken apart. */
export interface Heartbeat {
  readonly sequence: number;
  /** Sequence of the newest heartbeat that its sender has received. */
  readonly echo: number;
  /** Asks for a heartbeat at once. */
  readonly wantsEcho: boolean;
  readonly standing: HeartbeatStatus;
}

/** Bits of the flags. */
const Flag = {
  WantsEcho: 1,
  Voting: 2,
  Settled: 4,
  Serving: 8,
  Stopping: 16,
} as const;

/** Age that stands for none. */
const NO_AGE = -1;

/** Returns the message of a heartbeat. */
export function heartbeatMessage(beat: Heartbeat): MessageOf<'heartbeat'> {
  const {sequence, echo, wantsEcho, standing} = beat;
  const {state, revision, confirmedAgeMs, voting, settled} = standing;
  // An age that is too high is safe, one that is too low is not.
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

/** Takes the message of a heartbeat apart. */
export function heartbeatOf(message: MessageOf<'heartbeat'>): Heartbeat {
  const [sequence, echo, revision, age, flags] = message.facts;
  const has = (flag: number) => (flags & flag) !== 0;
  return {
    sequence,
    echo,
    wantsEcho: has(Flag.WantsEcho),
    standing: {
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
