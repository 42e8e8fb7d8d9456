/** Submits a change and waits for its outcome. */
import {randomUUID} from 'node:crypto';
import {ok, type Result} from 'neverthrow';
import type {operatorRpc as rpc} from '@ragworthall/contracts';
import type {ClientError} from '../client_error.js';
import type {ChangeOptions} from '../command.js';
import type {ExitCode} from '../exit_code.js';
import type {Answer, ChangeHeaderInit} from '../operator_client.js';
import {retryUntilResolved} from '../change_resolution.js';
import {reportError, reportResolution, type ChangeIdentity} from './report.js';
import type {VerbContext} from './verb_context.js';

/** Repeats `call` with the same header until its outcome is known. */
export async function submitChange(
  ctx: VerbContext,
  options: ChangeOptions,
  call: (header: ChangeHeaderInit) => Answer<rpc.ChangeResponse>,
): Promise<ExitCode> {
  const identity = await resolveIdentity(ctx, options);
  if (identity.isErr()) return reportError(ctx, identity.error);
  const header = {...identity.value, dryRun: options.dryRun};
  const resolution = await retryUntilResolved(
    () => call(header),
    ctx.signal,
    reason => ctx.output.progress(`${reason}; retrying`),
  );
  return reportResolution(ctx, resolution, identity.value);
}

/** Returns the identity of a new change, or of an earlier one to repeat. */
async function resolveIdentity(
  ctx: VerbContext,
  options: ChangeOptions,
): Promise<Result<ChangeIdentity, ClientError>> {
  const operationId = options.operationId ?? randomUUID();
  if (options.baseRevision !== undefined) {
    return ok({operationId, baseRevision: BigInt(options.baseRevision)});
  }
  const status = await ctx.client.status();
  return status.map(({revision}) => ({operationId, baseRevision: revision}));
}
