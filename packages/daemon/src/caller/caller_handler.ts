/** Interface between the caller server and the instance, and its types. */
import type {CallContext, CallResult, Refused} from '@ragworthall/balancer';
import type {AddressAnswer, ServiceId} from '@ragworthall/contracts';

/** A request as received from a caller. */
export interface CallerRequest {
  readonly serviceId: ServiceId;
  readonly method: string;
  /** Path and query within the service. */
  readonly path: string;
  /** Headers for the backend server, as alternating names and values. */
  readonly headers: string[];
  readonly body: Uint8Array;
  readonly key: string | undefined;
  readonly timeoutMs: number | undefined;
  /** Verified context of the call that this one is nested in. */
  readonly callContext: CallContext | undefined;
}

/** The fields of a request that are known before its body is read. */
export type RequestHead = Pick<
  CallerRequest,
  'serviceId' | 'method' | 'path' | 'key'
>;

/** Result of a call, with the id that identifies it in the logs. */
export type CallerResult = CallResult & {readonly requestId?: string};

/** Handles the parsed requests of a caller server. */
export interface CallHandler {
  /** Runs a request and returns its result. Never rejects. */
  handle(req: CallerRequest, signal: AbortSignal): Promise<CallerResult>;
  /**
   * Refuses a request that the caller server rejects before it becomes a
   * call. The result may differ from `refused`: another copy of the request, sent
   * under the same key, may have run.
   */
  refuse(req: RequestHead, refused: Refused): Promise<CallResult>;
  /**
   * Ends the calls in flight with what is known of their outcomes; later ones are
   * refused.
   */
  end(): void;
  /** Returns the addresses to send calls to; undefined for an unknown service. */
  addresses(serviceId: ServiceId): AddressAnswer | undefined;
}

/** A member's agreed share of an instance. */
export interface MemberShare {
  readonly member: string;
  /** Fraction of the instance, greater than 0 and at most 1. */
  readonly share: number;
}

/** Limits on what callers can send and on the connections they can hold. */
export interface CallerLimits {
  /** Maximum number of open connections. */
  readonly connections: number;
  /** Maximum size of a request's headers, bytes. */
  readonly headerBytes: number;
  /** Maximum size of a request's body, bytes. */
  readonly bodyBytes: number;
  /** Maximum size of all request bodies in memory together, bytes. */
  readonly bodyMemoryBytes: number;
  /** Maximum time for receiving a request's headers, milliseconds. */
  readonly headersMs: number;
  /** Maximum time for receiving a request's body, milliseconds. */
  readonly bodyMs: number;
  /**
   * Maximum time in which a caller takes nothing of its answer, milliseconds; ten
   * times as long for the whole answer.
   */
  readonly answerMs: number;
  /** Time after which an idle connection is closed, milliseconds. */
  readonly keepAliveMs: number;
  /** Agreed shares; members without one divide the remainder among them. */
  readonly shares: readonly MemberShare[];
}
