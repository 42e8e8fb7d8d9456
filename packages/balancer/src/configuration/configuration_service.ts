/** Configuration and fleet status, as used to serve operators. */
import type {
  ChangeRecord,
  Configuration,
  ServiceChange,
  ServiceId,
} from '@ragworthall/contracts';

/** An operator's request to change the configuration. */
export interface ChangeRequest {
  /** Chosen by the operator; repeating it asks about the same change. */
  readonly operationId: string;
  /** The operator's member. */
  readonly by: string;
  /** Revision that the change is based on. */
  readonly baseRevision: number;
  readonly changes: readonly ServiceChange[];
}

/** Outcome of a request to change the configuration. */
export type ChangeOutcome =
  /** Written, and in force wherever requests are served. */
  | {readonly kind: 'accepted'; readonly revision: number}
  /** Written, but not yet confirmed by enough instances. Ask again. */
  | {readonly kind: 'pending'; readonly revision: number}
  /** Not written: a newer change to the same service exists. */
  | {readonly kind: 'conflict'; readonly revision: number; readonly by: string}
  /** Unknown: the store did not answer. Ask again with the same operation. */
  | {readonly kind: 'unresolved'; readonly operationId: string}
  /** Not written: the store could not be reached. */
  | {readonly kind: 'store_unavailable'; readonly retryAfterMs: number};

/** The revision that one instance has in force. */
export interface InstanceStatus {
  readonly id: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly revision: number;
  /** Age of this information, milliseconds. */
  readonly ageMs: number;
  readonly state: 'starting' | 'serving' | 'stopping' | 'unreachable';
}

/** A backend server or request content that is excluded for a time. */
export type QuarantineStatus =
  | {
      readonly kind: 'backend_server';
      readonly serviceId: ServiceId;
      readonly id: string;
      readonly reason: string;
      readonly endsInMs: number;
    }
  | {
      readonly kind: 'request_content';
      readonly serviceId: ServiceId;
      readonly fingerprint: string;
      readonly crashes: number;
      readonly endsInMs: number;
    };

/** Refusals of a service for one reason since the instance started. */
export interface RefusalCount {
  readonly serviceId: ServiceId;
  readonly reason: string;
  readonly count: number;
}

/** Access to the configuration in force, and to changes of it. */
export interface ConfigurationService {
  current(): Configuration;
  /** Resolves within a few seconds; never rejects. */
  submit(req: ChangeRequest, signal: AbortSignal): Promise<ChangeOutcome>;
  /** Accepted changes, newest last; at most the last hundred. */
  history(): readonly ChangeRecord[];
  /** Calls `listener` after each change until it is disposed of. */
  onChanged(listener: (cfg: Configuration) => void): Disposable;
}

/** Status of the fleet, as known to this instance. */
export interface FleetStatus {
  instances(now: number): readonly InstanceStatus[];
  quarantines(now: number): readonly QuarantineStatus[];
  refusals(): readonly RefusalCount[];
}
