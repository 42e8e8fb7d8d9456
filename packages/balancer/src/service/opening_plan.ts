/**
 * Decides which requests wait for servers that have asked for less: servers with
 * a request limit, or that want nothing for a while. Answers a service whose
 * servers are all closed for the moment: the most urgent requests get the next
 * openings, and those that no opening serves in time are refused at once.
 */
import type {SharedServer} from '../backend_server/shared_server.js';

/** A request that waits for a server. */
export interface OpeningRequest {
  /** Latest time at which it can be sent and still be answered in time. */
  readonly latestSendAt: number;
  /** Ids of the servers that it was sent to before. */
  readonly tried: ReadonlySet<string>;
}

/**
 * Returns the requests that no server opens for in time.
 *
 * @param inOrder The requests, in the order in which they are sent.
 */
export function withoutOpening<R extends OpeningRequest>(
  inOrder: readonly R[],
  servers: readonly SharedServer[],
  now: number,
): ReadonlySet<R> {
  const openings = servers.map(server => ({
    id: server.entry.id,
    at: server.backpressure.nextSendAt(now),
    intervalMs: server.backpressure.sendIntervalMs,
  }));
  const unserved = inOrder.filter(({latestSendAt, tried}) => {
    const next = openings
      .filter(({id}) => !tried.has(id))
      .reduce<(typeof openings)[number] | undefined>(
        (first, o) => (first === undefined || o.at < first.at ? o : first),
        undefined,
      );
    if (next === undefined || next.at > latestSendAt) return true;
    next.at = Math.max(now, next.at) + next.intervalMs;
    return false;
  });
  return new Set(unserved);
}
