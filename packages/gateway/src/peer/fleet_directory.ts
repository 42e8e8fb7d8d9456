/** Directory in which instances find each other. */
import type {InstanceEntry} from '@ragworthall/balancer';
import type {Result} from 'neverthrow';
import type {StoreError} from '../platform/row_source.js';

/** The list of instances in the platform's store. */
export interface FleetDirectory {
  /** Writes the entry of this instance. */
  announce(
    entry: InstanceEntry,
    signal: AbortSignal,
  ): Promise<Result<void, StoreError>>;
  /** Reads the entries of all instances, which may include stopped ones. */
  list(
    signal: AbortSignal,
  ): Promise<Result<readonly InstanceEntry[], StoreError>>;
}
