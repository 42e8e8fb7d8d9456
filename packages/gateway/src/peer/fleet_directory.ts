/** Directory in which instances find each other. */
import type {InstanceEntry} from '@ragworthall/balancer';
import type {Result} from 'neverthrow';
import type {StoreError} from '../platform/row_source.js';

/** Entries of instances, which may include stopped ones. */
export interface InstanceList {
  readonly instances: readonly InstanceEntry[];
  /** Ids of the entries that cannot be read; another build may have written them. */
  readonly unreadable: readonly string[];
  /** Era of the store; see `StorePosition`. */
  readonly era: number;
}

/** The list of instances in the platform's store. */
export interface FleetDirectory {
  /** Writes the entry of this instance. */
  announce(
    entry: InstanceEntry,
    signal: AbortSignal,
  ): Promise<Result<void, StoreError>>;
  /** Reads the entries of all instances. */
  list(signal: AbortSignal): Promise<Result<InstanceList, StoreError>>;
}
