/** Counts the refusals that operators can list. */
import type {Refused, RefusalCount} from '@ragworthall/balancer';
import type {ServiceId} from '@ragworthall/contracts';

/** Limit of the entries: callers can send any service name. */
const MAX_ENTRIES = 10_000;

/** Counts refusals by service and reason since the instance started. */
export class RefusalCounter {
  private readonly entries = new Map<string, RefusalCount>();

  /** Counts one refusal. */
  add(serviceId: ServiceId, {reason}: Refused): void {
    const key = `${serviceId} ${reason}`;
    const known = this.entries.get(key);
    if (!known && this.entries.size >= MAX_ENTRIES) return;
    const count = (known?.count ?? 0) + 1;
    this.entries.set(key, {serviceId, reason, count});
  }

  counts(): readonly RefusalCount[] {
    return [...this.entries.values()];
  }
}
