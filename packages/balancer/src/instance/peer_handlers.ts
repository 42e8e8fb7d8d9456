/** Requests and reports between instances about calls and backend servers. */
import type {ServiceId} from '@ragworthall/contracts';
import type {Call, CallResult, LoadHint} from '../link/call.js';
import type {ForwardRole} from './fleet.js';

/** Whether a backend server says that it is leaving, relayed by an instance. */
export type LeavingStatusReport =
  /** The server said `ageMs` ago that it is not leaving. */
  | {
      readonly kind: 'fresh';
      readonly serviceId: ServiceId;
      readonly backendServerId: string;
      readonly ageMs: number;
    }
  /** The server is leaving. */
  | {
      readonly kind: 'leaving';
      readonly serviceId: ServiceId;
      readonly backendServerId: string;
    };

/** Number of backend servers that a request content has crashed. */
export interface CrashCount {
  readonly serviceId: ServiceId;
  /** Hash of the request's content. */
  readonly fingerprint: string;
  readonly crashes: number;
  /** Age of the newest crash, milliseconds. */
  readonly ageMs: number;
}

/** Asks an instance to probe a backend server over its own network path. */
export interface ProbeRequest {
  readonly serviceId: ServiceId;
  readonly backendServerId: string;
}

/** Result of a probe by another instance. */
export type ProbeReply =
  | {readonly kind: 'reached'; readonly load: LoadHint}
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** The instance did not probe: its budget or its lease does not allow it. */
  | {readonly kind: 'declined'};

/** Handles requests and reports from other instances. */
export interface PeerHandlers {
  /** Runs a call that another instance forwarded. Never rejects. */
  runForwarded(
    call: Call,
    role: ForwardRole,
    from: string,
    signal: AbortSignal,
  ): Promise<CallResult>;
  /** Probes a backend server. Never rejects. */
  probe(req: ProbeRequest, signal: AbortSignal): Promise<ProbeReply>;
  /** Receives the state of backend servers as seen by another instance. */
  recordLeavingStatus(
    reports: readonly LeavingStatusReport[],
    from: string,
  ): void;
  /** Receives the crash counts of another instance. */
  recordCrashCounts(counts: readonly CrashCount[], from: string): void;
}
