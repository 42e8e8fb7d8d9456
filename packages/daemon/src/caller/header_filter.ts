/** Headers that pass from one connection to the next. */

/** Headers that belong to one connection (RFC 9110, section 7.6.1). */
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

/** Request headers that the next hop sets by itself. */
const SET_BY_NEXT_HOP = new Set(['host', 'content-length', 'expect']);

/**
 * Headers between instances and backend servers, or from instances to callers.
 * Neither side may set them through us.
 */
const OWN = new Set([
  'x-call-context',
  'x-load-in-flight',
  'x-outcome',
  'x-refusal-reason',
  'x-server-state',
  'x-shed',
]);
const OWN_PREFIX = 'x-request-';

/** Characters that a header's value may have (RFC 9110, section 5.5). */
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Statuses whose answers have neither body nor length. */
const NO_LENGTH: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns names and values in turn of the headers of a backend server's answer
 * that are not of its connection; its load headers are among them.
 */
export function endToEndHeaders(
  headers: Record<string, string | string[] | undefined>,
): string[] {
  const flat = Object.entries(headers).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value ?? '']).flatMap(v => [name, v]),
  );
  return removeHopByHopHeaders(flat, () => true);
}

/** Returns what of a caller's headers goes on to a backend server. */
export function requestHeaders(raw: readonly string[]): string[] {
  return removeHopByHopHeaders(
    raw,
    name => !SET_BY_NEXT_HOP.has(name) && !isOwn(name),
  );
}

/**
 * Returns what of a backend server's headers goes on to a caller. The length is
 * set by the writer, but for `HEAD` and 304: there it is the server's.
 */
export function answerHeaders(
  raw: readonly string[],
  method: string,
  status: number,
): string[] {
  const keepsLength = method === 'HEAD' && !NO_LENGTH.has(status);
  return removeHopByHopHeaders(
    raw,
    (name, value) =>
      !isOwn(name) &&
      (keepsLength || name !== 'content-length') &&
      VALUE.test(value),
  );
}

/** Whether an answer of this status may have a body and a length. */
export function hasLength(method: string, status: number): boolean {
  return method !== 'HEAD' && !NO_LENGTH.has(status);
}

function isOwn(name: string): boolean {
  return OWN.has(name) || name.startsWith(OWN_PREFIX);
}

/** Keeps the pairs that are not of the connection and that `keep` accepts. */
export function removeHopByHopHeaders(
  raw: readonly string[],
  keep: (name: string, value: string) => boolean,
): string[] {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  // One pass over names and values in turn; this runs twice for each call.
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    const value = raw[i + 1]!;
    if (HOP_BY_HOP.has(name) || named?.has(name)) continue;
    if (keep(name, value)) kept.push(name, value);
  }
  return kept;
}

/** Returns the headers that `Connection` names; undefined for the usual ones. */
function namedByConnection(
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
