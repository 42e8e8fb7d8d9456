/** Probes the load of backend servers; concurrent probes of one server are merged. */
import {
  type Clock,
  NEVER_ABORTED,
  type ProbeRateLimiter,
  type SharedServer,
  type SharedService,
} from '@ragworthall/balancer';
import type {GatewayLog} from '../log/gateway_log.js';
import type {ReachMonitor} from '../instance/reach_monitor.js';
import type {BackendClient} from './backend_client.js';

/** Time without an answer after which the server is suspect, milliseconds. */
const SUSPECT_AFTER_MS = 200;
/** Time after which a probe fails and its connection is closed, milliseconds. */
const PROBE_TIMEOUT_MS = 1_200;

/** Probes all backend servers within the rate limit of probes. */
export class Prober {
  /** Number of probes sent since the start. */
  sent = 0;
  private readonly running = new Map<string, Promise<void>>();

  constructor(
    private readonly backendClient: BackendClient,
    private readonly clock: Clock,
    private readonly log: GatewayLog,
    private readonly rateLimiter: ProbeRateLimiter,
    private readonly reach: ReachMonitor,
  ) {}

  /**
   * Probes a server; resolves when its state has been updated. Never rejects.
   * Returns undefined if the rate limit of probes is reached or the server wants
   * none.
   */
  probe(
    service: SharedService,
    server: SharedServer,
  ): Promise<void> | undefined {
    const {id} = server.entry;
    const running = this.running.get(id);
    if (running) return running;
    if (server.backpressure.wantsNothing(this.clock.now())) return undefined;
    if (!this.rateLimiter.tryTake(this.clock.now())) return undefined;
    const probe = this.runProbe(service, server)
      .catch((err: unknown) => {
        server.endLoadQuery();
        server.recordNoResponse(this.clock.now());
        this.log.taskFailed('probe', err);
      })
      .finally(() => this.running.delete(id));
    this.running.set(id, probe);
    return probe;
  }

  private async runProbe(
    service: SharedService,
    server: SharedServer,
  ): Promise<void> {
    const path = service.settings?.healthPath;
    if (path === undefined) {
      // Without a health path the load is estimated from this instance's own requests.
      service.reportsLoad = false;
      return;
    }
    this.sent += 1;
    const askedAt = this.clock.now();
    server.beginLoadQuery(askedAt);
    const suspectTimer = setTimeout(() => {
      server.recordNoResponse(this.clock.now());
      this.reach.recordFailure(server);
    }, SUSPECT_AFTER_MS);
    const answer = await this.backendClient
      .probe(server, path, PROBE_TIMEOUT_MS, NEVER_ABORTED)
      .finally(() => clearTimeout(suspectTimer));
    server.endLoadQuery();
    const now = this.clock.now();
    switch (answer.kind) {
      case 'answered':
        server.recordResponse();
        this.reach.recordResponse();
        server.recordHealth(answer.healthy);
        if (answer.load) server.recordLoadReport(answer.load, askedAt, now);
        if (answer.load) service.reportsLoad = true;
        else if (answer.healthy) service.reportsLoad ??= false;
        return;
      case 'misplaced':
        server.markMisplaced();
        this.log.stateChange('server_misplaced', {server: server.entry.id});
        return;
      case 'failed':
        server.recordNoResponse(now);
        this.reach.recordFailure(server);
        this.log.stateChange('server_suspect', {
          server: server.entry.id,
          detail: answer.detail,
        });
        return;
      default:
        answer satisfies never;
    }
  }
}
