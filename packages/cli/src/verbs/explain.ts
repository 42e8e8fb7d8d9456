/** Tells the story of one request from the instances' logs. */
import {parseLogLine} from '../explain/log_line.js';
import {type Step, storyOf} from '../explain/story.js';
import {ExitCode} from '../exit_code.js';
import {type Output, tableText} from '../output.js';
import {readText} from '../read_text.js';

const STDIN = '-';

/** Reads the logs and prints what they tell of a request. */
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
  const story = storyOf(id, lines);
  switch (story.kind) {
    case 'told': {
      const {steps, omitted} = story;
      output.result({request: id, steps, omitted}, () =>
        [tableText(steps.map(rowOf)), ...omittedText(omitted)].join('\n'),
      );
      return ExitCode.Done;
    }
    case 'unknown': {
      const {lines: read, omitted} = story;
      const left =
        omitted > 0 ? `; ${omitted} lines were left out of them` : '';
      output.error(
        `none of ${read} log lines has the request ${id}${left}; give the logs of all instances, or look at the metrics of its time`,
        {kind: 'unknown_request', lines: read, omitted},
      );
      return ExitCode.Failed;
    }
    default:
      throw new Error(`unexpected story: ${story satisfies never}`);
  }
}

function rowOf({sinceMs, instance, kind, isOwn, fields}: Step) {
  const details = Object.entries(fields)
    .filter(([name]) => name !== 'message')
    .map(([name, value]) => `${name}=${valueText(value)}`);
  return {
    ms: sinceMs,
    instance,
    about: isOwn ? 'request' : 'belief',
    what: kind,
    details: details.join(' '),
  };
}

function valueText(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function omittedText(omitted: number): readonly string[] {
  if (omitted === 0) return [];
  return [`${omitted} lines of that time were left out by the instances`];
}
