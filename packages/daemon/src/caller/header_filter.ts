/** Selects the headers forwarded between callers and backend servers. */
import {isValidField} from './header_syntax.js';

/** Headers that are meant for a single connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Request headers that the client of the next hop sets itself. */
const SET_BY_NEXT_HOP = new Set(['host', 'content-length', 'expect']);

/**
 * Headers that only instances and backend servers exchange, or that instances
 * add to answers. Neither a caller nor a backend server can pass them through.
 */
const INTERNAL_HEADERS = new Set([
  'x-call-context',
  'x-load-in-flight',
  'x-outcome',
  'x-refusal-reason',
  'x-server-state',
  'x-shed',
]);
const INTERNAL_PREFIX = 'x-request-';

/** Status codes whose answers have neither a body nor a Content-Length. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns a backend server's answer headers without the hop-by-hop ones, as
 * alternating names and values. They still include the server's load headers.
 */
export function endToEndHeaders(
  headers: Record<string, string | string[] | undefined>,
): string[] {
  const flat = Object.entries(headers).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value ?? '']).flatMap(v => [name, v]),
  );
  return removeHopByHopHeaders(flat, () => true);
}

/** Returns the headers of a caller that are forwarded to a backend server. */
export function forwardedRequestHeaders(raw: readonly string[]): string[] {
  return removeHopByHopHeaders(
    raw,
    name => !SET_BY_NEXT_HOP.has(name) && !isInternal(name),
  );
}

/**
 * Returns the headers of a backend server that are forwarded to a caller.
 * Content-Length is left out because it is set when the answer is written; only
 * answers to `HEAD` keep the server's, unless their status is 204 or 304.
 */
export function forwardedAnswerHeaders(
  raw: readonly string[],
  method: string,
  status: number,
): string[] {
  const keepsContentLength =
    method === 'HEAD' && !STATUSES_WITHOUT_BODY.has(status);
  return removeHopByHopHeaders(
    raw,
    (name, value) =>
      !isInternal(name) &&
      (keepsContentLength || name !== 'content-length') &&
      isValidField(name, value),
  );
}

/** Whether an answer may have a body and needs a Content-Length for it. */
export function allowsBody(method: string, status: number): boolean {
  return method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(status);
}

function isInternal(name: string): boolean {
  return INTERNAL_HEADERS.has(name) || name.startsWith(INTERNAL_PREFIX);
}

/** Returns the end-to-end headers that `keep` accepts. */
export function removeHopByHopHeaders(
  raw: readonly string[],
  keep: (name: string, value: string) => boolean,
): string[] {
  const options = connectionOptions(raw);
  const kept: string[] = [];
  // A single pass over alternating names and values: this runs twice per call.
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    const value = raw[i + 1]!;
    if (HOP_BY_HOP.has(name) || options?.has(name)) continue;
    if (keep(name, value)) kept.push(name, value);
  }
  return kept;
}

/**
 * Returns the headers named by `Connection`, which are hop-by-hop as well;
 * undefined for the common values `keep-alive` and `close`.
 */
function connectionOptions(
  raw: readonly string[],
): ReadonlySet<string> | undefined {
  const values = raw.filter(
    (_, i) => i % 2 === 1 && raw[i - 1]!.toLowerCase() === 'connection',
  );
  if (values.every(v => v === 'keep-alive' || v === 'close')) return undefined;
  return new Set(
    values
      .join(',')
      .split(',')
      .map(name => name.trim().toLowerCase()),
  );
}
