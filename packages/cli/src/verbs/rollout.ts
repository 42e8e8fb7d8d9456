/** The verbs `rollout` and `watch`: track where a revision is in force. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {operatorRpc as rpc} from '@ragworthall/contracts';
import {ok, type Result} from 'neverthrow';
import {clientErrorOf, type ClientError} from '../client_error.js';
import {ExitCode} from '../exit_code.js';
import {tableText} from '../output.js';
import {reportError} from './report.js';
import {instanceRow} from './status.js';
import type {VerbContext} from './verb_context.js';

/** Delay before reconnecting after a lost connection, in milliseconds. */
const RECONNECT_WAIT_MS = 1_000;

/** How a watch ended. */
type WatchEnd =
  /** The update handler ended the watch. */
  | {readonly kind: 'done'}
  /** The command timed out or was interrupted. */
  | {readonly kind: 'aborted'}
  | {readonly kind: 'failed'; readonly err: ClientError};

/** Handles an update; returns whether to end the watch. */
type UpdateHandler = (update: rpc.WatchRolloutResponse) => boolean;

/** Waits until a revision, or the current one, is in force everywhere. */
export async function rollout(
  ctx: VerbContext,
  revision: number | undefined,
): Promise<ExitCode> {
  const target = await resolveTarget(ctx, revision);
  if (target.isErr()) return reportError(ctx, target.error);
  const progress = new RolloutProgress(ctx);
  const end = await watchUntil(ctx, target.value, update =>
    progress.show(update),
  );
  switch (end.kind) {
    case 'done':
      return ExitCode.Done;
    case 'aborted':
      return reportIncompleteRollout(ctx, target.value);
    case 'failed':
      return reportError(ctx, end.err);
  }
}

/** Prints the instances after each change until interrupted. */
export async function watch(ctx: VerbContext): Promise<ExitCode> {
  const end = await watchUntil(ctx, undefined, update => {
    ctx.output.result(updateJson(update), () => `${updateText(update)}\n`);
    return false;
  });
  return end.kind === 'failed' ? reportError(ctx, end.err) : ExitCode.Done;
}

/** Prints the progress and the completion of a rollout. */
class RolloutProgress {
  private last = '';

  constructor(private readonly ctx: VerbContext) {}

  /** Prints an update; returns whether the revision is in force everywhere. */
  show(update: rpc.WatchRolloutResponse): boolean {
    const {output} = this.ctx;
    if (update.inForceEverywhere) {
      const text = `revision ${update.revision} is in force everywhere`;
      output.result(updateJson(update), () => text);
      return true;
    }
    const text = progressText(update);
    if (text !== this.last) output.progress(text);
    this.last = text;
    return false;
  }
}

async function resolveTarget(
  ctx: VerbContext,
  revision: number | undefined,
): Promise<Result<bigint, ClientError>> {
  if (revision !== undefined) return ok(BigInt(revision));
  const status = await ctx.client.status();
  return status.map(res => res.revision);
}

/** Passes updates to `onUpdate`; reconnects if an open connection is lost. */
async function watchUntil(
  ctx: VerbContext,
  revision: bigint | undefined,
  onUpdate: UpdateHandler,
): Promise<WatchEnd> {
  let connected = false;
  while (!ctx.signal.aborted) {
    try {
      for await (const update of ctx.client.watchRollout(revision)) {
        connected = true;
        if (onUpdate(update)) return {kind: 'done'};
      }
    } catch (reason) {
      const err = clientErrorOf(reason);
      if (ctx.signal.aborted) return {kind: 'aborted'};
      if (err.kind === 'refused' || !connected) return {kind: 'failed', err};
    }
    ctx.output.progress('connection lost; reconnecting');
    await sleep(RECONNECT_WAIT_MS, undefined, {signal: ctx.signal}).catch(
      () => undefined,
    );
  }
  return {kind: 'aborted'};
}

function reportIncompleteRollout(ctx: VerbContext, target: bigint): ExitCode {
  const revision = Number(target);
  ctx.output.error(
    `revision ${revision} is not in force everywhere yet; run the command again to keep waiting, or see 'ragworthall status'`,
    {kind: 'timed_out', revision},
  );
  return ExitCode.Pending;
}

function progressText(update: rpc.WatchRolloutResponse): string {
  const {instances, revision} = update;
  const behind = instances.filter(instance => instance.revision < revision);
  const done = instances.length - behind.length;
  const names = behind
    .map(instanceRow)
    .map(row => `${row.id} (revision ${row.revision}, ${row.state})`);
  const waiting = names.length > 0 ? `; waiting for ${names.join(', ')}` : '';
  return `revision ${revision} is in force on ${done} of ${instances.length} instances${waiting}`;
}

function updateText(update: rpc.WatchRolloutResponse): string {
  const where = update.inForceEverywhere
    ? 'in force everywhere'
    : 'not in force everywhere yet';
  const table = tableText(update.instances.map(instanceRow));
  return `revision ${update.revision}: ${where}\n${table}`;
}

function updateJson(update: rpc.WatchRolloutResponse): unknown {
  const {inForceEverywhere} = update;
  const instances = update.instances.map(instanceRow);
  return {revision: Number(update.revision), inForceEverywhere, instances};
}
