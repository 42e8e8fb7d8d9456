/** The report of a demo run, as text and as JSON. */
import {
  type History,
  Guarantee,
  type RankSummary,
  type ServerRecord,
  summarize,
  formatTable,
  type Violation,
} from '@ragworthall/bench';
import type {Rank} from '@ragworthall/contracts';

/** Time that a backend server spends on one probe, in milliseconds. */
const PROBE_COST_MS = 6;
/** Maximum number of violations in the text report. */
const MAX_VIOLATIONS_SHOWN = 10;

/** Number of probes and their cost compared with the probe budget. */
export interface ProbeLoad {
  readonly probes: number;
  /** Fraction of the most probed server's time spent on probes. */
  readonly highestShare: number;
  /** Fraction that the budget allows. */
  readonly budgetShare: number;
}

/** Results of a demo run. */
export interface DemoReport {
  readonly ranks: readonly (RankSummary & {
    /** Non-idempotent requests that ran more than once. */
    readonly ranTwice: number;
    /** Requests that ran although the caller was told "not run". */
    readonly toldNotRunButRan: number;
  })[];
  readonly probes: ProbeLoad;
  readonly violations: readonly Violation[];
}

/** Builds the report of a run whose servers were probed for `seconds`. */
export function buildReport(
  history: History,
  violations: readonly Violation[],
  seconds: number,
): DemoReport {
  const count = (guarantee: Guarantee, rank: Rank) => {
    const ids = new Set(
      history.observations.filter(o => o.work.rank === rank).map(o => o.id),
    );
    return violations.filter(
      v => v.promise === guarantee && ids.has(v.detail.split(': ', 1)[0]!),
    ).length;
  };
  const ranks = summarize(history.observations).map(summary => ({
    ...summary,
    ranTwice: count(Guarantee.AtMostOnce, summary.rank),
    toldNotRunButRan: count(Guarantee.NotRunIsTrue, summary.rank),
  }));
  return {ranks, probes: probeLoadOf(history.servers, seconds), violations};
}

/** Formats the report as text. */
export function formatReport(report: DemoReport): string {
  return [
    formatRanks(report),
    formatProbeLoad(report.probes),
    formatViolations(report),
  ].join('\n\n');
}

function formatRanks({ranks}: DemoReport): string {
  const header = [
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
    'ran despite "not run"',
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
  const reasons = ranks.map(r => `rank ${r.rank}: ${formatReasons(r.reasons)}`);
  const table = formatTable([header, ...rows.map(row => row.map(String))]);
  return `${table}\n\nrefusals and missing answers by reason\n${reasons.join('\n')}`;
}

function formatReasons(reasons: RankSummary['reasons']): string {
  const parts = Object.entries(reasons).map(([reason, n]) => `${reason} ${n}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}

function formatProbeLoad({
  probes,
  highestShare,
  budgetShare,
}: ProbeLoad): string {
  const percent = (share: number) => `${(share * 100).toFixed(2)}%`;
  return `${probes} probes; the most probed server spent ${percent(highestShare)} of its time on them, the budget is ${percent(budgetShare)}`;
}

function formatViolations({violations}: DemoReport): string {
  if (violations.length === 0) return 'no guarantee was violated';
  const shown = violations
    .slice(0, MAX_VIOLATIONS_SHOWN)
    .map(v => `${v.promise}: ${v.detail}`);
  return `VIOLATED GUARANTEES: ${violations.length}\n${shown.join('\n')}`;
}

function probeLoadOf(
  servers: readonly ServerRecord[],
  seconds: number,
): ProbeLoad {
  const counts = servers.map(s => s.ledger.probes.length);
  const minIntervalMs = Math.min(...servers.map(s => s.probeIntervalMs));
  return {
    probes: counts.reduce((sum, n) => sum + n, 0),
    highestShare: (Math.max(...counts) * PROBE_COST_MS) / (seconds * 1_000),
    budgetShare: PROBE_COST_MS / minIntervalMs,
  };
}
