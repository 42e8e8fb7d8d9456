/** Writes a line for each routing decision. */
import type {
  BackendServer,
  Call,
  CallResult,
  DecisionLog,
} from '@ragworthall/balancer';
import type {Logger} from 'winston';
import type {LogLevel} from '../settings/settings.js';
import {DaemonLog} from './daemon_log.js';

/** What the lines of all decisions have. */
interface DecisionLineFields {
  readonly level: LogLevel;
  readonly message: 'decision';
  readonly requestId: string;
  readonly service: string;
  readonly contract: string;
  readonly rank: number;
}

/** One routing decision as its line has it. */
export type DecisionLine =
  | (DecisionLineFields & {
      readonly choice: 'dispatch';
      /** The backend server. */
      readonly server: string;
      /** Why there is this attempt. */
      readonly reason: string;
      /** Backend servers that it was chosen from. */
      readonly candidates: number;
      readonly attempt: number;
      /** Requests that the server runs for this instance, this one included. */
      readonly inFlight: number;
    })
  | (DecisionLineFields & {
      readonly choice: 'refuse';
      /** A {@link RefusalReason}. */
      readonly reason: string;
      readonly outcome: string;
      readonly attempts: number;
    })
  /** No decision, but its end; on level `debug`. */
  | (DecisionLineFields & {
      readonly choice: 'answer';
      readonly status: number;
      readonly replayed: boolean;
      readonly attempts: number;
    });

/** Creates the log of the process: JSON lines on standard output. */
export function createLog(level: LogLevel, instance: string): Logger {
  return new DaemonLog(level, instance).logger;
}

/** A decision log by winston. */
export class WinstonDecisionLog implements DecisionLog {
  constructor(private readonly log: Logger) {}

  dispatched(
    call: Call,
    server: BackendServer,
    attempt: number,
    cause: string,
    candidates: number,
  ): void {
    // Before anything is built: `warn` must cost a call nothing.
    if (!this.log.isLevelEnabled('info')) return;
    this.write({
      level: 'info',
      message: 'decision',
      requestId: call.id,
      service: call.serviceId,
      contract: call.contract.name,
      rank: call.rank,
      choice: 'dispatch',
      server: server.cfg.id,
      reason: cause,
      candidates,
      attempt,
      inFlight: server.inFlight,
    });
  }

  ended(call: Call, result: CallResult, attempts: number): void {
    switch (result.kind) {
      case 'answered':
        if (!this.log.isLevelEnabled('debug')) return;
        this.write({
          level: 'debug',
          message: 'decision',
          requestId: call.id,
          service: call.serviceId,
          contract: call.contract.name,
          rank: call.rank,
          choice: 'answer',
          status: result.answer.status,
          replayed: result.replayed,
          attempts,
        });
        return;
      case 'refused':
        if (!this.log.isLevelEnabled('info')) return;
        this.write({
          level: 'info',
          message: 'decision',
          requestId: call.id,
          service: call.serviceId,
          contract: call.contract.name,
          rank: call.rank,
          choice: 'refuse',
          reason: result.reason,
          outcome: result.outcome,
          attempts,
        });
        return;
      default:
        result satisfies never;
    }
  }

  /** Takes literals whole: copies of them cost more than the line. */
  private write(line: DecisionLine): void {
    this.log.log(line);
  }
}
