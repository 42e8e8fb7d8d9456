/** Operators' calls, independent of the transport. */
import {err, ok, type Result} from 'neverthrow';
import type {
  ChangeOutcome,
  ConfigurationService,
  FleetStatus,
  InstanceStatus,
  QuarantineStatus,
  RefusalCount,
} from '@ragworthall/balancer';
import type {
  ChangeRecord,
  Configuration,
  ServiceChange,
  ServiceConfig,
  ServiceId,
} from '@ragworthall/contracts';
import {
  changedServiceId,
  isBaseRevision,
  parseApply,
  parseDrain,
  parseRemove,
  planApply,
  planDrain,
  planRemove,
  type ChangeHeader,
  type PlanResult,
} from './change_plan.js';
import type {OperatorAudit} from './operator_audit.js';
import type {OperatorError} from './operator_error.js';

/** A service before and after a change; undefined where it does not exist. */
export interface PlannedChange {
  readonly serviceId: ServiceId;
  readonly before: ServiceConfig | undefined;
  readonly after: ServiceConfig | undefined;
}

/** Answer to a call that changes the configuration. */
export type ChangeAnswer =
  | ChangeOutcome
  /** Nothing to write: the services already are as requested. */
  | {readonly kind: 'unchanged'; readonly revision: number}
  /** Dry run: the changes that would be written. */
  | {
      readonly kind: 'plan';
      readonly baseRevision: number;
      readonly changes: readonly PlannedChange[];
    };

/** Services at one revision. */
export interface ServiceList {
  readonly revision: number;
  readonly services: readonly ServiceConfig[];
}

/** Snapshot of the fleet's status. */
export interface StatusReport {
  readonly revision: number;
  readonly instances: readonly InstanceStatus[];
  readonly quarantines: readonly QuarantineStatus[];
  readonly refusals: readonly RefusalCount[];
}

/** Result of a call that changes the configuration. */
export type ChangeResult = Promise<Result<ChangeAnswer, OperatorError>>;

/** Handles operators' calls; `by` is the member whose operator calls. */
export class OperatorApi {
  constructor(
    private readonly configuration: ConfigurationService,
    private readonly fleet: FleetStatus,
    private readonly audit: OperatorAudit,
  ) {}

  /** Creates, replaces and removes services; validates `input`. */
  async apply(
    by: string,
    input: {readonly header: unknown; readonly set: unknown},
    signal: AbortSignal,
  ): ChangeResult {
    const req = parseApply(input);
    if (req.isErr()) return err(req.error);
    const plan = planApply(this.configuration.current(), by, req.value);
    return this.execute(by, req.value.header, plan, signal);
  }

  /** Removes one service; validates `input`. */
  async remove(by: string, input: unknown, signal: AbortSignal): ChangeResult {
    const req = parseRemove(input);
    if (req.isErr()) return err(req.error);
    const plan = planRemove(this.configuration.current(), by, req.value);
    return this.execute(by, req.value.header, plan, signal);
  }

  /** Marks one backend server as draining; validates `input`. */
  async drain(by: string, input: unknown, signal: AbortSignal): ChangeResult {
    const req = parseDrain(input);
    if (req.isErr()) return err(req.error);
    const plan = planDrain(this.configuration.current(), by, req.value);
    return this.execute(by, req.value.header, plan, signal);
  }

  /** Lists the services of `member`, or all if it is undefined. */
  list(member: string | undefined): ServiceList {
    const {revision, services} = this.configuration.current();
    const list = [...services.values()].filter(
      service => member === undefined || service.member === member,
    );
    return {revision, services: list};
  }

  /** Returns one service and the current revision. */
  get(
    serviceId: string,
  ): Result<{revision: number; service: ServiceConfig}, OperatorError> {
    const {revision, services} = this.configuration.current();
    const service = services.get(serviceId as ServiceId);
    if (service !== undefined) return ok({revision, service});
    return err({kind: 'service_not_found', serviceId, revision});
  }

  /** Returns the latest accepted changes, newest last. */
  history(): readonly ChangeRecord[] {
    return this.configuration.history();
  }

  /** Returns the fleet's status; `now` is monotonic time in milliseconds. */
  status(now: number): StatusReport {
    return {
      revision: this.configuration.current().revision,
      instances: this.fleet.instances(now),
      quarantines: this.fleet.quarantines(now),
      refusals: this.fleet.refusals(),
    };
  }

  private async execute(
    by: string,
    header: ChangeHeader,
    plan: PlanResult,
    signal: AbortSignal,
  ): ChangeResult {
    const cfg = this.configuration.current();
    if (cfg.revision < header.baseRevision) return err(behindBase(cfg, header));
    const recorded = this.recordedChanges(by, header);
    if (recorded === undefined && plan.isErr()) return err(plan.error);
    const changes = recorded ?? plan.unwrapOr([]);
    const answer = await this.submitOrPreview(by, header, cfg, changes, signal);
    const serviceIds = changes.map(changedServiceId);
    const {kind} = answer;
    this.audit.record({
      kind: 'change_answered',
      by,
      ...header,
      serviceIds,
      answer: kind,
    });
    return ok(answer);
  }

  /**
   * Returns the changes that an earlier call with the same operation id wrote.
   * Planning a repeated call again could refuse it because of its own effect,
   * for example because the service to remove no longer exists.
   */
  private recordedChanges(
    by: string,
    header: ChangeHeader,
  ): readonly ServiceChange[] | undefined {
    const record = this.history().find(
      entry => entry.operationId === header.operationId && entry.by === by,
    );
    return record?.changes;
  }

  private async submitOrPreview(
    by: string,
    header: ChangeHeader,
    cfg: Configuration,
    changes: readonly ServiceChange[],
    signal: AbortSignal,
  ): Promise<ChangeAnswer> {
    const {operationId, baseRevision} = header;
    if (header.dryRun) return this.preview(cfg, header, changes);
    if (changes.length === 0) return unchangedAnswer(cfg);
    const req = {operationId, by, baseRevision, changes};
    return this.configuration.submit(req, signal);
  }

  private preview(
    cfg: Configuration,
    header: ChangeHeader,
    changes: readonly ServiceChange[],
  ): ChangeAnswer {
    const {revision} = cfg;
    if (!isBaseRevision(cfg, header)) {
      const by = this.history().at(-1)?.by ?? '';
      return {kind: 'conflict', revision, by};
    }
    if (changes.length === 0) return unchangedAnswer(cfg);
    const planned = changes.map(change => plannedChange(cfg, change));
    return {kind: 'plan', baseRevision: revision, changes: planned};
  }
}

function behindBase(cfg: Configuration, header: ChangeHeader): OperatorError {
  const {baseRevision} = header;
  return {kind: 'behind', revision: cfg.revision, baseRevision};
}

function unchangedAnswer(cfg: Configuration): ChangeAnswer {
  return {kind: 'unchanged', revision: cfg.revision};
}

function plannedChange(
  cfg: Configuration,
  change: ServiceChange,
): PlannedChange {
  const serviceId = changedServiceId(change);
  return {
    serviceId,
    before: cfg.services.get(serviceId),
    after: change.kind === 'put' ? change.service : undefined,
  };
}
