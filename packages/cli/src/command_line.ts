/** Parses the command line. */
import {readFileSync} from 'node:fs';
import {parseArgs, type ParseArgsConfig} from 'node:util';
import {err, ok, Result} from 'neverthrow';
import {assertNever, serviceIdSchema} from '@ragworthall/contracts';
import {
  OutputFormat,
  type ChangeOptions,
  type Command,
  type Connection,
  type Invocation,
  type Verb,
} from './command.js';
import {COMMON_OPTIONS, VERB_SPECS} from './verb_specs.js';

/** Time-out of a command without --timeout, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 60_000;
/** Longest allowed time-out, in seconds. */
const MAX_TIMEOUT_S = 86_400;
const MS_PER_S = 1000;

/** An invalid command line; the message states the remedy. */
export interface UsageError {
  readonly verb: Verb | undefined;
  readonly message: string;
}

/** Environment variables. */
export type Env = Readonly<Record<string, string | undefined>>;

type OptionValues = Readonly<Record<string, string | boolean | undefined>>;
type Parsed<T> = Result<T, string>;

/** Parses the arguments after the program's name. */
export function parseCommandLine(
  argv: readonly string[],
  env: Env,
): Result<Invocation, UsageError> {
  const [first, ...rest] = argv;
  if (first === undefined || first === '--help' || first === '-h') {
    return ok({kind: 'help', verb: undefined});
  }
  if (first === 'help') return helpOf(rest[0]);
  if (!isVerb(first)) return err(unknownVerb(first));
  return parseVerb(first, rest, env).mapErr(message => ({
    verb: first,
    message,
  }));
}

function helpOf(name: string | undefined): Result<Invocation, UsageError> {
  if (name === undefined || isVerb(name)) return ok({kind: 'help', verb: name});
  return err(unknownVerb(name));
}

function unknownVerb(name: string): UsageError {
  const verbs = Object.keys(VERB_SPECS).join(', ');
  const message = `unknown verb ${JSON.stringify(name)}; use one of ${verbs}`;
  return {verb: undefined, message};
}

function isVerb(name: string): name is Verb {
  return Object.hasOwn(VERB_SPECS, name);
}

function parseVerb(
  verb: Verb,
  args: readonly string[],
  env: Env,
): Parsed<Invocation> {
  return splitArgs(verb, args).andThen(({values, positionals}) => {
    if (values.help) return ok<Invocation>({kind: 'help', verb});
    if (verb === 'explain') return explainInvocation(values, positionals);
    return checkArgs(verb, positionals).andThen(() =>
      Result.combine([
        commandOf(verb, values, positionals),
        connectionOf(verb, values, env),
        outputOf(values),
      ]).map(([command, connection, output]): Invocation => {
        return {kind: 'run', command, connection, output};
      }),
    );
  });
}

function explainInvocation(
  values: OptionValues,
  args: readonly string[],
): Parsed<Invocation> {
  if (values.summary) {
    return outputOf(values).map(output => {
      return {kind: 'summarize', files: args, output};
    });
  }
  const [request, ...files] = args;
  if (request === undefined) return err('ID is missing; add it');
  return outputOf(values).map(output => {
    return {kind: 'explain', request, files, output};
  });
}

function splitArgs(
  verb: Verb,
  args: readonly string[],
): Parsed<{values: OptionValues; positionals: readonly string[]}> {
  const specs = [...VERB_SPECS[verb].options, ...COMMON_OPTIONS];
  const options: ParseArgsConfig['options'] = Object.fromEntries(
    specs.map(({name, short, value}) => [
      name,
      {type: value ? 'string' : 'boolean', ...(short ? {short} : {})},
    ]),
  );
  try {
    const parsed = parseArgs({
      args: [...args],
      options,
      allowPositionals: true,
    });
    return ok({
      values: parsed.values as OptionValues,
      positionals: parsed.positionals,
    });
  } catch (reason) {
    return err(reason instanceof Error ? reason.message : String(reason));
  }
}

function checkArgs(
  verb: Verb,
  positionals: readonly string[],
): Parsed<undefined> {
  const {args} = VERB_SPECS[verb];
  const missing = args
    .slice(positionals.length)
    .find(arg => !arg.startsWith('['));
  if (missing !== undefined) return err(`${missing} is missing; add it`);
  const extra = positionals[args.length];
  if (extra !== undefined) {
    return err(`unexpected argument ${JSON.stringify(extra)}; leave it out`);
  }
  return checkServiceId(positionals[0]);
}

/** Of each verb with arguments, except explain, the first is a service. */
function checkServiceId(id: string | undefined): Parsed<undefined> {
  if (id === undefined || serviceIdSchema.safeParse(id).success) {
    return ok(undefined);
  }
  return err(
    `the service must be written as member/service, not ${JSON.stringify(id)}`,
  );
}

