/** Converts validated HTTP messages of callers to requests. */
import type {CallContext} from '@ragworthall/balancer';
import {CallerHeader} from '@ragworthall/contracts';
import type {IncomingMessage} from 'node:http';
import type {CallerRequest, RequestHead} from './caller_handler.js';
import {forwardedRequestHeaders} from './header_filter.js';
import type {ServiceTarget} from './request_target.js';

/** Returns the part of a request that is known before its body is read. */
export function requestHeadOf(
  req: IncomingMessage,
  target: ServiceTarget,
  key: string | undefined,
): RequestHead {
  const {serviceId, path} = target;
  return {serviceId, method: req.method ?? 'GET', path, key};
}

/** Returns the complete request, with its body and its verified context. */
export function callerRequestOf(
  req: IncomingMessage,
  target: ServiceTarget,
  body: Uint8Array,
  callContext: CallContext | undefined,
): CallerRequest {
  const {headers} = req;
  const timeout = headers[CallerHeader.TimeoutMs];
  return {
    ...requestHeadOf(
      req,
      target,
      singleValue(headers[CallerHeader.IdempotencyKey]),
    ),
    headers: forwardedRequestHeaders(req.rawHeaders),
    body,
    timeoutMs: timeout === undefined ? undefined : Number(timeout),
    callContext,
  };
}

/** Returns the value of a header that is known not to be repeated. */
export function singleValue(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
