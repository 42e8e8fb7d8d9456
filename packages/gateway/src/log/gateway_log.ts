/** Log lines of the gateway: bounded in number, the same fields for each kind. */
import type {Clock} from '@ragworthall/balancer';
import type {Logger} from 'winston';

/** Fields of a line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Lines of requests in a second; further ones are counted only. */
const REQUEST_LINES_PER_S = 200;
/** Lines about beliefs in a second. */
const BELIEF_LINES_PER_S = 200;
const SECOND_MS = 1_000;

/** Lines of one kind that may still be written in this second. */
class LineRate {
  private second = -1;
  private written = 0;
  private omitted = 0;

  constructor(private readonly perSecond: number) {}

  /** Whether one more line may be written. */
  tryWrite(now: number): boolean {
    const second = Math.floor(now / SECOND_MS);
    if (second !== this.second) {
      this.second = second;
      this.written = 0;
    }
    this.written += 1;
    if (this.written <= this.perSecond) return true;
    this.omitted += 1;
    return false;
  }

  /** Returns the number of lines left out since the last call. */
  takeOmitted(): number {
    const {omitted} = this;
    this.omitted = 0;
    return omitted;
  }
}

/** Writes the lines that explain what a gateway did and believed. */
export class GatewayLog {
  private readonly requests = new LineRate(REQUEST_LINES_PER_S);
  private readonly beliefs = new LineRate(BELIEF_LINES_PER_S);

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /** A decision on a request. */
  request(kind: string, id: string, fields: LogFields): void {
    this.write(this.requests, kind, {request: id, ...fields});
  }

  /** A change of what this instance believes. */
  belief(kind: string, fields: LogFields): void {
    this.write(this.beliefs, kind, fields);
  }

  /** A dependency that was lost or regained. */
  dependency(kind: string, fields: LogFields): void {
    this.logger.warn(kind, {kind, ...fields});
  }

  /** A step in the life of the process. */
  life(kind: string, fields: LogFields = {}): void {
    this.logger.warn(kind, {kind, ...fields});
  }

  private write(rate: LineRate, kind: string, fields: LogFields): void {
    const now = this.clock.now();
    if (!rate.tryWrite(now)) return;
    const omitted = rate.takeOmitted();
    const more = omitted > 0 ? {omittedBefore: omitted} : {};
    this.logger.info(kind, {kind, atMs: Math.round(now), ...fields, ...more});
  }
}
