/** The verb `status`: shows the status of the fleet. */
import {operatorRpc as rpc} from '@ragworthall/contracts';
import {ExitCode} from '../exit_code.js';
import {tableText, type Rows} from '../output.js';
import {reportError} from './report.js';
import type {VerbContext} from './verb_context.js';

/** Shows instances, quarantines and refusals. */
export async function status(ctx: VerbContext): Promise<ExitCode> {
  const answer = await ctx.client.status();
  if (answer.isErr()) return reportError(ctx, answer.error);
  const res = answer.value;
  const parts = {
    revision: Number(res.revision),
    instances: res.instances.map(instanceRow),
    quarantines: res.quarantines.map(quarantineRow),
    refusals: res.refusals.map(refusalRow),
  };
  ctx.output.result(parts, () =>
    [
      `revision ${parts.revision}`,
      `\ninstances\n${tableText(parts.instances)}`,
      `\nquarantines\n${tableText(parts.quarantines)}`,
      `\nrefusals\n${tableText(parts.refusals)}`,
    ].join('\n'),
  );
  return ExitCode.Done;
}

/** Returns the table row of an instance. */
export function instanceRow(instance: rpc.Instance): Rows[number] {
  const {id, incarnation, failureDomain} = instance;
  return {
    id,
    incarnation,
    failureDomain,
    state: rpc.Instance_State[instance.state].toLowerCase(),
    revision: Number(instance.revision),
    ageMs: Number(instance.ageMs),
  };
}

function quarantineRow(quarantine: rpc.Quarantine): Rows[number] {
  const {serviceId, subject} = quarantine;
  const endsInMs = Number(quarantine.endsInMs);
  const isServer = subject.case === 'backendServer';
  const {crashes = 0, fingerprint = ''} =
    subject.case === 'requestContent' ? subject.value : {};
  return {
    service: serviceId,
    kind: isServer ? 'backend_server' : 'request_content',
    subject: isServer ? subject.value.id : fingerprint,
    reason: isServer ? subject.value.reason : `${crashes} crashes`,
    endsInMs,
  };
}

function refusalRow(refusal: rpc.RefusalCount): Rows[number] {
  const {serviceId, reason, count} = refusal;
  return {service: serviceId, reason, count: Number(count)};
}
