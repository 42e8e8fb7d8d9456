/** What a run showed, for people and as JSON. */
import {
  type History,
  Guarantee,
  type RankSummary,
  type ServerRecord,
  summarize,
  tableOf,
  type Violation,
} from '@ragworthall/bench';
import type {Rank} from '@ragworthall/contracts';

/** Time that one probe costs a backend server, milliseconds. */
const PROBE_COST_MS = 6;
/** Breaches that are shown. */
const MAX_SHOWN = 10;

/** Probes against their budget, of the server that had most. */
export interface ProbeLoad {
  readonly probes: number;
  /** Share of the most probed server's time that probes took. */
  readonly highestShare: number;
  /** Share that the budget allows. */
  readonly budgetShare: number;
}

/** What a run showed. */
export interface DemoReport {
  readonly ranks: readonly (RankSummary & {
    /** Requests that must not repeat and ran more than once. */
    readonly ranTwice: number;
    /** Requests whose callers were told "not run", and that ran. */
    readonly toldNotRunButRan: number;
  })[];
  readonly probes: ProbeLoad;
  readonly violations: readonly Violation[];
}

/** Returns the report of a run. */
export function reportOf(
  history: History,
  violations: readonly Violation[],
  seconds: number,
): DemoReport {
  const count = (promise: Guarantee, rank: Rank) => {
    const ids = new Set(
      history.observations.filter(o => o.work.rank === rank).map(o => o.id),
    );
    return violations.filter(
      v => v.promise === promise && ids.has(v.detail.split(': ', 1)[0]!),
    ).length;
  };
  const ranks = summarize(history.observations).map(summary => ({
    ...summary,
    ranTwice: count(Guarantee.AtMostOnce, summary.rank),
    toldNotRunButRan: count(Guarantee.NotRunIsTrue, summary.rank),
  }));
  return {ranks, probes: probeLoadOf(history.servers, seconds), violations};
}

/** Returns the report as text. */
export function textOf(report: DemoReport): string {
  return [
    ranksText(report),
    probesText(report.probes),
    breachesText(report),
  ].join('\n\n');
}

function ranksText({ranks}: DemoReport): string {
  const head = [
    'rank',
    'sent',
    'answered',
    'in target',
    'not run',
    'unknown',
    'no answer',
    'p50 ms',
    'p99 ms',
    'ran twice',
    'told not run but ran',
  ];
  const rows = ranks.map(r => [
    r.rank,
    r.sent,
    r.answered,
    r.withinTarget,
    r.notRun,
    r.unknown,
    r.noAnswer,
    r.p50.toFixed(1),
    r.p99.toFixed(1),
    r.ranTwice,
    r.toldNotRunButRan,
  ]);
  const reasons = ranks.map(r => `rank ${r.rank}: ${reasonsText(r.reasons)}`);
  const table = tableOf([head, ...rows.map(row => row.map(String))]);
  return `${table}\n\nrefusals and missing answers\n${reasons.join('\n')}`;
}

function reasonsText(reasons: RankSummary['reasons']): string {
  const parts = Object.entries(reasons).map(([reason, n]) => `${reason} ${n}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}

function probesText({probes, highestShare, budgetShare}: ProbeLoad): string {
  const percent = (share: number) => `${(share * 100).toFixed(2)}%`;
  return `${probes} probes; the most probed server spent ${percent(highestShare)} of its time on them, its budget is ${percent(budgetShare)}`;
}

function breachesText({violations}: DemoReport): string {
  if (violations.length === 0) return 'no promise was broken';
  const shown = violations
    .slice(0, MAX_SHOWN)
    .map(v => `${v.promise}: ${v.detail}`);
  return `BROKEN PROMISES: ${violations.length}\n${shown.join('\n')}`;
}

function probeLoadOf(
  servers: readonly ServerRecord[],
  seconds: number,
): ProbeLoad {
  const counts = servers.map(s => s.ledger.probes.length);
  const interval = Math.min(...servers.map(s => s.probeIntervalMs));
  return {
    probes: counts.reduce((sum, n) => sum + n, 0),
    highestShare: (Math.max(...counts) * PROBE_COST_MS) / (seconds * 1_000),
    budgetShare: PROBE_COST_MS / interval,
  };
}
