/** Prints errors and the outcomes of changes, and selects the exit code. */
import {assertNever, operatorRpc as rpc} from '@ragworthall/contracts';
import {clientErrorText, type ClientError} from '../client_error.js';
import {ExitCode} from '../exit_code.js';
import type {Outcome, ChangeResolution} from '../change_resolution.js';
import {planText} from '../service_diff.js';
import type {VerbContext} from './verb_context.js';

/** Identity of a change, needed to repeat it and learn its outcome. */
export interface ChangeIdentity {
  readonly operationId: string;
  readonly baseRevision: bigint;
}

/** Reports a failed call. */
export function reportError(ctx: VerbContext, err: ClientError): ExitCode {
  const {kind} = err;
  const text = clientErrorText(err, ctx.connection.server);
  const fields =
    kind === 'refused' ? {kind, problems: problemFields(err)} : {kind};
  ctx.output.error(text, fields);
  return kind === 'refused' ? ExitCode.Failed : ExitCode.Unavailable;
}

/** Reports the resolution of a change. */
export function reportResolution(
  ctx: VerbContext,
  resolution: ChangeResolution,
  identity: ChangeIdentity,
): ExitCode {
  switch (resolution.kind) {
    case 'outcome':
      return reportOutcome(ctx, resolution.outcome);
    case 'failed':
      return reportError(ctx, resolution.err);
    case 'timed_out':
      return reportTimeout(ctx, resolution, identity);
    default:
      throw assertNever(resolution);
  }
}

function reportOutcome(ctx: VerbContext, outcome: Outcome): ExitCode {
  const {output} = ctx;
  switch (outcome.case) {
    case 'accepted': {
      const revision = Number(outcome.value.revision);
      const text = `revision ${revision} is in force everywhere`;
      output.result({outcome: 'accepted', revision}, () => text);
      return ExitCode.Done;
    }
    case 'unchanged': {
      const revision = Number(outcome.value.revision);
      const text = `nothing to change in revision ${revision}`;
      output.result({outcome: 'unchanged', revision}, () => text);
      return ExitCode.Done;
    }
    case 'plan':
      output.result(planJson(outcome.value), () => planText(outcome.value));
      return ExitCode.Done;
    case 'conflict': {
      const revision = Number(outcome.value.revision);
      const {by} = outcome.value;
      output.error(
        `nothing was changed: ${by} made revision ${revision} first; review that change and try again`,
        {kind: 'conflict', revision, by},
      );
      return ExitCode.Conflict;
    }
    case 'storeUnavailable': {
      const {retryAfterMs} = outcome.value;
      output.error(
        `nothing was changed: the store cannot be reached; try again in ${retryAfterMs} ms`,
        {kind: 'store_unavailable', retryAfterMs},
      );
      return ExitCode.Unavailable;
    }
    case 'pending':
    case 'unresolved':
    case undefined:
      output.error('the server returned no outcome; try another instance');
      return ExitCode.Failed;
    default:
      throw assertNever(outcome);
  }
}

function reportTimeout(
  ctx: VerbContext,
  {uncertain, lastReason}: {uncertain: boolean; lastReason: string},
  identity: ChangeIdentity,
): ExitCode {
  if (!uncertain) {
    const message = `timed out, nothing was changed: ${lastReason}`;
    ctx.output.error(message, {kind: 'timed_out'});
    return ExitCode.Unavailable;
  }
  const {operationId} = identity;
  const baseRevision = Number(identity.baseRevision);
  ctx.output.error(
    `timed out: ${lastReason}; to learn the outcome, repeat the command with --base-revision ${baseRevision} --operation-id ${operationId}`,
    {kind: 'timed_out', operationId, baseRevision},
  );
  return ExitCode.Pending;
}

function planJson(plan: rpc.Plan): unknown {
  const changes = plan.changes.map(({serviceId, before, after}) => ({
    service: serviceId,
    before: before && rpc.serviceFromMessage(before),
    after: after && rpc.serviceFromMessage(after),
  }));
  const baseRevision = Number(plan.baseRevision);
  return {outcome: 'plan', baseRevision, changes};
}

function problemFields(err: ClientError): unknown {
  if (err.kind !== 'refused') return [];
  return err.problems.map(({path, expected, found, remedy}) => {
    return {path, expected, found, remedy};
  });
}
