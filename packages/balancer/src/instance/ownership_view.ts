/** Ownership derived from the configuration and the serving instances. */
import type {
  AddressEntry,
  BackendServerConfig,
  Configuration,
  ServiceId,
} from '@ragworthall/contracts';
import type {Ownership} from './fleet.js';
import {ownerOfServer, ownersOf, rankByHash} from './ownership.js';
import type {SeatHolder} from './seat.js';

/** Number of owners of a service that the configuration does not contain. */
const DEFAULT_OWNERS = 1;

/** Computes ownership per service, and caches it until its inputs change. */
export class OwnershipView {
  private holders: readonly SeatHolder[] = [];
  /** The configuration that the cache was computed from. */
  private cachedFor: Configuration | undefined;
  private readonly cache = new Map<ServiceId, Ownership>();

  /** @param self Id of this instance. */
  constructor(private readonly self: string) {}

  /** Sets the serving instances; returns whether ownership may have changed. */
  update(holders: readonly SeatHolder[]): boolean {
    const sorted = [...holders].sort((a, b) =>
      compareIds(a.instance, b.instance),
    );
    const before = this.holders.map(holderKey).join(' ');
    this.holders = sorted;
    if (before === sorted.map(holderKey).join(' ')) return false;
    this.cache.clear();
    return true;
  }

  /** Returns which instances schedule the backend servers of a service. */
  ownership(serviceId: ServiceId, cfg: Configuration): Ownership {
    if (cfg !== this.cachedFor) this.cache.clear();
    this.cachedFor = cfg;
    const known = this.cache.get(serviceId);
    if (known) return known;
    const ownership = this.compute(serviceId, cfg);
    this.cache.set(serviceId, ownership);
    return ownership;
  }

  /** Returns the addresses for callers of a service, owners first. */
  addresses(serviceId: ServiceId, cfg: Configuration): readonly AddressEntry[] {
    const {owners} = this.ownership(serviceId, cfg);
    const ids = this.holders.map(h => h.instance);
    const others = rankByHash(ids, serviceId).filter(
      id => !owners.includes(id),
    );
    return [...owners, ...others].flatMap(id => {
      const holder = this.holders.find(h => h.instance === id);
      return holder ? [{instance: id, url: holder.callerUrl}] : [];
    });
  }

  private compute(serviceId: ServiceId, cfg: Configuration): Ownership {
    const service = cfg.services.get(serviceId);
    const ids = this.holders.map(h => h.instance);
    const owners = ownersOf(ids, serviceId, service?.owners ?? DEFAULT_OWNERS);
    const servers: readonly BackendServerConfig[] =
      service?.backendServers ?? [];
    const own = new Set(
      servers
        .map(s => s.id)
        .filter(id => ownerOfServer(owners, serviceId, id) === this.self),
    );
    return {owners, isOwn: id => own.has(id)};
  }
}

function holderKey(holder: SeatHolder): string {
  return `${holder.instance}~${holder.incarnation}`;
}

function compareIds(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
