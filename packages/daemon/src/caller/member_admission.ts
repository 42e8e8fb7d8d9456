/** Admission control by member, as the caller server uses it. */
import type {Refused} from '@ragworthall/balancer';

/** Admission of a call within its member's share; disposal releases it. */
export interface Grant extends Disposable {
  readonly kind: 'granted';
}

/** Admits calls as long as their member is within its share of the instance. */
export interface MemberAdmission {
  /**
   * Decides whether a member's call is admitted.
   *
   * @param bytes Maximum size of the call's body.
   * @param now Monotonic time, milliseconds.
   */
  admit(member: string, bytes: number, now: number): Grant | Refused;
}

/** Grant for calls on a server that does not enforce members' shares. */
export const UNLIMITED_GRANT: Grant = {
  kind: 'granted',
  [Symbol.dispose]: () => undefined,
};
