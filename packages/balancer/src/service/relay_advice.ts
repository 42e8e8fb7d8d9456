/**
 * Decides what becomes of a request at an instance that may reach no server:
 * another instance may serve it. A request is passed on once at most, so that it
 * cannot go round between instances that are all cut off.
 */
import {ReachState} from '../instance/server_reach.js';

/** What is known when a request is about to be sent. */
export interface RelaySituation {
  readonly reach: ReachState;
  /** Whether nothing suggests that a server still responds. */
  readonly isSilent: boolean;
  /** Whether a connection for this request could not be opened. */
  readonly wasUnsent: boolean;
  /** Whether an instance is known that serves callers, and has not refused it. */
  readonly hasHelper: boolean;
  /** Whether the others have been asked; not yet right after a start. */
  readonly knowsHelpers: boolean;
  /** Whether another instance has passed it on to this one. */
  readonly isRelayed: boolean;
  /** Sends to servers that its route still allows. */
  readonly attemptsLeft: number;
}

/** What becomes of the request. */
export type RelayAdvice =
  /** This instance tries the servers itself. */
  | {readonly kind: 'stay'}
  | {readonly kind: 'relay'}
  /** No instance is known that can serve it. */
  | {readonly kind: 'refuse'};

/** Returns what becomes of a request. */
export function adviseRelay(situation: RelaySituation): RelayAdvice {
  const {reach, isSilent, wasUnsent, isRelayed} = situation;
  const mayRelay =
    situation.hasHelper && !isRelayed && situation.attemptsLeft > 0;
  switch (reach) {
    case ReachState.Reached:
      return {kind: 'stay'};
    case ReachState.Suspected:
      if (mayRelay && (isSilent || wasUnsent)) return {kind: 'relay'};
      // The instance that passed it on may know others.
      return {kind: isRelayed && isSilent ? 'refuse' : 'stay'};
    case ReachState.CutOff:
      if (mayRelay) return {kind: 'relay'};
      if (isRelayed) return {kind: isSilent || wasUnsent ? 'refuse' : 'stay'};
      // Connections that live on may still serve it.
      return {kind: isSilent && situation.knowsHelpers ? 'refuse' : 'stay'};
    default:
      return reach satisfies never;
  }
}
