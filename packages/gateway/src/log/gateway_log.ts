/**
 * Structured log of the gateway. The number of lines per second is bounded, and
 * all lines of a kind have the same fields.
 */
import type {Clock} from '@ragworthall/balancer';
import type {Logger} from 'winston';
import {LineRateLimiter} from './line_rate_limiter.js';
import {RequestLog} from './request_log.js';
import {RequestSampler} from './request_sampler.js';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Approximate number of successful requests that are logged per second. */
const MAX_SUCCESSFUL_REQUESTS_PER_S = 60;
/** Maximum lines per second about requests; further lines are only counted. */
const MAX_REQUEST_LINES_PER_S = 400;
/** Maximum lines per second about changes of the known state; further lines are only counted. */
const MAX_STATE_LINES_PER_S = 200;
/** Maximum lines per second about rejected messages, which one caller may send in masses. */
const MAX_REJECTION_LINES_PER_S = 20;

/** Logs the decisions of a gateway and the state that they were based on. */
export class GatewayLog {
  private readonly requestRate = new LineRateLimiter(MAX_REQUEST_LINES_PER_S);
  private readonly sampler = new RequestSampler(MAX_SUCCESSFUL_REQUESTS_PER_S);
  private readonly stateRate = new LineRateLimiter(MAX_STATE_LINES_PER_S);
  private readonly rejectionRate = new LineRateLimiter(
    MAX_REJECTION_LINES_PER_S,
  );

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /** Creates the log of one request. */
  request(id: string): RequestLog {
    const {clock, requestRate} = this;
    return new RequestLog(
      clock,
      this.sampler.sample(id, clock.now()),
      (kind, fields, atMs) =>
        this.write(requestRate, kind, {request: id, ...fields}, atMs),
      lines => requestRate.omit(lines),
    );
  }

  /** Logs a change of this instance's view of servers, configuration or tables. */
  stateChange(kind: string, fields: LogFields): void {
    this.write(this.stateRate, kind, fields, this.clock.now());
  }

  /** Logs that a message of a caller was rejected. */
  messageRejected(caller: string, cause: string): void {
    const kind = 'message_rejected';
    this.write(this.rejectionRate, kind, {caller, cause}, this.clock.now());
  }

  /** Logs that what is said to come from an instance has no valid proof. */
  messageUnproven(what: string, from: string): void {
    const kind = 'message_unproven';
    this.write(this.rejectionRate, kind, {what, from}, this.clock.now());
  }

  /** Logs that a dependency was lost or is available again. */
  dependency(kind: string, fields: LogFields): void {
    this.logger.warn(kind, {kind, ...fields});
  }

  /** Logs a step in the lifecycle of the process. */
  lifecycle(kind: string, fields: LogFields = {}): void {
    this.logger.warn(kind, {kind, ...fields});
  }

  /** Logs an error that ended the task of one request, connection or loop. */
  taskFailed(task: string, err: unknown): void {
    const detail = err instanceof Error ? (err.stack ?? err.message) : err;
    this.stateChange('task_failed', {task, detail: String(detail)});
  }

  private write(
    rate: LineRateLimiter,
    kind: string,
    fields: LogFields,
    atMs: number,
  ): void {
    if (!rate.tryWrite(this.clock.now())) return;
    const omitted = rate.takeOmitted();
    const omission = omitted > 0 ? {omittedBefore: omitted} : {};
    this.logger.info(kind, {
      kind,
      atMs: Math.round(atMs),
      ...fields,
      ...omission,
    });
  }
}
