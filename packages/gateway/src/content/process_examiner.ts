/**
 * Finds out whether a server's process has ended, after an exchange with it broke
 * off: the connection alone may have been lost.
 */
import type {Clock, Deployment, SharedServer} from '@ragworthall/balancer';
import {
  type BackendClient,
  ProcessState,
} from '../backend_server/backend_client.js';
import {setTimeout as delay} from 'node:timers/promises';

/** Time within which a process has to answer, milliseconds. */
const EXAMINE_TIMEOUT_MS = 400;
/**
 * Pauses before the attempts to reach a process, milliseconds. A server that is
 * short of connections resets new ones, so one alone is no evidence.
 */
const ATTEMPT_PAUSES_MS = [0, 40, 80] as const;

/** Examines servers; simultaneous examinations of one process are merged. */
export class ProcessExaminer {
  private readonly running = new Map<SharedServer, Promise<ProcessState>>();

  constructor(
    private readonly deployment: Deployment,
    private readonly backendClient: BackendClient,
    private readonly clock: Clock,
  ) {}

  /** Resolves with what the server shows on connections of its own. Never rejects. */
  examine(server: SharedServer): Promise<ProcessState> {
    const running = this.running.get(server);
    if (running) return running;
    const path = this.deployment.healthPathOf(server);
    if (path === undefined) return Promise.resolve(ProcessState.Unknown);
    const examined = this.attempt(server, path).finally(() =>
      this.running.delete(server),
    );
    this.running.set(server, examined);
    return examined;
  }

  private async attempt(
    server: SharedServer,
    path: string,
  ): Promise<ProcessState> {
    const responsesBefore = server.responses;
    for (const pauseMs of ATTEMPT_PAUSES_MS) {
      if (pauseMs > 0) await delay(pauseMs);
      if (server.responses > responsesBefore) return ProcessState.Running;
      if (server.backpressure.isResting(this.clock.now())) {
        return ProcessState.Unknown;
      }
      const state = await this.backendClient.processState(
        server,
        path,
        EXAMINE_TIMEOUT_MS,
      );
      if (state !== ProcessState.BreaksOff) return state;
    }
    return server.responses > responsesBefore
      ? ProcessState.Running
      : ProcessState.BreaksOff;
  }
}
