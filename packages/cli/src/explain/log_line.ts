/** Parses lines of instances' logs. */

/** A parsed log line. */
export interface LogLine {
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly instance: string;
  readonly kind: string;
  /** Id of the request; undefined if the line belongs to no request. */
  readonly request: string | undefined;
  /** Number of lines that the instance omitted before this one. */
  readonly omittedBefore: number;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses a line; returns undefined if it is not from an instance's log. */
export function parseLogLine(text: string): LogLine | undefined {
  // Log collectors may prepend a time or a name to the JSON object.
  const json = parseObject(text.slice(Math.max(0, text.indexOf('{'))));
  if (json === undefined) return undefined;
  const {
    time,
    instance,
    kind,
    message,
    request,
    requestId,
    omittedBefore,
    level: unusedLevel,
    atMs: unusedAtMs,
    ...fields
  } = json;
  const at = Date.parse(String(time));
  if (Number.isNaN(at)) return undefined;
  const id = request ?? requestId;
  return {
    at,
    instance: String(instance),
    kind: String(kind ?? message),
    request: id === undefined ? undefined : String(id),
    omittedBefore: typeof omittedBefore === 'number' ? omittedBefore : 0,
    fields,
  };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === 'object' && value !== null;
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}
