/** Formats results of scenarios as text. */
import {isMet, type ScenarioResult} from '../scenario/scenario.js';

/** Number of decimal places. */
const DIGITS = 3;

/** Formats rows as a table with aligned columns. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map(row => row[column]!.length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, i) => cell.padEnd(widths[i]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats the result of a scenario. */
export function formatResult(result: ScenarioResult): string {
  const {scenario, options, ranks, violations} = result;
  const heading = `## ${scenario} (policy ${options.policy}, seed ${options.seed}, ${options.seconds} s)`;
  const figureRows = [
    ['figure', 'value', 'unit', 'target', 'met'],
    ...result.figures.map(f => [
      f.name,
      f.value.toFixed(DIGITS),
      f.unit,
      targetText(f.target),
      f.target ? (isMet(f) ? 'yes' : 'NO') : '',
    ]),
  ];
  const paragraphs = [heading, formatTable(figureRows)];
  if (ranks.length > 0) paragraphs.push(ranksText(ranks));
  if (violations.length > 0) {
    const details = violations
      .slice(0, 10)
      .map(v => `${v.promise}: ${v.detail}`);
    paragraphs.push(`BREACHES: ${violations.length}\n${details.join('\n')}`);
  } else {
    paragraphs.push('no breaches');
  }
  return paragraphs.join('\n\n');
}

function ranksText(ranks: ScenarioResult['ranks']): string {
  return formatTable([
    [
      'rank',
      'sent',
      'answered',
      'in target',
      'not run',
      'unknown',
      'no answer',
      'errors',
      'p50 ms',
      'p99 ms',
      'reasons',
    ],
    ...ranks.map(r => [
      String(r.rank),
      String(r.sent),
      String(r.answered),
      String(r.withinTarget),
      String(r.notRun),
      String(r.unknown),
      String(r.noAnswer),
      String(r.errors),
      r.p50.toFixed(1),
      r.p99.toFixed(1),
      Object.entries(r.reasons)
        .map(([k, n]) => `${k} ${n}`)
        .join(', '),
    ]),
  ]);
}

function targetText(
  target: ScenarioResult['figures'][number]['target'],
): string {
  if (!target) return '';
  return 'atMost' in target
    ? `<= ${target.atMost}`
    : `>= ${target.atLeast.toFixed(DIGITS)}`;
}
