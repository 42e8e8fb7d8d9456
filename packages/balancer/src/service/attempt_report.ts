/** What an attempt's end tells about its server, its service and its content. */
import type {BackendServer} from '../backend_server/backend_server.js';
import type {Attempt, Call} from '../link/call.js';
import type {Service} from './service.js';

/** Status from which an answer is the server's own error. */
const SERVER_ERROR = 500;

/** Whether an answer says that the server failed. */
export function isServerError(attempt: Attempt): boolean {
  return attempt.kind === 'answered' && attempt.answer.status >= SERVER_ERROR;
}

/** Takes in the end of an attempt that began at `startedAt`. */
export function reportAttempt(
  service: Service,
  server: BackendServer,
  call: Call,
  attempt: Attempt,
  startedAt: number,
  now: number,
): void {
  const latencyMs = now - startedAt;
  switch (attempt.kind) {
    case 'answered':
      server.recordReport(attempt.load, startedAt, now);
      // Whatever the answer says, its content did not crash the server.
      service.quarantine.succeeded(call.fingerprint);
      if (isServerError(attempt)) server.recordFailure(now);
      else service.answered(server, call, latencyMs, now);
      return;
    case 'shed':
      server.recordReport(attempt.load, startedAt, now);
      server.recordShed(now);
      return;
    case 'not_sent':
      if (!attempt.abandoned) server.recordUnreachable(now);
      return;
    case 'lost':
      // A silent connection is the network's fault and says nothing else.
      if (attempt.silent) return;
      server.recordFailure(now);
      service.quarantine.recordCrash(
        call.fingerprint,
        server.cfg.id,
        startedAt,
        now,
      );
      return;
    case 'abandoned':
      service.overran(server, call, latencyMs, now);
      return;
    case 'too_large':
      service.quarantine.succeeded(call.fingerprint);
      return;
    default:
      attempt satisfies never;
  }
}
