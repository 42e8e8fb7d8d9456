/** Network distance of failure domains from the one of this instance. */

/** Round trip time within a failure domain, milliseconds. */
const SAME_DOMAIN_MS = 0.1;
/** Round trip time to another domain, milliseconds. */
const OTHER_DOMAIN_MS = 1;

/** The failure domains, as seen from one instance. */
export class FailureDomains {
  constructor(
    /** Domain of this instance; without one, all have distance 0. */
    private readonly own: string | undefined,
  ) {}

  /** Returns the assumed round trip time to a domain, milliseconds. */
  roundTripMs(domain: string): number {
    if (this.own === undefined) return 0;
    return domain === this.own ? SAME_DOMAIN_MS : OTHER_DOMAIN_MS;
  }
}
