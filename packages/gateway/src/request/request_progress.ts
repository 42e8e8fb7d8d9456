/** What has become of one request so far. */
import {ENDS_TO_REFUSE, type Route} from '@ragworthall/balancer';
import type {ServerAnswer} from '../backend_server/send_result.js';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
} from './caller_request.js';

/** Maximum sends that fail before their first byte; they do not count as attempts. */
const MAX_UNSENT = 3;

/** The attempts of one request on servers and on other instances. */
export class RequestProgress {
  /** Time at which its answer is no longer needed, milliseconds. */
  readonly deadline: number;
  /** Number of servers that it may be sent to. */
  readonly maxAttempts: number;
  readonly triedServers = new Set<string>();
  /** Sends of which at least a byte may have left. */
  sends = 0;
  /** Sends that failed before their first byte. */
  unsent = 0;
  /** Sends whose servers ended; they do not count as attempts. */
  serverEnds = 0;
  /** Whether a server may have run the request. */
  mayHaveRun = false;
  /** The latest server error; passed on if no attempt gets a better answer. */
  serverError: ServerAnswer | undefined;

  constructor({arrivedAt, timeoutMs, relay}: CallerRequest, route: Route) {
    this.deadline = arrivedAt + Math.min(timeoutMs, route.timeoutMs);
    this.maxAttempts = Math.min(route.maxAttempts, relay?.attempts ?? Infinity);
  }

  get attemptsLeft(): number {
    return this.maxAttempts + this.serverEnds - this.sends;
  }

  get isExhausted(): boolean {
    return (
      this.attemptsLeft <= 0 ||
      this.unsent > MAX_UNSENT ||
      this.serverEnds >= ENDS_TO_REFUSE
    );
  }

  /** Returns how the request ends if it is not sent any more. */
  endWithout(reason: Failure, retryAfterMs: number): RequestEnd {
    if (this.serverError) return {kind: 'answered', answer: this.serverError};
    if (this.mayHaveRun) return unknown(Failure.Lost);
    return {kind: 'refused', reason, retryAfterMs};
  }
}

/** The end of a request that may have run. */
export function unknown(reason: Failure): RequestEnd {
  return {kind: 'unknown', reason};
}
