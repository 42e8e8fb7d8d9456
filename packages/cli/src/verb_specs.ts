/** Verbs and options of the command line, used by the parser and the help. */
import type {Verb} from './command.js';

/** Specification of an option. */
export interface OptionSpec {
  readonly name: string;
  readonly short?: string;
  /** Placeholder of the value in the help; absent for a flag. */
  readonly value?: string;
  readonly help: string;
}

/** Specification of a verb. */
export interface VerbSpec {
  readonly summary: string;
  /** Names of the arguments; those in brackets are optional. */
  readonly args: readonly string[];
  readonly options: readonly OptionSpec[];
  readonly details: string;
}

/** Options common to all verbs. */
export const COMMON_OPTIONS: readonly OptionSpec[] = [
  {
    name: 'server',
    value: 'URL',
    help: "operator address of an instance [RAGWORTHALL_SERVER], such as 'http://10.0.0.1:7400'",
  },
  {
    name: 'token-file',
    value: 'FILE',
    help: "file with the member's token [RAGWORTHALL_TOKEN]",
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
    help: 'time-out of the whole command [60; none for watch]',
  },
  {name: 'help', short: 'h', help: 'show help'},
];

const CHANGE_OPTIONS: readonly OptionSpec[] = [
  {
    name: 'dry-run',
    help: 'validate the change and show the differences; write nothing',
  },
  {
    name: 'base-revision',
    value: 'N',
    help: 'revision that the change is based on [the current one]',
  },
  {
    name: 'operation-id',
    value: 'ID',
    help: 'repeat an earlier change to learn its outcome; needs --base-revision',
  },
];

/** All verbs, in the order in which the help lists them. */
export const VERB_SPECS: Readonly<Record<Verb, VerbSpec>> = {
  apply: {
    summary: 'create, change and remove services as defined in a file',
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
    details: `The file has the form {"services": [...], "remove": ["member/service"]}. All
changes take effect in one revision, or none does. Services that are not in the
file stay as they are; those in the file are replaced completely, so a backend
server without "draining": true in the file is not draining afterwards. The
command returns when the revision is in force everywhere.`,
  },
  get: {
    summary: 'show one service in full, or list all',
    args: ['[SERVICE]'],
    options: [],
    details: `SERVICE is written as member/service. With --output json, the field
"service" can be copied into a file for apply.`,
  },
  list: {
    summary: 'list services',
    args: [],
    options: [
      {
        name: 'member',
        value: 'MEMBER',
        help: 'list only the services of this member',
      },
    ],
    details: 'Lists the services at the current revision.',
  },
  remove: {
    summary: 'remove a service',
    args: ['SERVICE'],
    options: CHANGE_OPTIONS,
    details: `SERVICE is written as member/service. The command returns when the removal
is in force everywhere.`,
  },
  drain: {
    summary: 'stop sending new requests to a backend server',
    args: ['SERVICE', 'SERVER'],
    options: CHANGE_OPTIONS,
    details: `SERVICE is written as member/service, SERVER is the id of one of its backend
servers. It finishes its current requests and gets no new ones. Set
"draining": true in the file for apply as well; otherwise the next apply puts
the backend server back into use.`,
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
    details: `Reports which instances do not have the revision yet. An instance that the
others cannot reach is waited for until it refuses all requests by itself.`,
  },
  watch: {
    summary: 'show continuously which revision each instance has',
    args: [],
    options: [],
    details: `Prints the instances immediately and after each change until interrupted. With
--output json, each update is one line.`,
  },
  status: {
    summary: 'show instances, quarantines and refusals',
    args: [],
    options: [],
    details:
      'Shows the state of the fleet as known to the instance that answers.',
  },
  history: {
    summary: 'show the latest configuration changes',
    args: [],
    options: [],
    details: 'Shows at most the last hundred accepted changes, newest last.',
  },
  explain: {
    summary: 'show the events of one request from the logs',
    args: ['[ID]', '[FILE...]'],
    options: [
      {
        name: 'summary',
        help: 'count the failed requests by route and cause; takes no ID',
      },
    ],
    details: `Reads log lines of any number of instances from the files, or from standard
input, and prints those of the request in chronological order, together with
the state changes that its instances logged for the servers it was sent to.
With --summary, counts the failed requests by what their callers were told and
why; successful requests are not counted, as only some of them are logged.
Connects to no instance; the options for server, token and timeout have no
effect. The exit code is 1 if no line has the id.`,
  },
};
