/** Handles one request: matches a route, runs it and reports its end. */
import type {MatchedRoute} from '@ragworthall/balancer';
import type {RequestLog} from '../log/request_log.js';
import {refusalOnArrival} from './arrival_check.js';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
} from './caller_request.js';
import {awaitConfiguration} from './relay_configuration.js';
import {reportEnd} from './request_report.js';
import {RequestRun} from './request_run.js';
import type {RunContext} from './run_context.js';

/** Delay after which a caller refused by a starting instance may retry, milliseconds. */
const STARTING_RETRY_MS = 150;

/** Handles one request until it is answered or has failed. */
export async function runRequest(
  context: RunContext,
  request: CallerRequest,
): Promise<RequestEnd> {
  const {deployment} = context;
  const {relay} = request;
  if (relay) await awaitConfiguration(deployment, relay, request);
  const {routes} = deployment;
  const matched = routes?.match(request.host, request.target);
  const requestLog = context.log.request(request.id);
  const end = deployment.isKnown
    ? await runMatched(context, request, matched, requestLog)
    : {
        kind: 'refused' as const,
        reason: Failure.Starting,
        retryAfterMs: STARTING_RETRY_MS,
      };
  reportEnd(context, request, matched, end, requestLog);
  return end;
}

async function runMatched(
  context: RunContext,
  request: CallerRequest,
  matched: MatchedRoute | undefined,
  requestLog: RequestLog,
): Promise<RequestEnd> {
  if (!matched) return {kind: 'no_route'};
  const {route, split} = matched;
  const added = request.relay?.added;
  if (added !== undefined) requestLog.add('relay_terms_passed_over', {added});
  const service = context.deployment.service(split.next());
  const now = context.clock.now();
  const refusal = refusalOnArrival(context, request, route, service, now);
  if (refusal) return refusal;
  // A relayed request counts where it arrived first.
  if (!request.relay) service.budget.recordRequest(now);
  return new RequestRun(context, request, route, service, requestLog).run();
}
