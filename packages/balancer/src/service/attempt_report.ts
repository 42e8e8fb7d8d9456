/**
 * Updates the state of a server and its service with the result of an attempt.
 */
import type {BackendServer} from '../backend_server/backend_server.js';
import type {Attempt, Call} from '../link/call.js';
import type {Service} from './service.js';

/** Lowest HTTP status that counts as a server error. */
const SERVER_ERROR = 500;

/** Whether the answer has a status that counts as a server error. */
export function isServerError(attempt: Attempt): boolean {
  return attempt.kind === 'answered' && attempt.answer.status >= SERVER_ERROR;
}

/** Records the result of an attempt that began at `startedAt`. */
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
      // Any answer, even an error, shows that the content did not crash the
      // server.
      service.quarantine.recordSuccess(call.fingerprint);
      if (isServerError(attempt)) server.recordFailure(now);
      else service.recordAnswer(server, call, latencyMs, now);
      return;
    case 'shed':
      server.recordReport(attempt.load, startedAt, now);
      server.recordShed(now);
      return;
    case 'not_sent':
      if (!attempt.abandoned) server.recordUnreachable(now);
      return;
    case 'lost':
      // A silent connection is attributed to the network, not to the server or
      // the request.
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
      service.recordAbandoned(server, call, latencyMs, now);
      return;
    case 'too_large':
      service.quarantine.recordSuccess(call.fingerprint);
      return;
    default:
      attempt satisfies never;
  }
}
