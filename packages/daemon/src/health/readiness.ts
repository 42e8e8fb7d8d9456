/** Readiness of an instance: whether callers may be sent to it. */

/** Why an instance is not ready. */
export const UnreadyReason = {
  /** The instance has not read a configuration yet. */
  NoConfiguration: 'no_configuration',
  /** Its lease has expired, so another configuration may be in force. */
  NotInForce: 'configuration_not_in_force',
  /** It has received a stop signal. */
  Stopping: 'stopping',
} as const;

/** One of the values of {@link UnreadyReason}. */
export type UnreadyReason = (typeof UnreadyReason)[keyof typeof UnreadyReason];

/** Result of a readiness check, with the reasons if the instance is not ready. */
export type ReadinessCheck =
  | {readonly kind: 'ready'}
  | {readonly kind: 'unready'; readonly reasons: readonly UnreadyReason[]};

/** Checks whether an instance is ready. */
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

/** Returns a message that states the problem and a remedy. */
export function unreadyMessage(reason: UnreadyReason): string {
  return MESSAGES[reason];
}
