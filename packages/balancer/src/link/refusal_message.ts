/** Messages for refused calls: what happened and how to resolve it. */
import {RefusalReason} from './call.js';

const MESSAGES: Readonly<Record<RefusalReason, string>> = {
  unknown_service:
    'no such service; check the name, or create it with `ragworthall apply`',
  unknown_contract:
    'no contract of the service matches method and path; add one with `ragworthall apply`',
  rank_claimed:
    'the rank follows from the contract; remove the rank header from the request',
  key_missing:
    'the request is not idempotent; send an Idempotency-Key with the prefix of an address answer',
  key_malformed:
    'the Idempotency-Key is malformed; build it as PREFIX.UNIQUE from an address answer',
  key_expired:
    'the key is older than its lifetime; if the request was never sent, take a new key',
  key_reused:
    'the key was used for another request; take a key of its own for each request',
  key_home_lost:
    'the instance that keeps this key is gone, so the request may have run; check its effect before sending it under a new key',
  ledger_full:
    'this instance keeps as many keys as it can; try again later or at another address',
  queue_full: 'too much work of this rank waits; try again later',
  deadline_unreachable:
    'the work that waits would take longer than the deadline; try again later',
  deadline_passed: 'the deadline passed; allow more time or try again later',
  no_backend_server:
    'no backend server of the service takes work; check `ragworthall status`',
  member_share_spent:
    "the member's share of this instance is in use; try again later or at another address",
  content_quarantined:
    'requests with this content crashed backend servers; fix the request, or wait for the quarantine to end',
  configuration_not_in_force:
    'this instance cannot confirm the newest configuration; use another address',
  stopping: 'this instance is stopping; use another address',
  owner_unreachable:
    'the instance that schedules this service cannot be reached; use another address',
  connection_lost:
    'the connection to the backend server was lost after the request was sent; it may have run',
  answer_not_kept:
    'the request ran but its answer was too large to keep; read its effect from the service',
  body_too_large: 'the body is over the limit; send a smaller one',
  depth_exceeded: 'calls are nested too deep; check for a cycle of services',
  caller_left: 'the caller closed its connection before the answer',
};

/** Returns the message for a refusal reason. */
export function refusalMessage(reason: RefusalReason): string {
  return MESSAGES[reason];
}
