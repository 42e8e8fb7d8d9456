/** Graceful stop: waits for the calls in flight before the process exits. */
import type {Clock} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from 'winston';
import type {CallerServer} from '../caller/caller_server.js';
import type {Peers} from '../peer/index.js';
import {type EntryInstance, ADDRESS_ANSWER_TTL_MS} from './entry_instance.js';
import {settlesWithin} from './settles_within.js';

/** Time for peers to drop this instance from their address answers, milliseconds. */
const STOP_PROPAGATION_MS = 1_000;

/** Parts of the instance that take part in the stop, and its limits. */
export interface GracefulStopOptions {
  readonly peers: Peers;
  readonly callers: CallerServer;
  readonly instance: EntryInstance;
  readonly clock: Clock;
  readonly log: Logger;
  /** Longest wait for calls in flight, milliseconds. */
  readonly graceMs: number;
}

/**
 * Leaves the fleet: first removes this instance from address answers, then
 * closes the callers' connections. Resolves to whether every call in flight was
 * answered.
 */
export async function stopGracefully(
  options: GracefulStopOptions,
): Promise<boolean> {
  const {peers, callers, instance, clock, log, graceMs} = options;
  log.warn('stopping', {graceMs});
  peers.leave();
  // Callers may use a cached address answer that names this instance until the
  // answer expires.
  await delay(ADDRESS_ANSWER_TTL_MS + STOP_PROPAGATION_MS);
  const endsAt = clock.now() + graceMs;
  instance.answerUntil(endsAt);
  const closed = await callers.close();
  const msLeft = Math.max(0, endsAt - clock.now());
  const drained = await settlesWithin(instance.drained(), msLeft);
  instance.end();
  log.warn('stopped', {drained, ...closed, calls: peers.callsInFlight});
  return drained && closed.refused + closed.cut === 0;
}
