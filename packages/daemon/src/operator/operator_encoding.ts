/** Converts between messages of the operators' RPC and the API's types. */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import type {InstanceStatus, QuarantineStatus} from '@ragworthall/balancer';
import {
  assertNever,
  operatorRpc as rpc,
  type ChangeRecord,
  type ServiceChange,
} from '@ragworthall/contracts';
import type {
  ChangeAnswer,
  PlannedChange,
  ServiceList,
  StatusReport,
} from './operator_api.js';
import {operatorErrorText, type OperatorError} from './operator_error.js';
import type {Rollout} from './rollout.js';

type ChangeResponseInit = MessageInitShape<typeof rpc.ChangeResponseSchema>;

/** Returns the fields of a change's header without validating them. */
export function headerInput(header: rpc.ChangeHeader | undefined): unknown {
  const base = header?.baseRevision;
  return {
    operationId: header?.operationId,
    baseRevision: base === undefined ? undefined : Number(base),
    dryRun: header?.dryRun ?? false,
  };
}

/** Returns the fields of an apply call without validating them. */
export function applyInput(req: rpc.ApplyServicesRequest): {
  header: unknown;
  set: unknown;
} {
  const services = req.services.map(rpc.serviceFromMessage);
  return {
    header: headerInput(req.header),
    set: {services, remove: req.remove},
  };
}

/** Encodes the answer to a change. */
export function changeResponse(answer: ChangeAnswer): rpc.ChangeResponse {
  return create(rpc.ChangeResponseSchema, {outcome: outcomeOf(answer)});
}

/** Encodes a list of services. */
export function listResponse(list: ServiceList): rpc.ListServicesResponse {
  return create(rpc.ListServicesResponseSchema, {
    revision: BigInt(list.revision),
    services: list.services.map(rpc.serviceToMessage),
  });
}

/** Encodes a status report. */
export function statusResponse(report: StatusReport): rpc.GetStatusResponse {
  return create(rpc.GetStatusResponseSchema, {
    revision: BigInt(report.revision),
    instances: report.instances.map(instanceMessage),
    quarantines: report.quarantines.map(quarantineMessage),
    refusals: report.refusals.map(refusal => ({
      ...refusal,
      count: BigInt(refusal.count),
    })),
  });
}

function instanceMessage(status: InstanceStatus): rpc.Instance {
  return create(rpc.InstanceSchema, {
    ...status,
    revision: BigInt(status.revision),
    ageMs: toNonNegativeBigInt(status.ageMs),
    state: INSTANCE_STATES[status.state],
  });
}

/** Encodes the state of a rollout. */
export function rolloutResponse(rollout: Rollout): rpc.WatchRolloutResponse {
  return create(rpc.WatchRolloutResponseSchema, {
    revision: BigInt(rollout.revision),
    inForceEverywhere: rollout.inForceEverywhere,
    instances: rollout.instances.map(instanceMessage),
  });
}

/** Encodes the history of changes. */
export function historyResponse(
  records: readonly ChangeRecord[],
): rpc.GetHistoryResponse {
  const entries = records.map(record => ({
    ...record,
    revision: BigInt(record.revision),
    changes: record.changes.map(historyChange),
  }));
  return create(rpc.GetHistoryResponseSchema, {entries});
}

/** Converts a refusal to the RPC error that the operator receives. */
export function connectError(err: OperatorError): ConnectError {
  const problems = err.kind === 'invalid' ? [...err.problems] : [];
  const details =
    err.kind === 'invalid'
      ? [{desc: rpc.RejectionSchema, value: {problems}}]
      : [];
  return new ConnectError(
    operatorErrorText(err),
    codeOf(err),
    undefined,
    details,
  );
}

const INSTANCE_STATES: Readonly<
  Record<InstanceStatus['state'], rpc.Instance_State>
> = {
  starting: rpc.Instance_State.STARTING,
  serving: rpc.Instance_State.SERVING,
  stopping: rpc.Instance_State.STOPPING,
  unreachable: rpc.Instance_State.UNREACHABLE,
};

function codeOf(err: OperatorError): Code {
  switch (err.kind) {
    case 'unknown_token':
      return Code.Unauthenticated;
    case 'other_member':
      return Code.PermissionDenied;
    case 'invalid':
      return Code.InvalidArgument;
    case 'service_not_found':
    case 'backend_server_not_found':
      return Code.NotFound;
    case 'behind':
      return Code.FailedPrecondition;
    default:
      throw assertNever(err);
  }
}

function outcomeOf(answer: ChangeAnswer): ChangeResponseInit['outcome'] {
  switch (answer.kind) {
    case 'accepted':
      return {case: 'accepted', value: revisionOf(answer)};
    case 'pending':
      return {case: 'pending', value: revisionOf(answer)};
    case 'conflict':
      return {case: 'conflict', value: {...revisionOf(answer), by: answer.by}};
    case 'unresolved':
      return {case: 'unresolved', value: {operationId: answer.operationId}};
    case 'store_unavailable':
      return {
        case: 'storeUnavailable',
        value: {retryAfterMs: Math.ceil(answer.retryAfterMs)},
      };
    case 'unchanged':
      return {case: 'unchanged', value: revisionOf(answer)};
    case 'plan': {
      const changes = answer.changes.map(plannedChangeFields);
      const baseRevision = BigInt(answer.baseRevision);
      return {case: 'plan', value: {baseRevision, changes}};
    }
    default:
      throw assertNever(answer);
  }
}

function revisionOf(answer: {revision: number}): {revision: bigint} {
  return {revision: BigInt(answer.revision)};
}

function plannedChangeFields(
  change: PlannedChange,
): MessageInitShape<typeof rpc.PlannedChangeSchema> {
  const {serviceId, before, after} = change;
  return {
    serviceId,
    before: before && rpc.serviceToMessage(before),
    after: after && rpc.serviceToMessage(after),
  };
}

function quarantineMessage(status: QuarantineStatus): rpc.Quarantine {
  return create(rpc.QuarantineSchema, {
    serviceId: status.serviceId,
    endsInMs: toNonNegativeBigInt(status.endsInMs),
    subject: quarantineSubject(status),
  });
}

function quarantineSubject(
  status: QuarantineStatus,
): MessageInitShape<typeof rpc.QuarantineSchema>['subject'] {
  switch (status.kind) {
    case 'backend_server':
      return {
        case: 'backendServer',
        value: {id: status.id, reason: status.reason},
      };
    case 'request_content':
      return {
        case: 'requestContent',
        value: {fingerprint: status.fingerprint, crashes: status.crashes},
      };
    default:
      throw assertNever(status);
  }
}

function historyChange(
  change: ServiceChange,
): MessageInitShape<typeof rpc.HistoryChangeSchema> {
  switch (change.kind) {
    case 'put':
      return {
        kind: {case: 'put', value: rpc.serviceToMessage(change.service)},
      };
    case 'remove':
      return {kind: {case: 'remove', value: change.serviceId}};
    default:
      throw assertNever(change);
  }
}

function toNonNegativeBigInt(value: number): bigint {
  return BigInt(Math.max(0, Math.round(value)));
}
