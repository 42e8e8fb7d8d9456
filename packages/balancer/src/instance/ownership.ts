/**
 * Assigns backend servers to instances by rendezvous hashing: the instances
 * with the highest hashes of service and instance schedule its servers. When an
 * instance joins or leaves, only the servers that it gains or loses move.
 */
import type {ServiceId} from '@ragworthall/contracts';
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** Returns the instances by preference as owners of `key`, best first. */
export function rankByHash(
  instances: readonly string[],
  key: string,
): readonly string[] {
  return instances
    .map(id => ({id, weight: h64(`${key} ${id}`)}))
    .sort((a, b) => compare(b.weight, a.weight) || (a.id < b.id ? -1 : 1))
    .map(({id}) => id);
}

/** Returns the owners of a service, preferred first. */
export function ownersOf(
  instances: readonly string[],
  serviceId: ServiceId,
  count: number,
): readonly string[] {
  return rankByHash(instances, serviceId).slice(0, count);
}

/** Returns the owner that schedules a backend server of a service. */
export function ownerOfServer(
  owners: readonly string[],
  serviceId: ServiceId,
  backendServerId: string,
): string | undefined {
  return rankByHash(owners, `${serviceId} ${backendServerId}`)[0];
}

function compare(a: bigint, b: bigint): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
