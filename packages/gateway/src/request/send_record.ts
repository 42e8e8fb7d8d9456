/** Updates what is known of a server from the result of a send. */
import type {SharedServer} from '@ragworthall/balancer';
import type {SendResult} from '../backend_server/send_result.js';
import {SERVER_ERROR} from './caller_request.js';
import type {RunContext} from './run_context.js';

/** A missing answer counts as a failure after this many times the expected duration. */
const OVERDUE_FACTOR = 5;
/** Assumed age of an arriving load report, milliseconds; it may lack requests sent since then. */
const REPORT_TRANSIT_MS = 4;

/** Times of a send, milliseconds. */
export interface SendTimes {
  /** Its end, on the monotonic clock. */
  readonly now: number;
  readonly tookMs: number;
  /** Usual duration of the request on a good server. */
  readonly expectedMs: number;
}

/** Records the result of a send to a server. */
export function recordSend(
  {reach}: Pick<RunContext, 'reach'>,
  server: SharedServer,
  result: SendResult,
  {now, tookMs, expectedMs}: SendTimes,
): void {
  switch (result.kind) {
    case 'answered':
      server.recordResponse();
      reach.recordResponse();
      if (result.load)
        server.recordLoadReport(result.load, now - REPORT_TRANSIT_MS, now);
      if (result.answer.status >= SERVER_ERROR) server.recordFailure(now);
      else server.recordSuccess(now);
      return;
    case 'not_run':
      server.recordResponse();
      if (result.load)
        server.recordLoadReport(result.load, now - REPORT_TRANSIT_MS, now);
      if (result.misplaced) server.markMisplaced();
      else server.recordFailure(now);
      return;
    case 'not_sent':
      server.recordNoResponse(now);
      reach.recordFailure(server);
      return;
    case 'lost':
      server.recordFailure(now);
      if (result.brokeOff) reach.recordFailure(server);
      return;
    case 'late':
      server.recordFailure(now);
      return;
    case 'abandoned':
      // A server that is long overdue has failed, though the caller left first.
      if (tookMs > expectedMs * OVERDUE_FACTOR) server.recordFailure(now);
      return;
    default:
      result satisfies never;
  }
}
