/** Logs a line for each routing decision. */
import type {
  BackendServer,
  Call,
  CallResult,
  DecisionLog,
} from '@ragworthall/balancer';
import type {Logger} from 'winston';
import type {LogLevel} from '../settings/settings.js';
import {DaemonLog} from './daemon_log.js';

/** Fields that the lines of all decisions have in common. */
interface DecisionLineFields {
  readonly level: LogLevel;
  readonly message: 'decision';
  readonly requestId: string;
  readonly service: string;
  readonly contract: string;
  readonly rank: number;
}

/** Log line of one routing decision. */
export type DecisionLine =
  | (DecisionLineFields & {
      readonly choice: 'dispatch';
      /** Identity of the backend server. */
      readonly server: string;
      /** Cause of the attempt, such as a retry. */
      readonly reason: string;
      /** Number of backend servers that were considered. */
      readonly candidates: number;
      readonly attempt: number;
      /** Requests of this instance in flight at the server, including this one. */
      readonly inFlight: number;
    })
  | (DecisionLineFields & {
      readonly choice: 'refuse';
      /** A {@link RefusalReason}. */
      readonly reason: string;
      readonly outcome: string;
      readonly attempts: number;
    })
  /** Not a decision but the answer to a call; logged at level `debug`. */
  | (DecisionLineFields & {
      readonly choice: 'answer';
      readonly status: number;
      readonly replayed: boolean;
      readonly attempts: number;
    });

/** Creates the logger of the process, which writes JSON lines to standard output. */
export function createLog(level: LogLevel, instance: string): Logger {
  return new DaemonLog(level, instance).logger;
}

/** Decision log that writes with winston. */
export class WinstonDecisionLog implements DecisionLog {
  constructor(private readonly log: Logger) {}

  dispatched(
    call: Call,
    server: BackendServer,
    attempt: number,
    cause: string,
    candidates: number,
  ): void {
    // Checked before the line is built, so that calls cost nothing at `warn`.
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

  /** Passes the line on as it is: a copy would cost more than writing it. */
  private write(line: DecisionLine): void {
    this.log.log(line);
  }
}
