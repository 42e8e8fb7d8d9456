/** Log lines of the gateway: bounded in number, the same fields for each kind. */
import type {Clock} from '@ragworthall/balancer';
import type {Logger} from 'winston';
import {LineRate} from './line_rate.js';
import {RequestLines} from './request_lines.js';
import {RequestSample} from './request_sample.js';

/** Fields of a line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Requests in a second whose lines are written though nothing went wrong. */
const HEALTHY_REQUESTS_PER_S = 60;
/** Lines of requests in a second; further ones are counted only. */
const REQUEST_LINES_PER_S = 400;
/** Lines about beliefs in a second. */
const BELIEF_LINES_PER_S = 200;

/** Writes the lines that explain what a gateway did and believed. */
export class GatewayLog {
  private readonly requests = new LineRate(REQUEST_LINES_PER_S);
  private readonly sample = new RequestSample(HEALTHY_REQUESTS_PER_S);
  private readonly beliefs = new LineRate(BELIEF_LINES_PER_S);

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /** Opens the log of one request. */
  request(id: string): RequestLines {
    const {clock, requests} = this;
    return new RequestLines(
      clock,
      this.sample.takes(id, clock.now()),
      (kind, fields, atMs) =>
        this.write(requests, kind, {request: id, ...fields}, atMs),
      lines => requests.omit(lines),
    );
  }

  /** A change of what this instance believes. */
  stateChange(kind: string, fields: LogFields): void {
    this.write(this.beliefs, kind, fields, this.clock.now());
  }

  /** A dependency that was lost or regained. */
  dependency(kind: string, fields: LogFields): void {
    this.logger.warn(kind, {kind, ...fields});
  }

  /** A step in the life of the process. */
  lifecycle(kind: string, fields: LogFields = {}): void {
    this.logger.warn(kind, {kind, ...fields});
  }

  private write(
    rate: LineRate,
    kind: string,
    fields: LogFields,
    atMs: number,
  ): void {
    if (!rate.tryWrite(this.clock.now())) return;
    const omitted = rate.takeOmitted();
    const more = omitted > 0 ? {omittedBefore: omitted} : {};
    this.logger.info(kind, {kind, atMs: Math.round(atMs), ...fields, ...more});
  }
}
