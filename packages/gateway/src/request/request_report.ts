/** Logs and counts how requests end. */
import type {MatchedRoute} from '@ragworthall/balancer';
import type {RequestLog} from '../log/request_log.js';
import {
  type CallerRequest,
  type RequestEnd,
  SERVER_ERROR,
} from './caller_request.js';
import type {RunContext} from './run_context.js';

/** Logs the end of a request and updates the metrics. */
export function reportEnd(
  context: RunContext,
  request: CallerRequest,
  matched: MatchedRoute | undefined,
  end: RequestEnd,
  requestLog: RequestLog,
): void {
  const {clock, metrics, deployment} = context;
  const ms = clock.now() - request.arrivedAt;
  const route = matched?.route.name ?? 'none';
  const reason = 'reason' in end ? end.reason : '';
  const status = end.kind === 'answered' ? end.answer.status : undefined;
  const isSuccess = end.kind === 'answered' && end.answer.status < SERVER_ERROR;
  if (!isSuccess) requestLog.writeHeld();
  requestLog.add('ended', {
    end: end.kind,
    reason,
    status,
    route,
    configuration: deployment.routes?.configuration.version,
    ms: Math.round(ms),
  });
  requestLog.end();
  metrics.requestEnded(route, end.kind, reason || String(status ?? ''), ms);
}

/** Rounds a figure for the log. */
export function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
