/** The verb `list`: lists services. */
import {operatorRpc as rpc} from '@ragworthall/contracts';
import {ExitCode} from '../exit_code.js';
import {tableText, type Rows} from '../output.js';
import {reportError} from './report.js';
import type {VerbContext} from './verb_context.js';

/** Lists the services of a member, or all if `member` is empty. */
export async function list(
  ctx: VerbContext,
  member: string,
): Promise<ExitCode> {
  const answer = await ctx.client.list(member);
  if (answer.isErr()) return reportError(ctx, answer.error);
  const {services} = answer.value;
  const revision = Number(answer.value.revision);
  const json = {revision, services: services.map(rpc.serviceFromMessage)};
  ctx.output.result(
    json,
    () => `revision ${revision}\n${tableText(services.map(rowOf))}`,
  );
  return ExitCode.Done;
}

function rowOf(service: rpc.Service): Rows[number] {
  const {backendServers, contracts, owners} = service;
  const draining = backendServers.filter(server => server.draining).length;
  return {
    service: `${service.member}/${service.name}`,
    'backend servers': backendServers.length,
    draining,
    contracts: contracts.length,
    owners: owners ?? 1,
  };
}