function commandOf(
  verb: Command['kind'],
  values: OptionValues,
  [serviceId = '', backendServerId = '']: readonly string[],
): Parsed<Command> {
  switch (verb) {
    case 'apply':
      return Result.combine([fileOf(values), changeOptionsOf(values)]).map(
        ([file, change]) => ({kind: verb, file, change}),
      );
    case 'get':
      return ok({kind: verb, serviceId: serviceId || undefined});
    case 'list':
      return ok({kind: verb, member: textOf(values, 'member') ?? ''});
    case 'remove':
      return changeOptionsOf(values).map(change => {
        return {kind: verb, serviceId, change};
      });
    case 'drain':
      return changeOptionsOf(values).map(change => {
        return {kind: verb, serviceId, backendServerId, change};
      });
    case 'rollout':
      return revisionOf(values, 'revision').map(revision => {
        return {kind: verb, revision};
      });
    case 'watch':
    case 'status':
    case 'history':
      return ok({kind: verb});
    default:
      throw assertNever(verb);
  }
}

function fileOf(values: OptionValues): Parsed<string> {
  const file = textOf(values, 'file');
  if (file === undefined) return err('--file is missing; add -f FILE');
  return ok(file);
}

function changeOptionsOf(values: OptionValues): Parsed<ChangeOptions> {
  const operationId = textOf(values, 'operation-id');
  return revisionOf(values, 'base-revision').andThen(baseRevision => {
    if (operationId !== undefined && baseRevision === undefined) {
      return err(
        '--operation-id needs --base-revision; the command that made the change printed both',
      );
    }
    return ok({dryRun: values['dry-run'] === true, baseRevision, operationId});
  });
}

function connectionOf(
  verb: Verb,
  values: OptionValues,
  env: Env,
): Parsed<Connection> {
  return Result.combine([
    serverOf(values, env),
    tokenOf(values, env),
    timeoutOf(verb, values),
  ]).map(([server, token, timeoutMs]) => ({server, token, timeoutMs}));
}

function serverOf(values: OptionValues, env: Env): Parsed<string> {
  const server = textOf(values, 'server') ?? env.RAGWORTHALL_SERVER;
  if (server === undefined || server === '') {
    return err(
      'no server is given; add --server URL or set RAGWORTHALL_SERVER',
    );
  }
  if (URL.canParse(server) && /^https?:\/\//.test(server)) return ok(server);
  return err(
    `--server must be a URL such as http://10.0.0.1:7400, not ${JSON.stringify(server)}`,
  );
}

function tokenOf(values: OptionValues, env: Env): Parsed<string> {
  const file = textOf(values, 'token-file');
  if (file !== undefined) return readToken(file);
  const token = env.RAGWORTHALL_TOKEN?.trim() ?? '';
  if (token !== '') return ok(token);
  return err(
    'no token is given; add --token-file FILE or set RAGWORTHALL_TOKEN',
  );
}

function readToken(file: string): Parsed<string> {
  try {
    const token = readFileSync(file, 'utf8').trim();
    if (token !== '') return ok(token);
    return err(`--token-file ${file} is empty; write the member's token to it`);
  } catch (reason) {
    const message = reason instanceof Error ? reason.message : String(reason);
    return err(`--token-file cannot be read: ${message}`);
  }
}

function timeoutOf(
  verb: Verb,
  values: OptionValues,
): Parsed<number | undefined> {
  const text = textOf(values, 'timeout');
  if (text === undefined) {
    return ok(verb === 'watch' ? undefined : DEFAULT_TIMEOUT_MS);
  }
  const seconds = Number(text);
  if (text !== '' && seconds > 0 && seconds <= MAX_TIMEOUT_S) {
    return ok(seconds * MS_PER_S);
  }
  return err(
    `--timeout must be seconds above 0 and up to ${MAX_TIMEOUT_S}, not ${JSON.stringify(text)}`,
  );
}

function outputOf(values: OptionValues): Parsed<OutputFormat> {
  const output = textOf(values, 'output') ?? OutputFormat.Table;
  const formats = Object.values(OutputFormat);
  const format = formats.find(name => name === output);
  if (format !== undefined) return ok(format);
  return err(
    `--output must be one of ${formats.join(', ')}, not ${JSON.stringify(output)}`,
  );
}

function revisionOf(
  values: OptionValues,
  name: string,
): Parsed<number | undefined> {
  const text = textOf(values, name);
  if (text === undefined) return ok(undefined);
  if (/^\d{1,15}$/.test(text)) return ok(Number(text));
  return err(
    `--${name} must be a revision, a whole number, not ${JSON.stringify(text)}`,
  );
}

function textOf(values: OptionValues, name: string): string | undefined {
  const value = values[name];
  return typeof value === 'string' ? value : undefined;
}
