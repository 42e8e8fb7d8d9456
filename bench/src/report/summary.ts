/** Summarizes observations by rank. */
import {RANKS, type Rank} from '@ragworthall/contracts';
import * as hdr from 'hdr-histogram-js';
import {
  isWithinTarget,
  latencyOf,
  type Observation,
} from '../caller/observation.js';

/** Histograms hold whole microseconds. */
const US_PER_MS = 1_000;

/** Summary of the requests of one rank. */
export interface RankSummary {
  readonly rank: Rank;
  readonly sent: number;
  readonly answered: number;
  readonly withinTarget: number;
  /** Refusals that say that the request did not run. */
  readonly notRun: number;
  /** Refusals that say that the request may have run. */
  readonly unknown: number;
  readonly noAnswer: number;
  readonly wrongAnswer: number;
  /** Answers with a status of 500 or more. */
  readonly errors: number;
  /** Latencies of answered requests, milliseconds. */
  readonly p50: number;
  readonly p99: number;
  /** Numbers of refusals and of missing or wrong answers, by reason. */
  readonly reasons: Readonly<Record<string, number>>;
}

/** Returns percentiles of latencies that are given in milliseconds. */
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
  latencies.forEach(ms => histogram.recordValue(Math.max(1, ms * US_PER_MS)));
  return percents.map(p => histogram.getValueAtPercentile(p) / US_PER_MS);
}

/** Returns a summary of each rank that has requests. */
export function summarize(observations: readonly Observation[]): RankSummary[] {
  return RANKS.map(rank => summaryOf(rank, observations)).filter(
    s => s.sent > 0,
  );
}

function summaryOf(rank: Rank, all: readonly Observation[]): RankSummary {
  const observations = all.filter(o => o.work.rank === rank);
  const answered = observations.filter(o => o.ending.kind === 'answered');
  const errors = answered.filter(
    o => o.ending.kind === 'answered' && o.ending.status >= 500,
  );
  const [p50, p99] = percentilesOf(answered.map(latencyOf), 50, 99);
  const refused = (outcome: string) =>
    observations.filter(
      o => o.ending.kind === 'refused' && o.ending.outcome === outcome,
    ).length;
  const count = (kind: string) =>
    observations.filter(o => o.ending.kind === kind).length;
  return {
    rank,
    sent: observations.length,
    answered: answered.length,
    withinTarget: observations.filter(isWithinTarget).length,
    notRun: refused('not-run'),
    unknown: refused('unknown'),
    noAnswer: count('no_answer'),
    wrongAnswer: count('wrong_answer'),
    errors: errors.length,
    p50: p50!,
    p99: p99!,
    reasons: reasonsOf(observations),
  };
}

function reasonsOf(
  observations: readonly Observation[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  observations.forEach(({ending}) => {
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
