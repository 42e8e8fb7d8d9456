/** Validates operators' change requests and plans configuration changes. */
import {isDeepStrictEqual} from 'node:util';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {
  changeSetSchema,
  problemsOf,
  serviceIdOf,
  serviceIdSchema,
  type ChangeSet,
  type Configuration,
  type ServiceChange,
  type ServiceConfig,
  type ServiceId,
} from '@ragworthall/contracts';
import type {OperatorError} from './operator_error.js';

/** Maximum length of an operation id, in characters. */
const MAX_OPERATION_ID_LENGTH = 100;

const headerSchema = z.object({
  operationId: z
    .string()
    .min(1)
    .max(MAX_OPERATION_ID_LENGTH)
    .regex(/^[\w.-]*$/, 'letters, digits, dots, hyphens and underscores'),
  baseRevision: z.int().min(0),
  dryRun: z.boolean(),
});

/** Makes the paths of problems start with `header`, as in the other schemas. */
const headerOnlySchema = z.object({header: headerSchema});

const drainSchema = z.object({
  header: headerSchema,
  serviceId: serviceIdSchema,
  backendServerId: z.string().min(1),
});

const removeSchema = z.object({
  header: headerSchema,
  serviceId: serviceIdSchema,
});

/** Operation id and base revision of a change, and whether it is a dry run. */
export type ChangeHeader = z.infer<typeof headerSchema>;
/** Request to create, replace and remove services. */
export interface ApplyRequest {
  readonly header: ChangeHeader;
  readonly set: ChangeSet;
}
/** Request to drain a backend server. */
export type DrainRequest = z.infer<typeof drainSchema>;
/** Request to remove a service. */
export type RemoveRequest = z.infer<typeof removeSchema>;

/** Changes that a request needs; empty if it would change nothing. */
export type PlanResult = Result<readonly ServiceChange[], OperatorError>;

/** Validates the input of an apply call; reports all problems at once. */
export function parseApply(input: {
  readonly header: unknown;
  readonly set: unknown;
}): Result<ApplyRequest, OperatorError> {
  const {header} = input;
  const parsedHeader = headerOnlySchema.safeParse({header});
  const set = changeSetSchema.safeParse(input.set);
  if (parsedHeader.success && set.success) {
    return ok({header: parsedHeader.data.header, set: set.data});
  }
  const problems = [
    ...problemsOf(parsedHeader.error, {header}),
    ...problemsOf(set.error, input.set),
  ];
  return err({kind: 'invalid', problems: problems.map(p => p.problem)});
}

/** Validates the input of a drain call; reports all problems at once. */
export function parseDrain(
  input: unknown,
): Result<DrainRequest, OperatorError> {
  return parse(drainSchema, input);
}

/** Validates the input of a remove call; reports all problems at once. */
export function parseRemove(
  input: unknown,
): Result<RemoveRequest, OperatorError> {
  return parse(removeSchema, input);
}

/** Plans an apply request from an operator of member `by`. */
export function planApply(
  cfg: Configuration,
  by: string,
  req: ApplyRequest,
): PlanResult {
  const puts = req.set.services.map(
    service => ({kind: 'put', service}) as const,
  );
  const removals = req.set.remove.map(
    serviceId => ({kind: 'remove', serviceId}) as const,
  );
  const changes = [...puts, ...removals];
  return checkOwnership(changes, by).map(list =>
    withoutNoOps(list, cfg, req.header),
  );
}

/** Plans a remove request from an operator of member `by`. */
export function planRemove(
  cfg: Configuration,
  by: string,
  req: RemoveRequest,
): PlanResult {
  const {serviceId} = req;
  // With an older base revision, an earlier attempt of the same operation may
  // already have removed the service, so its absence is no error.
  if (isBaseRevision(cfg, req.header) && !cfg.services.has(serviceId)) {
    return err(serviceNotFound(cfg, serviceId));
  }
  return checkOwnership([{kind: 'remove', serviceId}], by);
}

/** Plans a drain request from an operator of member `by`. */
export function planDrain(
  cfg: Configuration,
  by: string,
  req: DrainRequest,
): PlanResult {
  const {serviceId, backendServerId: id} = req;
  const service = cfg.services.get(serviceId);
  if (service === undefined) return err(serviceNotFound(cfg, serviceId));
  if (!service.backendServers.some(server => server.id === id)) {
    const {revision} = cfg;
    return err({kind: 'backend_server_not_found', serviceId, id, revision});
  }
  const changes = [{kind: 'put', service: withDraining(service, id)} as const];
  return checkOwnership(changes, by).map(list =>
    withoutNoOps(list, cfg, req.header),
  );
}

/** Returns the id of the service that a change creates, replaces or removes. */
export function changedServiceId(change: ServiceChange): ServiceId {
  return change.kind === 'put' ? serviceIdOf(change.service) : change.serviceId;
}

/** Returns whether the current revision is the base of the change. */
export function isBaseRevision(
  cfg: Configuration,
  header: ChangeHeader,
): boolean {
  return cfg.revision === header.baseRevision;
}

function parse<T>(
  schema: z.ZodType<T>,
  input: unknown,
): Result<T, OperatorError> {
  const parsed = schema.safeParse(input);
  if (parsed.success) return ok(parsed.data);
  const problems = problemsOf(parsed.error, input);
  return err({kind: 'invalid', problems: problems.map(p => p.problem)});
}

/** Rejects changes to services of other members than `by`. */
function checkOwnership(
  changes: readonly ServiceChange[],
  by: string,
): PlanResult {
  const foreignId = changes
    .map(changedServiceId)
    .find(id => !id.startsWith(`${by}/`));
  if (foreignId === undefined) return ok(changes);
  return err({kind: 'other_member', by, serviceId: foreignId});
}

/**
 * Removes changes that have no effect. If the current revision is not the base,
 * all changes are kept, because the services at the base are not known.
 */
function withoutNoOps(
  changes: readonly ServiceChange[],
  cfg: Configuration,
  header: ChangeHeader,
): readonly ServiceChange[] {
  if (!isBaseRevision(cfg, header)) return changes;
  return changes.filter(change => {
    const before = cfg.services.get(changedServiceId(change));
    const after = change.kind === 'put' ? change.service : undefined;
    return !isDeepStrictEqual(before, after);
  });
}

function withDraining(service: ServiceConfig, id: string): ServiceConfig {
  const backendServers = service.backendServers.map(server =>
    server.id === id ? {...server, draining: true} : server,
  );
  return {...service, backendServers};
}

function serviceNotFound(
  cfg: Configuration,
  serviceId: ServiceId,
): OperatorError {
  return {kind: 'service_not_found', serviceId, revision: cfg.revision};
}
