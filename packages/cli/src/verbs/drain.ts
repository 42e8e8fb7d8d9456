/** The verb `drain`: drains a backend server. */
import type {ChangeOptions} from '../command.js';
import type {ExitCode} from '../exit_code.js';
import {submitChange} from './submit_change.js';
import type {VerbContext} from './verb_context.js';

/** The backend server to drain. */
export interface DrainTarget {
  readonly serviceId: string;
  readonly backendServerId: string;
  readonly change: ChangeOptions;
}

/** Marks one backend server as draining. */
export function drain(
  ctx: VerbContext,
  {serviceId, backendServerId, change}: DrainTarget,
): Promise<ExitCode> {
  return submitChange(ctx, change, header =>
    ctx.client.drain(header, serviceId, backendServerId),
  );
}
