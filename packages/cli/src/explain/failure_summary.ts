/** Counts the failed requests in instances' logs by their cause. */
import type {LogLine} from './log_line.js';

/** Expected cost of a send from which its server was known to be slow. */
const SLOW_COST = 2;
/** First status code of the server error class, and that of a passed deadline. */
const SERVER_ERROR = 500;
const DEADLINE_STATUS = 504;

/** What a caller was told about a request that was not served. */
export const Told = {
  /** The request has not run. */
  NotRun: 'not run',
  /** The request may have run. */
  Unknown: 'unknown',
  /** The server's own error. */
  ServerError: 'server error',
  /** The caller had left. */
  Nothing: 'nothing',
} as const;

/** A value of {@link Told}. */
export type Told = (typeof Told)[keyof typeof Told];

/** Failed requests of one route with the same cause. */
export interface FailureCount {
  readonly requests: number;
  readonly route: string;
  readonly told: Told;
  readonly cause: string;
}

/** The failed requests in the logs. */
export interface FailureSummary {
  /** In descending order of requests. */
  readonly failures: readonly FailureCount[];
  /** Lines that the instances omitted; some may belong to failed requests. */
  readonly omitted: number;
}

type Failure = Omit<FailureCount, 'requests'>;

/** Counts the failed requests. */
export function summarizeFailures(lines: readonly LogLine[]): FailureSummary {
  const byRequest = new Map<string, LogLine[]>();
  lines.forEach(line => {
    if (line.request === undefined) return;
    const own = byRequest.get(line.request);
    if (own) own.push(line);
    else byRequest.set(line.request, [line]);
  });
  const counts = new Map<string, FailureCount>();
  [...byRequest.values()].flatMap(failuresOf).forEach(failure => {
    const key = JSON.stringify(failure);
    const requests = (counts.get(key)?.requests ?? 0) + 1;
    counts.set(key, {requests, ...failure});
  });
  return {
    failures: [...counts.values()].sort((a, b) => b.requests - a.requests),
    omitted: lines.reduce((sum, line) => sum + line.omittedBefore, 0),
  };
}

/** The failure of a request, from its lines; none if it was served. */
function failuresOf(lines: readonly LogLine[]): readonly Failure[] {
  const ended = lines.findLast(line => line.kind === 'ended');
  if (!ended) return [];
  const {end, reason, status, route} = ended.fields;
  const failure = (told: Told, cause: string): readonly Failure[] => [
    {route: String(route), told, cause},
  ];
  switch (end) {
    case 'answered':
      if (typeof status !== 'number' || status < SERVER_ERROR) return [];
      return failure(Told.ServerError, serverErrorCause(status, lines));
    case 'refused':
      return failure(Told.NotRun, refusalCause(String(reason), lines));
    case 'unknown':
      return failure(Told.Unknown, unknownCause(String(reason), lines));
    case 'abandoned':
      return failure(Told.Nothing, 'the caller left first');
    default:
      return [];
  }
}

function serverErrorCause(status: number, lines: readonly LogLine[]): string {
  if (status !== DEADLINE_STATUS) return `its server answered ${status}`;
  return wasSentToSlowServer(lines)
    ? 'its deadline passed at a server known to be slow'
    : 'its deadline passed at its server';
}

function refusalCause(reason: string, lines: readonly LogLine[]): string {
  const sends = lines.filter(line => line.kind === 'send_failed').length;
  const tried = sends > 0 ? `, after ${sends} failed sends` : '';
  return `${REFUSALS[reason] ?? reason}${tried}`;
}

const REFUSALS: Readonly<Record<string, string>> = {
  expired: 'too little time was left',
  no_room: 'no server had room in time',
  shed: 'servers rejected it',
  starting: 'the instance was starting',
};

function unknownCause(reason: string, lines: readonly LogLine[]): string {
  if (reason === 'late') {
    return wasSentToSlowServer(lines)
      ? 'no answer in time from a server known to be slow'
      : 'no answer in time';
  }
  const failed = lines.findLast(line => line.kind === 'send_failed');
  const detail = failed?.fields['detail'];
  return `its answer was lost: ${String(detail ?? reason)}`;
}

function wasSentToSlowServer(lines: readonly LogLine[]): boolean {
  const sent = lines.findLast(line => line.kind === 'sent');
  return Number(sent?.fields['cost'] ?? 0) >= SLOW_COST;
}
