/**
 * Finds out whether a server's process has ended, after an exchange with it broke
 * off: the connection alone may have been lost.
 */
import type {Deployment, SharedServer} from '@ragworthall/balancer';
import {
  type BackendClient,
  ProcessState,
} from '../backend_server/backend_client.js';

/** Time within which a process has to answer, milliseconds. */
const EXAMINE_TIMEOUT_MS = 400;

/** Examines servers; simultaneous examinations of one process are merged. */
export class ProcessExaminer {
  private readonly running = new Map<SharedServer, Promise<ProcessState>>();

  constructor(
    private readonly deployment: Deployment,
    private readonly backendClient: BackendClient,
  ) {}

  /** Resolves with what the server shows on a connection of its own. Never rejects. */
  examine(server: SharedServer): Promise<ProcessState> {
    const running = this.running.get(server);
    if (running) return running;
    const path = this.deployment.healthPathOf(server);
    if (path === undefined) return Promise.resolve(ProcessState.Unknown);
    const examined = this.backendClient
      .processState(server, path, EXAMINE_TIMEOUT_MS)
      .finally(() => this.running.delete(server));
    this.running.set(server, examined);
    return examined;
  }
}
