/** Whether an instance should get callers. */

/** Why an instance is not ready. */
export const UnreadyReason = {
  /** It has not read the configuration yet. */
  NoConfiguration: 'no_configuration',
  /** Its lease lapsed: the configuration in force may be another. */
  NotInForce: 'configuration_not_in_force',
  /** It was told to stop. */
  Stopping: 'stopping',
} as const;

/** One of the values of {@link UnreadyReason}. */
export type UnreadyReason = (typeof UnreadyReason)[keyof typeof UnreadyReason];

/** Whether an instance is ready, and if not, why. */
export type ReadinessCheck =
  | {readonly kind: 'ready'}
  | {readonly kind: 'unready'; readonly reasons: readonly UnreadyReason[]};

/** Decides whether an instance is ready. */
export interface Readiness {
  /** @param now Monotonic time, milliseconds. */
  check(now: number): ReadinessCheck;
}

const MESSAGES: Readonly<Record<UnreadyReason, string>> = {
  no_configuration:
    'no configuration was read yet; check that the platform or a peer can be reached',
  configuration_not_in_force:
    'the lease lapsed; check that the platform or a majority of the peers can be reached',
  stopping: 'the instance was told to stop; use another one',
};

/** Returns what is wrong and what to do. */
export function unreadyMessage(reason: UnreadyReason): string {
  return MESSAGES[reason];
}
