/**
 * The members' shares of this instance, for the members that have services:
 * a name that a caller made up has no share, and uses those of the unknown.
 */
import type {
  Clock,
  ConfigurationService,
  MemberShares,
  Refused,
} from '@ragworthall/balancer';
import type {Configuration} from '@ragworthall/contracts';
import type {Grant, MemberAdmission} from '../caller/member_admission.js';

/** Stands for all names without services; no member can have it. */
const UNKNOWN = '';

/** Admits calls by the shares of configured members. */
export class MemberDesk implements MemberAdmission, Disposable {
  private members: ReadonlySet<string> = new Set();
  private readonly subscription: Disposable;

  constructor(
    private readonly shares: MemberShares,
    configuration: ConfigurationService,
    private readonly clock: Clock,
  ) {
    this.follow(configuration.current());
    this.subscription = configuration.onChanged(cfg => this.follow(cfg));
  }

  admit(member: string, bytes: number, now: number): Grant | Refused {
    const known = this.members.has(member) ? member : UNKNOWN;
    return this.shares.admit(known, bytes, now);
  }

  [Symbol.dispose](): void {
    this.subscription[Symbol.dispose]();
  }

  private follow(cfg: Configuration): void {
    this.members = new Set([...cfg.services.values()].map(s => s.member));
    const withUnknown = new Set([...this.members, UNKNOWN]);
    this.shares.reconfigure(withUnknown, this.clock.now());
  }
}
