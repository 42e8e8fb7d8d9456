/** Refuses requests that this instance will not serve, as soon as they arrive. */
import type {Route, SharedService} from '@ragworthall/balancer';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
} from './caller_request.js';
import {isBehind} from './relay_configuration.js';
import type {RunContext} from './run_context.js';

/** Delay after which a caller that is to go elsewhere may do so, milliseconds. */
export const ELSEWHERE_RETRY_MS = 20;

/** Returns the refusal of a request on its arrival; undefined if it is taken. */
export function refusalOnArrival(
  {stopPlan, deployment}: RunContext,
  {arrivedAt, timeoutMs, relay}: CallerRequest,
  route: Route,
  service: SharedService,
  now: number,
): RequestEnd | undefined {
  const endsAt = arrivedAt + Math.min(timeoutMs, route.timeoutMs);
  const usualMs = service.usualMs(route);
  if (stopPlan()?.takes({endsAt, usualMs}, now) === false) {
    return refusedElsewhere(Failure.Stopping);
  }
  return relay && isBehind(deployment, relay)
    ? refusedElsewhere(Failure.OtherConfiguration)
    : undefined;
}

function refusedElsewhere(reason: Failure): RequestEnd {
  return {kind: 'refused', reason, retryAfterMs: ELSEWHERE_RETRY_MS};
}
