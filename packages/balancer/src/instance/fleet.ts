/** Identity of an instance, and its relations to the others of its cell. */
import type {AddressEntry, ServiceId} from '@ragworthall/contracts';
import type {Call, CallResult} from '../link/call.js';
import type {RequestKey} from '../request_key/request_key.js';

/** Identity of an instance. */
export interface InstanceIdentity {
  readonly id: string;
  /** New for each start of the process. */
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Cell whose instances share configuration, ownership and probing. */
  readonly cell: string;
  /** Position in the cell, from 0; a replacement takes it over. */
  readonly seat: number;
  /** Fixed number of positions in the cell. */
  readonly seats: number;
  /** Start of the incarnation on the monotonic clock, milliseconds. */
  readonly startedAt: number;
}

/** Role in which an instance handles a forwarded call. */
export type ForwardRole =
  /** It keeps the call's key: it joins, replays or runs the call. */
  | 'home'
  /** It schedules the service: it runs the call without regard to the key. */
  | 'owner';

/** Outcome of forwarding a call to another instance. */
export type ForwardOutcome =
  | {readonly kind: 'result'; readonly result: CallResult}
  /** The other instance did not receive it. */
  | {readonly kind: 'not_sent'; readonly detail: string}
  /** The link was lost before the result arrived; the call may have run. */
  | {readonly kind: 'lost'; readonly detail: string};

/** The link to another instance. */
export interface PeerLink {
  readonly instance: string;
  readonly incarnation: string;
  /** Forwards a call and waits for its result. Never rejects. */
  forward(
    call: Call,
    role: ForwardRole,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ForwardOutcome>;
}

/** The instance that keeps the key of a call. */
export type KeyHome =
  | {readonly kind: 'self'}
  | {readonly kind: 'peer'; readonly link: PeerLink}
  /** The incarnation that kept it has ended or cannot be reached. */
  | {readonly kind: 'unreachable'};

/** Which instances schedule the backend servers of a service. */
export interface Ownership {
  /** Instances that own backend servers of the service, preferred first. */
  readonly owners: readonly string[];
  /** Whether this instance schedules the backend server. */
  isOwn(backendServerId: string): boolean;
}

/** The instances of the cell, including this one. */
export interface Fleet {
  /** Whether this instance may take new work: its lease is valid. */
  mayServe(now: number): boolean;
  ownership(serviceId: ServiceId, now: number): Ownership;
  /** Addresses for callers of a service, owners first. */
  addresses(serviceId: ServiceId, now: number): readonly AddressEntry[];
  /** Returns which instance keeps a key. */
  homeOf(key: RequestKey): KeyHome;
  /** The live link to an instance, if there is one. */
  linkTo(instance: string): PeerLink | undefined;
  /** Calls `listener` when ownership may have changed. */
  onOwnershipChanged(listener: () => void): Disposable;
}
