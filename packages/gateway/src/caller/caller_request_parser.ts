/** Reads what a caller asks for from a message that has arrived whole. */
import {removeHopByHopHeaders} from '@ragworthall/daemon';
import type {IncomingMessage} from 'node:http';
import {parseRelayTerms, RELAY_HEADER} from '../peer/relay_header.js';
import type {HeaderNames} from '../platform/wire_format.js';
import type {CallerRequest} from '../request/caller_request.js';

/** Timeout of a request that states none, milliseconds. */
const DEFAULT_TIMEOUT_MS = 30_000;
/** Request headers that the backend HTTP client sets itself. */
const SET_BY_NEXT_HOP: ReadonlySet<string> = new Set([
  'content-length',
  'expect',
]);

/**
 * Returns the request; undefined if it does not name one id and one host.
 *
 * @param callerGone Aborted when the caller has disconnected.
 */
export function callerRequestOf(
  req: IncomingMessage,
  names: HeaderNames,
  body: Uint8Array,
  arrivedAt: number,
  callerGone: AbortSignal,
): CallerRequest | undefined {
  const id = req.headers[names.requestId];
  const {host} = req.headers;
  if (typeof id !== 'string' || host === undefined) return undefined;
  const timeoutMs = Number(req.headers[names.timeLeft] ?? DEFAULT_TIMEOUT_MS);
  const replacedHeaders = new Set([
    names.timeLeft,
    names.expectedServer,
    RELAY_HEADER,
  ]);
  const relay = req.headers[RELAY_HEADER];
  return {
    id,
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    host,
    headers: removeHopByHopHeaders(
      req.rawHeaders,
      name => !SET_BY_NEXT_HOP.has(name) && !replacedHeaders.has(name),
    ),
    body,
    arrivedAt,
    timeoutMs: Number.isFinite(timeoutMs) ? timeoutMs : DEFAULT_TIMEOUT_MS,
    callerGone,
    relay: typeof relay === 'string' ? parseRelayTerms(relay) : undefined,
  };
}
