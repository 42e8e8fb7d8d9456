/** Help texts of the command-line client. */
import type {Verb} from './command.js';
import {
  COMMON_OPTIONS,
  VERB_SPECS,
  type OptionSpec,
  type VerbSpec,
} from './verb_specs.js';

/** Width of the left column, in characters. */
const LEFT_WIDTH = 26;

const EXIT_CODES = `Exit codes:
  0  done
  1  refused or failed; nothing was changed
  2  invalid command line or file; nothing was sent
  3  conflict with an earlier change; nothing was changed
  4  timed out: outcome not known, or not in force everywhere yet
  5  server or store unavailable; nothing was changed`;

/** Returns the help text of a verb, or of the program if it is undefined. */
export function helpText(verb: Verb | undefined): string {
  return verb === undefined ? programHelp() : verbHelp(verb, VERB_SPECS[verb]);
}

function programHelp(): string {
  const verbs = Object.entries(VERB_SPECS).map(([name, spec]) =>
    row([name, ...spec.args].join(' '), spec.summary),
  );
  return [
    'ragworthall: operate the services of a ragworthall load balancer',
    '',
    'Usage: ragworthall VERB [ARGUMENTS] [OPTIONS]',
    '',
    'Verbs:',
    ...verbs,
    row('help [VERB]', 'show help'),
    '',
    'Options of every verb:',
    ...COMMON_OPTIONS.map(optionRow),
    '',
    EXIT_CODES,
  ].join('\n');
}

function verbHelp(verb: Verb, spec: VerbSpec): string {
  return [
    `ragworthall ${verb}: ${spec.summary}`,
    '',
    `Usage: ragworthall ${[verb, ...spec.args].join(' ')} [OPTIONS]`,
    '',
    spec.details,
    '',
    'Options:',
    ...[...spec.options, ...COMMON_OPTIONS].map(optionRow),
    '',
    EXIT_CODES,
  ].join('\n');
}

function optionRow({name, short, value, help}: OptionSpec): string {
  const flag = short === undefined ? `--${name}` : `-${short}, --${name}`;
  return row(value === undefined ? flag : `${flag} ${value}`, help);
}

function row(left: string, right: string): string {
  return `  ${left.padEnd(LEFT_WIDTH)}  ${right}`;
}
