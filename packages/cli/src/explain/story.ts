/** The story of one request: its lines, and what was believed meanwhile. */
import type {LogLine} from './log_line.js';

/** Time before a request's first line from which beliefs are told, milliseconds. */
const BELIEFS_BEFORE_MS = 5_000;
/** Kinds of lines that tell the state of an instance for all requests. */
const STATE_KINDS: ReadonlySet<string> = new Set([
  'configuration',
  'starting',
  'stopping',
  'store_lost',
  'store_regained',
]);

/** One step. */
export interface Step {
  /** Time since the request's first line, milliseconds. */
  readonly sinceMs: number;
  readonly instance: string;
  readonly kind: string;
  /** Whether it is about the request itself. */
  readonly isOwn: boolean;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the logs tell of a request. */
export type Story =
  | {
      readonly kind: 'told';
      readonly steps: readonly Step[];
      readonly omitted: number;
    }
  /** No line has its id. */
  | {
      readonly kind: 'unknown';
      readonly lines: number;
      readonly omitted: number;
    };

/** Returns the story of a request, in order of time. */
export function storyOf(id: string, lines: readonly LogLine[]): Story {
  const own = inOrder(lines.filter(line => line.request === id));
  const first = own[0];
  if (!first) {
    return {kind: 'unknown', lines: lines.length, omitted: omittedIn(lines)};
  }
  const from = first.at - BELIEFS_BEFORE_MS;
  const until = own.at(-1)!.at;
  const instances = new Set(own.map(line => line.instance));
  const around = lines.filter(
    ({at, instance}) => at >= from && at <= until && instances.has(instance),
  );
  const servers = new Set(own.map(serverOf).filter(name => name !== undefined));
  const beliefs = around.filter(line => isBelief(line, servers));
  const steps = inOrder([
    ...beliefs,
    ...configurationBefore(first, lines),
    ...own,
  ]);
  return {
    kind: 'told',
    steps: [...new Set(steps)].map(({at, instance, kind, request, fields}) => ({
      sinceMs: at - first.at,
      instance,
      kind,
      isOwn: request === id,
      fields,
    })),
    omitted: omittedIn(around),
  };
}

/** Whether a line tells what was believed of the servers or the instance. */
function isBelief(line: LogLine, servers: ReadonlySet<string>): boolean {
  if (line.request !== undefined) return false;
  const server = serverOf(line);
  if (server !== undefined) return servers.has(server);
  return STATE_KINDS.has(line.kind);
}

/** The last configuration that the instance took in before the request. */
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
  return inOrder(earlier).slice(-1);
}

function serverOf({fields}: LogLine): string | undefined {
  return typeof fields['server'] === 'string' ? fields['server'] : undefined;
}

function omittedIn(lines: readonly LogLine[]): number {
  return lines.reduce((sum, line) => sum + line.omittedBefore, 0);
}

function inOrder(lines: readonly LogLine[]): LogLine[] {
  // Stable: lines of one millisecond keep the order of their log.
  return [...lines].sort((a, b) => a.at - b.at);
}
