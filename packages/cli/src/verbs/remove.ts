/** The verb `remove`: removes a service. */
import type {ChangeOptions} from '../command.js';
import type {ExitCode} from '../exit_code.js';
import {submitChange} from './submit_change.js';
import type {VerbContext} from './verb_context.js';

/** Removes one service. */
export function remove(
  ctx: VerbContext,
  serviceId: string,
  options: ChangeOptions,
): Promise<ExitCode> {
  return submitChange(ctx, options, header =>
    ctx.client.remove(header, serviceId),
  );
}
