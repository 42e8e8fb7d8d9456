/** Figures by rank from what callers saw. */
import {RANKS, type Rank} from '@ragworthall/contracts';
import * as hdr from 'hdr-histogram-js';
import {
  isWithinTarget,
  latencyOf,
  type Observation,
} from '../caller/observation.js';

/** Microseconds in a millisecond: histograms hold whole microseconds. */
const US = 1_000;

/** What became of the requests of one rank. */
export interface RankSummary {
  readonly rank: Rank;
  readonly sent: number;
  readonly answered: number;
  readonly withinTarget: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly noAnswer: number;
  readonly wrongAnswer: number;
  readonly errors: number;
  /** Latencies of answered requests, milliseconds. */
  readonly p50: number;
  readonly p99: number;
  /** Refusals and missing answers by reason. */
  readonly reasons: Readonly<Record<string, number>>;
}

/** Returns percentiles of latencies, milliseconds. */
export function percentilesOf(
  latencies: readonly number[],
  ...percents: readonly number[]
): number[] {
  const histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
  latencies.forEach(ms => histogram.recordValue(Math.max(1, ms * US)));
  return percents.map(p => histogram.getValueAtPercentile(p) / US);
}

/** Returns the summary of each rank that has requests. */
export function summarize(seen: readonly Observation[]): RankSummary[] {
  return RANKS.map(rank => summaryOf(rank, seen)).filter(s => s.sent > 0);
}

function summaryOf(rank: Rank, all: readonly Observation[]): RankSummary {
  const seen = all.filter(o => o.work.rank === rank);
  const answered = seen.filter(o => o.ending.kind === 'answered');
  const errors = answered.filter(
    o => o.ending.kind === 'answered' && o.ending.status >= 500,
  );
  const [p50, p99] = percentilesOf(answered.map(latencyOf), 50, 99);
  const refused = (outcome: string) =>
    seen.filter(
      o => o.ending.kind === 'refused' && o.ending.outcome === outcome,
    ).length;
  const count = (kind: string) =>
    seen.filter(o => o.ending.kind === kind).length;
  return {
    rank,
    sent: seen.length,
    answered: answered.length,
    withinTarget: seen.filter(isWithinTarget).length,
    notRun: refused('not-run'),
    unknown: refused('unknown'),
    noAnswer: count('no_answer'),
    wrongAnswer: count('wrong_answer'),
    errors: errors.length,
    p50: p50!,
    p99: p99!,
    reasons: reasonsOf(seen),
  };
}

function reasonsOf(seen: readonly Observation[]): Record<string, number> {
  const counts: Record<string, number> = {};
  seen.forEach(({ending}) => {
    const reason =
      ending.kind === 'refused'
        ? ending.reason
        : ending.kind === 'answered'
          ? undefined
          : ending.detail;
    if (reason) counts[reason] = (counts[reason] ?? 0) + 1;
  });
  return counts;
}
