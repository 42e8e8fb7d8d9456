/** The verb `apply`: applies a file of services. */
import {
  changeSetSchema,
  documentProblemText,
  operatorRpc as rpc,
  parseJsonc,
  type ChangeSet,
} from '@ragworthall/contracts';
import type {ChangeOptions} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {readText} from '../read_text.js';
import {submitChange} from './submit_change.js';
import type {VerbContext} from './verb_context.js';

/** Validates the whole file, then applies it. */
export async function apply(
  ctx: VerbContext,
  file: string,
  options: ChangeOptions,
): Promise<ExitCode> {
  const set = readChangeSet(ctx, file);
  if (set === undefined) return ExitCode.Usage;
  const services = set.services.map(rpc.serviceToMessage);
  return submitChange(ctx, options, header =>
    ctx.client.apply(header, services, set.remove),
  );
}

function readChangeSet(ctx: VerbContext, file: string): ChangeSet | undefined {
  const text = readText(file);
  if (text.isErr()) {
    ctx.output.error(text.error, {kind: 'unreadable_file', file});
    return undefined;
  }
  const set = parseJsonc(text.value, changeSetSchema);
  if (set.isOk()) return set.value;
  const lines = set.error.map(problem => documentProblemText(file, problem));
  const message = `nothing was changed; the file has errors:\n${lines.join('\n')}`;
  ctx.output.error(message, {kind: 'invalid_file', problems: set.error});
  return undefined;
}
