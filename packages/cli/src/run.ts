/** Entry point of the client: parses a command line and runs its command. */
import {assertNever} from '@ragworthall/contracts';
import type {Command, Invocation} from './command.js';
import {parseCommandLine, type Env, type UsageError} from './command_line.js';
import {ExitCode} from './exit_code.js';
import {helpText} from './help.js';
import {OperatorClient} from './operator_client.js';
import {Output, type Streams} from './output.js';
import {apply} from './verbs/apply.js';
import {drain} from './verbs/drain.js';
import {explain, summarize} from './verbs/explain.js';
import {get} from './verbs/get.js';
import {history} from './verbs/history.js';
import {list} from './verbs/list.js';
import {remove} from './verbs/remove.js';
import {rollout, watch} from './verbs/rollout.js';
import {status} from './verbs/status.js';
import type {VerbContext} from './verbs/verb_context.js';

/**
 * Runs the command given by the arguments and returns its exit code.
 * `interrupt` cancels it.
 */
export async function run(
  argv: readonly string[],
  env: Env,
  streams: Streams,
  interrupt: AbortSignal,
): Promise<ExitCode> {
  const invocation = parseCommandLine(argv, env);
  if (invocation.isErr()) return reportUsage(streams, invocation.error);
  return runInvocation(invocation.value, streams, interrupt);
}

async function runInvocation(
  invocation: Invocation,
  streams: Streams,
  interrupt: AbortSignal,
): Promise<ExitCode> {
  switch (invocation.kind) {
    case 'help':
      streams.out(helpText(invocation.verb));
      return ExitCode.Done;
    case 'explain': {
      const output = new Output(invocation.output, streams);
      return explain(output, invocation.request, invocation.files);
    }
    case 'summarize': {
      const output = new Output(invocation.output, streams);
      return summarize(output, invocation.files);
    }
    case 'run': {
      const {command, connection} = invocation;
      const {server, token, timeoutMs} = connection;
      const signal = withTimeout(interrupt, timeoutMs);
      const client = new OperatorClient(server, token, signal);
      const output = new Output(invocation.output, streams);
      return runCommand(command, {client, connection, output, signal});
    }
    default:
      throw assertNever(invocation);
  }
}

async function runCommand(
  command: Command,
  ctx: VerbContext,
): Promise<ExitCode> {
  switch (command.kind) {
    case 'apply':
      return apply(ctx, command.file, command.change);
    case 'get':
      return command.serviceId === undefined
        ? list(ctx, '')
        : get(ctx, command.serviceId);
    case 'list':
      return list(ctx, command.member);
    case 'remove':
      return remove(ctx, command.serviceId, command.change);
    case 'drain':
      return drain(ctx, command);
    case 'rollout':
      return rollout(ctx, command.revision);
    case 'watch':
      return watch(ctx);
    case 'status':
      return status(ctx);
    case 'history':
      return history(ctx);
    default:
      throw assertNever(command);
  }
}

function withTimeout(
  interrupt: AbortSignal,
  timeoutMs: number | undefined,
): AbortSignal {
  if (timeoutMs === undefined) return interrupt;
  return AbortSignal.any([AbortSignal.timeout(timeoutMs), interrupt]);
}

function reportUsage(streams: Streams, err: UsageError): ExitCode {
  const help = ['ragworthall help', err.verb ?? ''].join(' ').trim();
  streams.err(`ragworthall: ${err.message}\nsee '${help}'`);
  return ExitCode.Usage;
}
