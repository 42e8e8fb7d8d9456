/** Verbs and options of the command line, for its parser and its help. */
import type {Verb} from './command.js';

/** One option. */
export interface OptionSpec {
  readonly name: string;
  readonly short?: string;
  /** Name of the value in the help; absent for a flag. */
  readonly value?: string;
  readonly help: string;
}

/** One verb. */
export interface VerbSpec {
  readonly summary: string;
  /** Names of the arguments; those in brackets may be left out. */
  readonly args: readonly string[];
  readonly options: readonly OptionSpec[];
  readonly details: string;
}

/** Options of every verb. */
export const COMMON_OPTIONS: readonly OptionSpec[] = [
  {
    name: 'server',
    value: 'URL',
    help: "operator address of an instance [RAGWORTHALL_SERVER], such as 'http://10.0.0.1:7400'",
  },
  {
    name: 'token-file',
    value: 'FILE',
    help: "file with the member's token [else RAGWORTHALL_TOKEN]",
  },
  {
    name: 'output',
    short: 'o',
    value: 'FORMAT',
    help: "'table' for people or 'json' for programs [table]",
  },
  {
    name: 'timeout',
    value: 'SECONDS',
    help: 'time for the whole command [60; for watch unlimited]',
  },
  {name: 'help', short: 'h', help: 'show help'},
];

const CHANGE_OPTIONS: readonly OptionSpec[] = [
  {
    name: 'dry-run',
    help: 'check the change and show the difference; write nothing',
  },
  {
    name: 'base-revision',
    value: 'N',
    help: 'revision that the change is written against [the current one]',
  },
  {
    name: 'operation-id',
    value: 'ID',
    help: 'asks again about an earlier change; give its base revision too',
  },
];

/** All verbs, in the order of the help. */
export const VERB_SPECS: Readonly<Record<Verb, VerbSpec>> = {
  apply: {
    summary: 'create, change and remove services as a file says',
    args: [],
    options: [
      {
        name: 'file',
        short: 'f',
        value: 'FILE',
        help: "JSON with comments; '-' reads standard input",
      },
      ...CHANGE_OPTIONS,
    ],
    details: `The file holds {"services": [...], "remove": ["member/service"]}. All of it
takes effect in one revision, or none. Services that it does not name stay as
they are; those that it names become exactly as it says, so a backend server
without "draining": true in the file is not draining afterwards. The command
returns when the revision is in force everywhere.`,
  },
  get: {
    summary: 'show one service whole, or list all',
    args: ['[SERVICE]'],
    options: [],
    details: `SERVICE is written as member/service. With --output json, the field
"service" can be put into a file for apply.`,
  },
  list: {
    summary: 'list services',
    args: [],
    options: [
      {name: 'member', value: 'MEMBER', help: 'only those of one member'},
    ],
    details: 'Shows the services at the current revision.',
  },
  remove: {
    summary: 'remove a service',
    args: ['SERVICE'],
    options: CHANGE_OPTIONS,
    details: `SERVICE is written as member/service. The command returns when the removal
is in force everywhere.`,
  },
  drain: {
    summary: 'take a backend server out of use gently',
    args: ['SERVICE', 'SERVER'],
    options: CHANGE_OPTIONS,
    details: `SERVICE is written as member/service, SERVER is the id of one of its backend
servers. It finishes the requests that it has and gets no new ones. Write
"draining": true into the file for apply as well, or the next apply puts the
backend server back into use.`,
  },
  rollout: {
    summary: 'wait until a revision is in force everywhere',
    args: [],
    options: [
      {
        name: 'revision',
        value: 'N',
        help: 'revision to wait for [the current one]',
      },
    ],
    details: `Tells which instances are still waited for. An instance that the others
cannot reach counts until it refuses all requests on its own.`,
  },
  watch: {
    summary: 'follow which instance has which revision in force',
    args: [],
    options: [],
    details: `Prints the instances at once and after each change, with --output json one
line each time, until it is interrupted.`,
  },
  status: {
    summary: 'show instances, quarantines and refusals',
    args: [],
    options: [],
    details: 'Shows the fleet as the answering instance sees it.',
  },
  history: {
    summary: 'show the latest changes of the configuration',
    args: [],
    options: [],
    details: 'Shows at most the last hundred accepted changes, newest last.',
  },
  explain: {
    summary: 'tell the story of one request from the logs',
    args: ['ID', '[FILE...]'],
    options: [],
    details: `Reads log lines of any number of instances from the files, or from standard
input, and prints those of the request in order of time, with what its
instances believed of the servers that it was sent to. Asks no instance; the
options for server, token and timeout have no effect. Exit code 1 if no line
has the id.`,
  },
};
