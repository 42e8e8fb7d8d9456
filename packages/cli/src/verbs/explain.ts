/** The verb `explain`: shows the events of one request from logs. */
import {parseLogLine} from '../explain/log_line.js';
import {type TraceStep, traceRequest} from '../explain/request_trace.js';
import {ExitCode} from '../exit_code.js';
import {type Output, tableText} from '../output.js';
import {readText} from '../read_text.js';

const STDIN = '-';

/** Reads the logs and prints the trace of a request. */
export function explain(
  output: Output,
  id: string,
  files: readonly string[],
): ExitCode {
  const texts = (files.length > 0 ? files : [STDIN]).map(readText);
  const unreadable = texts.find(text => text.isErr());
  if (unreadable?.isErr()) {
    output.error(unreadable.error, {kind: 'unreadable_file'});
    return ExitCode.Usage;
  }
  const lines = texts
    .flatMap(text => text.unwrapOr('').split('\n'))
    .flatMap(line => parseLogLine(line) ?? []);
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
