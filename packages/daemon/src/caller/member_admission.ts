/** The accounting of calls by member, as the callers' side needs it. */
import type {Refused} from '@ragworthall/balancer';

/** A call's place in its member's share, given back on disposal. */
export interface Grant extends Disposable {
  readonly kind: 'granted';
}

/** Keeps each member within its share of this instance. */
export interface MemberAdmission {
  /**
   * Decides whether a call of a member is taken in.
   *
   * @param bytes Most bytes that its body may have.
   * @param now Monotonic time, milliseconds.
   */
  admit(member: string, bytes: number, now: number): Grant | Refused;
}
