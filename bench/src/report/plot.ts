/** Plots latency by rank over time as SVG. */
import {RANKS, type Rank} from '@ragworthall/contracts';
import {latencyOf, type Observation} from '../caller/observation.js';
import {percentilesOf} from './summary.js';

/** Dimensions of the image and its margins, pixels. */
const WIDTH = 900;
const HEIGHT = 360;
const MARGIN = 50;
/** Period that one point of a line covers, milliseconds. */
const BUCKET_MS = 250;
/** Range of the logarithmic latency axis, as powers of ten of milliseconds. */
const MIN_POWER = 0;
const MAX_POWER = 4;

const COLOURS: Readonly<Record<Rank, string>> = {
  1: '#c0392b',
  2: '#2471a3',
  3: '#7f8c8d',
};

/** Returns an SVG of the 99th percentile latency of each rank over time. */
export function renderPlot(
  title: string,
  observations: readonly Observation[],
  startedAt: number,
): string {
  const endMs = Math.max(...observations.map(o => o.dueAt - startedAt), 1);
  const lines = RANKS.map(rank =>
    latencyLine(rank, observations, startedAt, endMs),
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    `<text x="${MARGIN}" y="20">${title}: p99 latency by rank, ms</text>`,
    ...axisPowers().map(gridLine),
    ...tickSeconds(endMs).map(s => tickLabel(s, endMs)),
    ...lines,
    ...RANKS.map(legendEntry),
    '</svg>',
  ].join('\n');
}

function axisPowers(): number[] {
  return Array.from(
    {length: MAX_POWER - MIN_POWER + 1},
    (_, i) => MIN_POWER + i,
  );
}

function tickSeconds(endMs: number): number[] {
  const step = Math.max(1, Math.ceil(endMs / 10_000));
  const count = Math.floor(endMs / 1000 / step);
  return Array.from({length: count + 1}, (_, i) => i * step);
}

function gridLine(power: number): string {
  const y = yOf(10 ** power);
  return `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${y}" y2="${y}" stroke="#ddd"/><text x="8" y="${y + 4}">${10 ** power}</text>`;
}

function tickLabel(second: number, endMs: number): string {
  return `<text x="${xOf(second * 1000, endMs)}" y="${HEIGHT - 20}">${second} s</text>`;
}

function legendEntry(rank: Rank): string {
  const x = WIDTH - MARGIN - 240 + rank * 60;
  return `<text x="${x}" y="20" fill="${COLOURS[rank]}">rank ${rank}</text>`;
}

function latencyLine(
  rank: Rank,
  observations: readonly Observation[],
  startedAt: number,
  endMs: number,
): string {
  const buckets = new Map<number, number[]>();
  observations
    .filter(o => o.work.rank === rank && o.ending.kind === 'answered')
    .forEach(o => {
      const bucket = Math.floor((o.dueAt - startedAt) / BUCKET_MS);
      const times = buckets.get(bucket) ?? [];
      times.push(latencyOf(o));
      buckets.set(bucket, times);
    });
  const points = [...buckets]
    .sort(([a], [b]) => a - b)
    .map(([bucket, times]) => {
      const [p99] = percentilesOf(times, 99);
      return `${xOf(bucket * BUCKET_MS, endMs)},${yOf(p99!)}`;
    });
  return `<polyline fill="none" stroke="${COLOURS[rank]}" points="${points.join(' ')}"/>`;
}

function xOf(ms: number, endMs: number): number {
  return Math.round(MARGIN + (ms / endMs) * (WIDTH - 2 * MARGIN));
}

function yOf(ms: number): number {
  const power = Math.log10(Math.max(1, ms));
  const share = (power - MIN_POWER) / (MAX_POWER - MIN_POWER);
  return Math.round(HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN));
}
