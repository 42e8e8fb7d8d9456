/** Checks of a request's head that Node's HTTP parser does not make. */
import {CallerHeader} from '@ragworthall/contracts';
import type {IncomingMessage} from 'node:http';
import {areValidFields} from './header_syntax.js';
import {MessageFault} from './message_fault.js';

/**
 * Headers that must not be repeated: which of two values applies would be
 * ambiguous.
 */
const SINGLETON_HEADERS: ReadonlySet<string> = new Set([
  'host',
  'content-length',
  'transfer-encoding',
  'expect',
  CallerHeader.IdempotencyKey,
  CallerHeader.TimeoutMs,
  CallerHeader.CallContext,
]);

/** Matches valid timeouts: seven digits of milliseconds are up to 2.8 hours. */
const TIMEOUT_PATTERN = /^\d{1,7}$/;

/** Returns the fault of a request's head; undefined if it is valid. */
export function faultOfHead(req: IncomingMessage): MessageFault | undefined {
  if (req.httpVersion !== '1.1') return MessageFault.VersionUnsupported;
  if (!areValidFields(req.rawHeaders)) return MessageFault.HeaderMalformed;
  if (hasRepeatedSingleton(req.rawHeaders)) return MessageFault.HeaderRepeated;
  if (req.headers.host === undefined) return MessageFault.MessageMalformed;
  const {expect} = req.headers;
  if (expect !== undefined && expect.toLowerCase() !== '100-continue') {
    return MessageFault.ExpectationUnsupported;
  }
  const coding = req.headers['transfer-encoding'];
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
    return MessageFault.CodingUnsupported;
  }
  const timeout = req.headers[CallerHeader.TimeoutMs];
  if (timeout !== undefined && !TIMEOUT_PATTERN.test(String(timeout))) {
    return MessageFault.TimeoutMalformed;
  }
  return undefined;
}

function hasRepeatedSingleton(rawHeaders: readonly string[]): boolean {
  let seen: Set<string> | undefined;
  // A single pass without copies: this runs for every request.
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase();
    if (!SINGLETON_HEADERS.has(name)) continue;
    seen ??= new Set();
    if (seen.has(name)) return true;
    seen.add(name);
  }
  return false;
}
