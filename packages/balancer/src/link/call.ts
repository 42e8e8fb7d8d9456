/**
 * Calls from callers to backend servers and their results, independent of the
 * encoding. They are sent over the links of callers and the links between
 * instances.
 */
import type {
  Contract,
  Outcome,
  Rank,
  ServerState,
  ServiceId,
} from '@ragworthall/contracts';

/** Header names and values alternating, as received. */
export type RawHeaders = readonly string[];

/** A request from a caller, with its contract. */
export interface Call {
  /** Unique request ID, used in logs and sent to backend servers. */
  readonly id: string;
  readonly serviceId: ServiceId;
  readonly contract: Contract;
  /** Rank used for scheduling: that of the contract or of the parent call. */
  readonly rank: Rank;
  readonly method: string;
  /** Path and query, relative to the service. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** Request key; present if and only if the request is not idempotent. */
  readonly key?: string;
  /** Deadline on the monotonic clock, milliseconds. */
  readonly deadline: number;
  /** Retries that the parent calls still allow. */
  readonly retriesLeft: number;
  /** Nesting depth of the call; 0 at the top level. */
  readonly depth: number;
  /** Hash of service, method, path and body. */
  readonly fingerprint: string;
}

/** Load and state that a backend server reported with an answer. */
export interface LoadHint {
  readonly inFlight?: number;
  readonly state?: ServerState;
}

/** A complete answer from a backend server. */
export interface Answer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
}

/** Result of one attempt to send a call to a backend server. */
export type Attempt =
  /** The complete answer was received. */
  | {
      readonly kind: 'answered';
      readonly answer: Answer;
      readonly load: LoadHint;
    }
  /** The server reported that it did not run the request. */
  | {readonly kind: 'shed'; readonly load: LoadHint}
  /** No byte of the request was sent. */
  | {
      readonly kind: 'not_sent';
      readonly detail: string;
      /** Present if the attempt was abandoned and the server did not fail. */
      readonly abandoned?: AbandonCause;
    }
  /** The connection ended after the first byte was sent; the request may have run. */
  | {
      readonly kind: 'lost';
      readonly detail: string;
      /** Whether this instance closed the connection because it was silent. */
      readonly silent?: boolean;
    }
  /** The answer exceeds the buffer limit of this instance; the request ran. */
  | {readonly kind: 'too_large'}
  /** Deadline exceeded or caller disconnected; the request may have run. */
  | {readonly kind: 'abandoned'; readonly cause: AbandonCause};

/** Why an attempt was abandoned. */
export type AbandonCause = 'deadline' | 'caller_left';

/** Why a call was refused. */
export const RefusalReason = {
  UnknownService: 'unknown_service',
  UnknownContract: 'unknown_contract',
  RankClaimed: 'rank_claimed',
  KeyMissing: 'key_missing',
  KeyMalformed: 'key_malformed',
  KeyExpired: 'key_expired',
  KeyReused: 'key_reused',
  KeyHomeLost: 'key_home_lost',
  LedgerFull: 'ledger_full',
  QueueFull: 'queue_full',
  DeadlineUnreachable: 'deadline_unreachable',
  DeadlinePassed: 'deadline_passed',
  NoBackendServer: 'no_backend_server',
  MemberShareSpent: 'member_share_spent',
  ContentQuarantined: 'content_quarantined',
  NotInForce: 'configuration_not_in_force',
  Stopping: 'stopping',
  OwnerUnreachable: 'owner_unreachable',
  ConnectionLost: 'connection_lost',
  AnswerNotKept: 'answer_not_kept',
  BodyTooLarge: 'body_too_large',
  DepthExceeded: 'depth_exceeded',
  CallerLeft: 'caller_left',
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A call that is refused without an answer from a backend server. */
export interface Refused {
  readonly kind: 'refused';
  readonly outcome: typeof Outcome.NotRun | typeof Outcome.Unknown;
  readonly reason: RefusalReason;
  /** Delay before a retry can succeed, milliseconds; absent if none can. */
  readonly retryAfterMs?: number;
}

/** Result of a call, as returned to the caller. */
export type CallResult =
  | {
      readonly kind: 'answered';
      readonly answer: Answer;
      readonly replayed: boolean;
    }
  | Refused;

/** Result of querying the load endpoint of a backend server. */
export type ProbeResult =
  | {readonly kind: 'answered'; readonly load: LoadHint}
  | {readonly kind: 'failed'; readonly detail: string};

/** Sends calls and probes to backend servers. Its methods never reject. */
export interface BackendLink {
  /**
   * Sends one attempt of a call. A connection that receives no data for
   * `silenceMs` is suspect; it is closed if the server responds on another one.
   */
  send(
    address: string,
    call: Call,
    timeoutMs: number,
    signal: AbortSignal,
    silenceMs?: number,
  ): Promise<Attempt>;
  /** Queries the load endpoint once; costs the server several milliseconds. */
  probe(address: string, signal: AbortSignal): Promise<ProbeResult>;
  /** Opens up to `connections` connections, one after another. */
  warmUp?(address: string, connections: number): void;
}
