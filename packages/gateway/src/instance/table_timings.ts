/** How often an instance asks the store for changes of each table. */
import {CONFIRMATION_AGE_MS} from '@ragworthall/balancer';
import type {FollowTiming} from '../platform/table_follower.js';

/** Long-poll time while other instances listen, milliseconds; see `TablePosition`. */
const RELAY_LONG_POLL_MS = 1_000;
/**
 * The long-poll time limits how long a dead connection to the store goes
 * unnoticed; a new configuration has to be in force within two seconds.
 */
export const CONFIGURATION_TIMING: FollowTiming = {
  longPollMs: 2_000,
  relayLongPollMs: RELAY_LONG_POLL_MS,
  confirmationAgeMs: CONFIRMATION_AGE_MS,
  pollsUntilFleetKnown: false,
  minRetryMs: 150,
  maxRetryMs: 800,
  batchMs: 100,
};
/**
 * Probes also detect servers that are leaving, so the long poll may be longer.
 * With many servers some entry is always changing, so changes are batched.
 */
export const REGISTRY_TIMING: FollowTiming = {
  longPollMs: 5_000,
  relayLongPollMs: RELAY_LONG_POLL_MS,
  confirmationAgeMs: CONFIRMATION_AGE_MS,
  pollsUntilFleetKnown: false,
  minRetryMs: 150,
  maxRetryMs: 800,
  batchMs: 700,
};
/**
 * Rarely changes, and what an instance misses costs at most one server, whose end
 * it cannot record without learning of the others.
 */
export const CONTENTS_TIMING: FollowTiming = {
  longPollMs: 5_000,
  relayLongPollMs: 2_000,
  confirmationAgeMs: 2_600,
  pollsUntilFleetKnown: true,
  // The other tables notice that the store has returned.
  minRetryMs: 2_500,
  maxRetryMs: 10_000,
  batchMs: 50,
};
