/**
 * Checks whether this instance reaches the backend servers, and tells those who
 * wait for them when it does not.
 */
import {
  type Deployment,
  ReachState,
  ServerReach,
  type SharedServer,
} from '@ragworthall/balancer';
import {
  type BackendClient,
  CheckResult,
} from '../backend_server/backend_client.js';
import type {LogFields} from '../log/gateway_log.js';
import {pause} from './pause.js';
import {type ServingContext, ServingInstances} from './serving_instances.js';

/** Interval at which the need for a check is looked at, milliseconds. */
const TICK_MS = 100;
/** Time within which a server responds on a fresh connection, milliseconds. */
const CHECK_TIMEOUT_MS = 300;

/** Dependencies of a {@link ReachMonitor}. */
export interface ReachContext extends Omit<ServingContext, 'onFound'> {
  readonly deployment: Deployment;
  readonly backendClient: BackendClient;
}

/** The reach of one instance. */
export class ReachMonitor {
  private readonly reach: ServerReach;
  /** The instances that serve callers in the place of this one. */
  readonly serving: ServingInstances;
  private readonly listeners = new Set<() => void>();
  /** When the latest suspicion arose; an instance that starts is suspect. */
  private suspectedAt: number;

  constructor(private readonly context: ReachContext) {
    this.reach = new ServerReach(context.random);
    this.suspectedAt = context.clock.now();
    this.serving = new ServingInstances({
      ...context,
      onFound: () => this.isSilent && this.notifyUnreachable(),
    });
  }

  get state(): ReachState {
    return this.reach.state;
  }

  /** Whether this instance is cut off from all servers. */
  get isCutOff(): boolean {
    return this.reach.isCutOff;
  }

  /** Whether nothing suggests that a server still responds. */
  get isSilent(): boolean {
    return this.reach.isSilent(this.context.clock.now());
  }

  /** Records that a server was added to the registry. */
  recordServerAdded(): void {
    this.reach.recordServerAdded();
  }

  /**
   * Calls `listener` whenever requests need not wait any longer for the servers
   * that this instance has chosen.
   */
  onUnreachable(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** Records a response of any server. */
  recordResponse(): void {
    this.reach.recordResponse(this.context.clock.now());
  }

  /** Records that a server refused a connection or did not respond. */
  recordFailure({entry}: SharedServer): void {
    this.reach.recordFailure(entry.id, this.context.clock.now());
  }

  /** Checks whenever there is a need, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(TICK_MS, signal);
      await this.check();
    }
  }

  private async check(): Promise<void> {
    const {deployment, clock} = this.context;
    const now = clock.now();
    const before = this.reach.state;
    const asked = this.reach.serversToCheck(
      () => deployment.checkableServerIds(now),
      now,
    );
    if (asked.length === 0) return;
    this.noteChange(before, {asked: asked.length});
    const suspected = this.reach.state;
    const [results] = await Promise.all([
      Promise.all(asked.map(id => this.ask(id))),
      this.serving.askIfDue(),
    ]);
    const count = (wanted: CheckResult) =>
      results.filter(result => result === wanted).length;
    const responded = count(CheckResult.Responded);
    const late = count(CheckResult.Late);
    this.reach.recordCheck({responded, late}, clock.now());
    this.noteChange(suspected, {asked: asked.length, responded, late});
  }

  private noteChange(before: ReachState, counts: LogFields): void {
    const {log, clock} = this.context;
    const {state} = this.reach;
    if (before === state) return;
    const afterMs = Math.round(clock.now() - this.suspectedAt);
    switch (state) {
      case ReachState.Suspected:
        this.suspectedAt = clock.now();
        log.dependency('servers_suspected', counts);
        return;
      case ReachState.CutOff:
        log.dependency('servers_cut_off', {...counts, afterMs});
        this.notifyUnreachable();
        return;
      case ReachState.Reached: {
        const kind =
          before === ReachState.CutOff
            ? 'servers_reached'
            : 'servers_suspicion_ended';
        log.dependency(kind, {...counts, afterMs});
        this.serving.forget();
        return;
      }
      default:
        state satisfies never;
    }
  }

  private notifyUnreachable(): void {
    this.listeners.forEach(listener => listener());
  }

  private async ask(id: string): Promise<CheckResult> {
    const {deployment, backendClient} = this.context;
    const server = deployment.server(id);
    const path = server && deployment.healthPathOf(server);
    if (!server || path === undefined) return CheckResult.Refused;
    return backendClient.check(server, path, CHECK_TIMEOUT_MS);
  }
}
