/** The end of a planned stop: the last answers reach their callers. */
import {settlesWithin} from '@ragworthall/daemon';
import type {Clock} from '@ragworthall/balancer';
import type {CallerServer} from '../caller/caller_server.js';
import type {GatewayLog} from '../log/gateway_log.js';

/**
 * Fraction of the grace period after which requests in flight are answered as
 * interrupted. Then their callers, and those of answers behind them, read.
 */
const INTERRUPT_FRACTION = 0.86;
/**
 * Fraction of the grace period after which connections are cut; the rest is for a
 * slow process to end by itself.
 */
const CUT_FRACTION = 0.93;

/** Limits of a planned stop on the monotonic clock, milliseconds. */
export interface DrainLimits {
  /** Time at which requests in flight are answered as interrupted. */
  readonly answersUntil: number;
  /** Time at which connections are cut. */
  readonly cutsAt: number;
}

/** Returns the limits of a stop that starts now. */
export function drainLimits(now: number, graceMs: number): DrainLimits {
  return {
    answersUntil: now + graceMs * INTERRUPT_FRACTION,
    cutsAt: now + graceMs * CUT_FRACTION,
  };
}

/**
 * Stops listening and waits until callers have read the answers to all requests in
 * flight. Resolves with whether they all have.
 */
export async function drainConnections(
  server: CallerServer,
  {answersUntil, cutsAt}: DrainLimits,
  clock: Clock,
  log: GatewayLog,
): Promise<boolean> {
  const closed = server.stopListening();
  await settlesWithin(closed, Math.max(0, answersUntil - clock.now()));
  const interrupted = server.interruptRequests();
  const isClosed = await settlesWithin(
    closed,
    Math.max(0, cutsAt - clock.now()),
  );
  // A caller that has not closed its side may still be reading.
  const drained = isClosed && interrupted === 0;
  const connections = isClosed ? 0 : server.connectionCount;
  log.lifecycle('stopped', {drained, interrupted, connections, ...server.cut});
  return drained;
}
