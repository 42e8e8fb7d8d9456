/** Conversion between calls and the messages that forward them. */
import type {Call, ForwardRole} from '@ragworthall/balancer';
import type {MessageOf} from './message.js';

/** Creates the message that forwards a call. */
export function callMessage(
  number: number,
  call: Call,
  role: ForwardRole,
  remainingMs: number,
): MessageOf<'call'> {
  const {deadline: unusedDeadline, ...rest} = call;
  return {
    ...rest,
    kind: 'call',
    number,
    role,
    headers: [...call.headers],
    remainingMs,
  };
}

/** Returns the call that a message forwards. */
export function callOf(message: MessageOf<'call'>, now: number): Call {
  const {id, serviceId, contract, rank, method, path} = message;
  const {headers, body, key, retriesLeft, depth, fingerprint} = message;
  return {
    id,
    serviceId,
    contract,
    rank,
    method,
    path,
    headers,
    body,
    key,
    deadline: now + message.remainingMs,
    retriesLeft,
    depth,
    fingerprint,
  };
}
