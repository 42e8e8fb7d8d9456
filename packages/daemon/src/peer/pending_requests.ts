/** Requests that one end of a link has sent and that await a reply. */
import type {LinkError} from './link_error.js';
import {linkErrorMessage} from './link_error.js';

/** Outcome of a request. */
export type RequestOutcome<T> =
  | {readonly kind: 'reply'; readonly reply: T}
  /** The request was not sent. */
  | {readonly kind: 'not_sent'; readonly detail: string}
  /** No reply: the link ended, or the request timed out or was cancelled. */
  | {readonly kind: 'lost'; readonly detail: string};

/** Pending requests of one kind, by number. */
export class PendingRequests<T> {
  private readonly resolvers = new Map<
    number,
    (outcome: RequestOutcome<T>) => void
  >();
  private lastNumber = 0;

  /** Number of requests without a reply. */
  get size(): number {
    return this.resolvers.size;
  }

  /**
   * Sends a request and waits for its reply. Never rejects.
   *
   * @param send Sends the request with its number; returns whether it was sent.
   * @param cancel Called with the number on timeout or when `signal` is aborted.
   */
  async send(
    send: (number: number) => boolean,
    cancel: (number: number) => void,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<RequestOutcome<T>> {
    if (signal.aborted) return {kind: 'not_sent', detail: 'cancelled'};
    this.lastNumber += 1;
    const number = this.lastNumber;
    if (!send(number)) {
      return {
        kind: 'not_sent',
        detail: 'the link is closed or its send queue is full',
      };
    }
    return new Promise(resolve => {
      const stop = (detail: string) => {
        cancel(number);
        this.settle(number, {kind: 'lost', detail});
      };
      const onAbort = () => stop('cancelled');
      const timer = setTimeout(() => stop('timed out'), timeoutMs);
      signal.addEventListener('abort', onAbort, {once: true});
      this.resolvers.set(number, outcome => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        resolve(outcome);
      });
    });
  }

  /** Settles a request with its reply; a late or repeated reply is ignored. */
  handleReply(number: number, reply: T): void {
    this.settle(number, {kind: 'reply', reply});
  }

  /** Settles all requests as lost because the link ended. */
  failAll(err: LinkError): void {
    const detail = linkErrorMessage(err);
    [...this.resolvers.keys()].forEach(number =>
      this.settle(number, {kind: 'lost', detail}),
    );
  }

  private settle(number: number, outcome: RequestOutcome<T>): void {
    const resolve = this.resolvers.get(number);
    this.resolvers.delete(number);
    resolve?.(outcome);
  }
}
