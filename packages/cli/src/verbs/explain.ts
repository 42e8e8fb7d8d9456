/** The verb `explain`: shows the events of one request, or a summary, from logs. */
import {summarizeFailures} from '../explain/failure_summary.js';
import {type LogLine, parseLogLine} from '../explain/log_line.js';
import {type TraceStep, traceRequest} from '../explain/request_trace.js';
import {ExitCode} from '../exit_code.js';
import {type Output, tableText} from '../output.js';
import {readText} from '../read_text.js';

const STDIN = '-';

/** Reads the logs and prints the failed requests by cause. */
export function summarize(output: Output, files: readonly string[]): ExitCode {
  const lines = readLines(output, files);
  if (!lines) return ExitCode.Usage;
  const summary = summarizeFailures(lines);
  const rows = summary.failures.map(failure => ({...failure}));
  output.result(summary, () =>
    [tableText(rows), ...omittedText(summary.omitted)].join('\n'),
  );
  return ExitCode.Done;
}

/** Reads the logs and prints the trace of a request. */
export function explain(
  output: Output,
  id: string,
  files: readonly string[],
): ExitCode {
  const lines = readLines(output, files);
  if (!lines) return ExitCode.Usage;
  const trace = traceRequest(id, lines);
  switch (trace.kind) {
    case 'found': {
      const {steps, omitted} = trace;
      output.result({request: id, steps, omitted}, () =>
        [tableText(steps.map(rowOf)), ...omittedText(omitted)].join('\n'),
      );
      return ExitCode.Done;
    }
    case 'not_found': {
      const {lines: read, omitted} = trace;
      const omittedNote =
        omitted > 0 ? `; the instances omitted ${omitted} lines` : '';
      output.error(
        `none of ${read} log lines has the request ${id}${omittedNote}; pass the logs of all instances, or check the metrics of that time`,
        {kind: 'unknown_request', lines: read, omitted},
      );
      return ExitCode.Failed;
    }
    default:
      throw new Error(`unexpected trace: ${trace satisfies never}`);
  }
}

/** Reads all lines; undefined after an error that was written. */
function readLines(
  output: Output,
  files: readonly string[],
): readonly LogLine[] | undefined {
  const texts = (files.length > 0 ? files : [STDIN]).map(readText);
  const unreadable = texts.find(text => text.isErr());
  if (unreadable?.isErr()) {
    output.error(unreadable.error, {kind: 'unreadable_file'});
    return undefined;
  }
  return texts
    .flatMap(text => text.unwrapOr('').split('\n'))
    .flatMap(line => parseLogLine(line) ?? []);
}

function rowOf({sinceMs, instance, kind, isOwn, fields}: TraceStep) {
  const details = Object.entries(fields)
    .filter(([name]) => name !== 'message')
    .map(([name, value]) => `${name}=${valueText(value)}`);
  return {
    ms: sinceMs,
    instance,
    about: isOwn ? 'request' : 'state',
    what: kind,
    details: details.join(' '),
  };
}

function valueText(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function omittedText(omitted: number): readonly string[] {
  if (omitted === 0) return [];
  return [`the instances omitted ${omitted} lines in this period`];
}
