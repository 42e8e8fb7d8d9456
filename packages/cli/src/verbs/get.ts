/** The verb `get`: shows one service. */
import {operatorRpc as rpc} from '@ragworthall/contracts';
import {ExitCode} from '../exit_code.js';
import {tableText, type Rows} from '../output.js';
import {reportError} from './report.js';
import type {VerbContext} from './verb_context.js';

/** Shows a service with its backend servers, contracts and budgets. */
export async function get(
  ctx: VerbContext,
  serviceId: string,
): Promise<ExitCode> {
  const answer = await ctx.client.get(serviceId);
  if (answer.isErr()) return reportError(ctx, answer.error);
  const {service} = answer.value;
  const revision = Number(answer.value.revision);
  const json = {revision, service: service && rpc.serviceFromMessage(service)};
  ctx.output.result(
    json,
    () => `${serviceId} in revision ${revision}\n${serviceText(service)}`,
  );
  return ExitCode.Done;
}

function serviceText(service: rpc.Service | undefined): string {
  if (service === undefined) return '(none)';
  const {backendServers, contracts, floors, budgets, owners} = service;
  const settings = {
    owners: owners ?? 1,
    ...labeledNumbers('floor', floors),
    ...labeledNumbers('budget', budgets),
  };
  const settingRows = Object.entries(settings).map(([setting, value]) => {
    return {setting, value};
  });
  return [
    `\nbackend servers\n${tableText(backendServers.map(backendServerRow))}`,
    `\ncontracts\n${tableText(contracts.map(contractRow))}`,
    `\nsettings\n${tableText(settingRows)}`,
  ].join('\n');
}

function labeledNumbers(
  label: string,
  fields: object | undefined,
): Record<string, number> {
  const numbers = Object.entries(fields ?? {}).filter(
    (entry): entry is [string, number] => typeof entry[1] === 'number',
  );
  return Object.fromEntries(
    numbers.map(([name, value]) => [`${label} ${name}`, value]),
  );
}

function backendServerRow(server: rpc.BackendServer): Rows[number] {
  const {id, address, failureDomain, slots = 0, draining = false} = server;
  return {id, address, failureDomain, slots, draining};
}

function contractRow(contract: rpc.Contract): Rows[number] {
  const {name, method, path, idempotent = false} = contract;
  const {deadlineMs = 0, targetMs = 0} = contract;
  const rank = rpc.Rank[contract.rank].toLowerCase();
  return {name, method, path, rank, idempotent, deadlineMs, targetMs};
}
