/** What an instance knows of the other instances of its cell. */
import type {AddressEntry, ServiceId} from '@ragworthall/contracts';
import type {Call, CallResult} from '../link/call.js';
import type {RequestKey} from '../request_key/request_key.js';

/** Who an instance is. */
export interface InstanceIdentity {
  readonly id: string;
  /** New for each start of the process. */
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Instances that configure, own and probe together. */
  readonly cell: string;
  /** Position among the cell's instances; a replacement takes it over. */
  readonly seat: number;
  /** Number of positions in the cell, fixed. */
  readonly seats: number;
  /** Start of the incarnation on the monotonic clock, milliseconds. */
  readonly startedAt: number;
}

/** What a forwarded call asks of the other instance. */
export type ForwardRole =
  /** It keeps the call's key: join, replay or run. */
  | 'home'
  /** It schedules the service: run, whatever the key. */
  | 'owner';

/** What became of a call that was passed to another instance. */
export type ForwardOutcome =
  | {readonly kind: 'result'; readonly result: CallResult}
  /** The other instance did not get it. */
  | {readonly kind: 'not_sent'; readonly detail: string}
  /** The link was lost before the result came; it may have run. */
  | {readonly kind: 'lost'; readonly detail: string};

/** The link to another instance. */
export interface PeerLink {
  readonly instance: string;
  readonly incarnation: string;
  /** Passes a call on and waits for its result. Never rejects. */
  forward(
    call: Call,
    role: ForwardRole,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ForwardOutcome>;
}

/** Where the key of a call is kept. */
export type KeyHome =
  | {readonly kind: 'self'}
  | {readonly kind: 'peer'; readonly link: PeerLink}
  /** The incarnation has ended or cannot be reached. */
  | {readonly kind: 'unreachable'};

/** Who schedules the backend servers of a service. */
export interface Ownership {
  /** Instances that own backend servers of it, preferred first. */
  readonly owners: readonly string[];
  /** Of its backend servers, those that this instance schedules. */
  isOwn(backendServerId: string): boolean;
}

/** The other instances of the cell, and this one's standing among them. */
export interface Fleet {
  /** Whether this instance may take new work: its lease holds. */
  mayServe(now: number): boolean;
  ownership(serviceId: ServiceId, now: number): Ownership;
  /** Addresses for callers of a service, in order. */
  addresses(serviceId: ServiceId, now: number): readonly AddressEntry[];
  homeOf(key: RequestKey): KeyHome;
  /** The live link to an instance, if there is one. */
  linkTo(instance: string): PeerLink | undefined;
  /** Calls `listener` when ownership may have changed. */
  onOwnershipChanged(listener: () => void): Disposable;
}
