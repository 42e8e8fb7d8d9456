/** The verb `history`: shows the latest changes. */
import {assertNever, operatorRpc as rpc} from '@ragworthall/contracts';
import {ExitCode} from '../exit_code.js';
import {tableText} from '../output.js';
import {reportError} from './report.js';
import type {VerbContext} from './verb_context.js';

/** Shows the latest accepted changes, newest last. */
export async function history(ctx: VerbContext): Promise<ExitCode> {
  const answer = await ctx.client.history();
  if (answer.isErr()) return reportError(ctx, answer.error);
  const {entries} = answer.value;
  const rows = entries.map(entry => ({
    revision: Number(entry.revision),
    by: entry.by,
    operationId: entry.operationId,
    changes: entry.changes.map(changeText).join(', '),
  }));
  ctx.output.result({entries: entries.map(entryJson)}, () => tableText(rows));
  return ExitCode.Done;
}

function changeText({kind}: rpc.HistoryChange): string {
  switch (kind.case) {
    case 'put':
      return `put ${kind.value.member}/${kind.value.name}`;
    case 'remove':
      return `remove ${kind.value}`;
    case undefined:
      return 'unknown change';
    default:
      throw assertNever(kind);
  }
}

function entryJson(entry: rpc.HistoryEntry): unknown {
  const {operationId, by} = entry;
  const changes = entry.changes.map(changeJson);
  return {revision: Number(entry.revision), operationId, by, changes};
}

function changeJson({kind}: rpc.HistoryChange): unknown {
  switch (kind.case) {
    case 'put':
      return {put: rpc.serviceFromMessage(kind.value)};
    case 'remove':
      return {remove: kind.value};
    case undefined:
      return {};
    default:
      throw assertNever(kind);
  }
}
