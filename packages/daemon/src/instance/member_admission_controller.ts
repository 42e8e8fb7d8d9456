/**
 * Admits calls by their member's share of this instance. Only members with
 * configured services have a share of their own; all other names, which callers
 * can choose freely, use one common share.
 */
import type {
  Clock,
  ConfigurationService,
  MemberShares,
  Refused,
} from '@ragworthall/balancer';
import type {Configuration} from '@ragworthall/contracts';
import type {Grant, MemberAdmission} from '../caller/member_admission.js';

/** Member for all names without services; not a valid name of a member. */
const UNKNOWN_MEMBER = '';

/** Admits calls by the shares of the configured members. */
export class MemberAdmissionController implements MemberAdmission, Disposable {
  private members: ReadonlySet<string> = new Set();
  private readonly subscription: Disposable;

  constructor(
    private readonly shares: MemberShares,
    configuration: ConfigurationService,
    private readonly clock: Clock,
  ) {
    this.applyConfiguration(configuration.current());
    this.subscription = configuration.onChanged(cfg =>
      this.applyConfiguration(cfg),
    );
  }

  admit(member: string, bytes: number, now: number): Grant | Refused {
    const group = this.members.has(member) ? member : UNKNOWN_MEMBER;
    return this.shares.admit(group, bytes, now);
  }

  [Symbol.dispose](): void {
    this.subscription[Symbol.dispose]();
  }

  private applyConfiguration(cfg: Configuration): void {
    this.members = new Set([...cfg.services.values()].map(s => s.member));
    const withUnknown = new Set([...this.members, UNKNOWN_MEMBER]);
    this.shares.reconfigure(withUnknown, this.clock.now());
  }
}
