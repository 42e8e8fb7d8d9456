/** Trace of one request: its log lines and the relevant state changes. */
import type {LogLine} from './log_line.js';

/** State changes are included from this time before the first line. */
const STATE_LOOKBACK_MS = 5_000;
/** Kinds of lines that report the state of the instance, not of a server. */
const STATE_KINDS: ReadonlySet<string> = new Set([
  'configuration',
  'starting',
  'stopping',
  'store_lost',
  'store_regained',
]);

/** One event of a trace. */
export interface TraceStep {
  /** Time since the request's first line, in milliseconds. */
  readonly sinceMs: number;
  readonly instance: string;
  readonly kind: string;
  /** Whether the line belongs to the request itself. */
  readonly isOwn: boolean;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Result of searching the logs for a request. */
export type RequestTrace =
  | {
      readonly kind: 'found';
      readonly steps: readonly TraceStep[];
      readonly omitted: number;
    }
  /** No line has the id of the request. */
  | {
      readonly kind: 'not_found';
      readonly lines: number;
      readonly omitted: number;
    };

/** Returns the trace of a request in chronological order. */
export function traceRequest(
  id: string,
  lines: readonly LogLine[],
): RequestTrace {
  const requestLines = sortedByTime(lines.filter(line => line.request === id));
  const first = requestLines[0];
  if (!first) {
    return {
      kind: 'not_found',
      lines: lines.length,
      omitted: countOmitted(lines),
    };
  }
  const start = first.at - STATE_LOOKBACK_MS;
  const end = requestLines.at(-1)!.at;
  const instances = new Set(requestLines.map(line => line.instance));
  const linesInPeriod = lines.filter(
    ({at, instance}) => at >= start && at <= end && instances.has(instance),
  );
  const servers = new Set(
    requestLines.map(serverOf).filter(name => name !== undefined),
  );
  const stateChanges = linesInPeriod.filter(line =>
    isStateChange(line, servers),
  );
  const steps = sortedByTime([
    ...stateChanges,
    ...configurationBefore(first, lines),
    ...requestLines,
  ]);
  return {
    kind: 'found',
    steps: [...new Set(steps)].map(({at, instance, kind, request, fields}) => ({
      sinceMs: at - first.at,
      instance,
      kind,
      isOwn: request === id,
      fields,
    })),
    omitted: countOmitted(linesInPeriod),
  };
}

/** Whether a line reports the state of one of `servers` or of the instance. */
function isStateChange(line: LogLine, servers: ReadonlySet<string>): boolean {
  if (line.request !== undefined) return false;
  const server = serverOf(line);
  if (server !== undefined) return servers.has(server);
  return STATE_KINDS.has(line.kind);
}

/** Returns the last configuration line of the instance before the request. */
function configurationBefore(
  {at, instance}: LogLine,
  lines: readonly LogLine[],
): readonly LogLine[] {
  const earlier = lines.filter(
    line =>
      line.kind === 'configuration' &&
      line.instance === instance &&
      line.at <= at,
  );
  return sortedByTime(earlier).slice(-1);
}

function serverOf({fields}: LogLine): string | undefined {
  return typeof fields['server'] === 'string' ? fields['server'] : undefined;
}

function countOmitted(lines: readonly LogLine[]): number {
  return lines.reduce((sum, line) => sum + line.omittedBefore, 0);
}

function sortedByTime(lines: readonly LogLine[]): LogLine[] {
  // The sort is stable: lines of the same millisecond keep their log order.
  return [...lines].sort((a, b) => a.at - b.at);
}
