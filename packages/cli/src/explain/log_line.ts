/** Lines of instances' logs, as an explanation reads them. */

/** One line. */
export interface LogLine {
  /** Wall clock, milliseconds of the epoch. */
  readonly at: number;
  readonly instance: string;
  readonly kind: string;
  /** Id of the request; undefined if the line is about something else. */
  readonly request: string | undefined;
  /** Lines that were left out before it. */
  readonly omittedBefore: number;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Reads a line; undefined if it is not one of an instance's log. */
export function parseLogLine(text: string): LogLine | undefined {
  // Collectors put a time or a name before the object.
  const json = objectOf(text.slice(Math.max(0, text.indexOf('{'))));
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

function objectOf(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === 'object' && value !== null;
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}
