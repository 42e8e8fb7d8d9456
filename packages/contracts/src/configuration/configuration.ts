/** The configuration shared by all instances, identified by its revision. */
import type {ServiceConfig, ServiceId} from '../service/service_config.js';

/** All services as configured by operators, at one revision of the table. */
export interface Configuration {
  /** Number of accepted changes; never decreases. */
  readonly revision: number;
  readonly services: ReadonlyMap<ServiceId, ServiceConfig>;
}

/** The configuration before the first change. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  services: new Map(),
};

/** One change to one service. */
export type ServiceChange =
  | {readonly kind: 'put'; readonly service: ServiceConfig}
  | {readonly kind: 'remove'; readonly serviceId: ServiceId};

/** An accepted change as stored in the table's change log. */
export interface ChangeRecord {
  /** Revision that this change created. */
  readonly revision: number;
  /** Id of the operator's request, unique for each change. */
  readonly operationId: string;
  /** Member whose operator made the change. */
  readonly by: string;
  readonly changes: readonly ServiceChange[];
}

/** Returns `cfg` with `record` applied; callers apply records in order. */
export function withChange(
  cfg: Configuration,
  record: ChangeRecord,
): Configuration {
  const services = new Map(cfg.services);
  record.changes.forEach(change => applyChange(services, change));
  return {revision: record.revision, services};
}

function applyChange(
  services: Map<ServiceId, ServiceConfig>,
  change: ServiceChange,
): void {
  switch (change.kind) {
    case 'put':
      services.set(
        `${change.service.member}/${change.service.name}`,
        change.service,
      );
      return;
    case 'remove':
      services.delete(change.serviceId);
      return;
    default:
      throw assertNever(change);
  }
}

/**
 * Creates the error for a union member that a switch does not handle: a bug.
 */
export function assertNever(value: never): Error {
  return new Error(`unexpected kind: ${JSON.stringify(value)}`);
}
