/** Asks backend servers for their load; requests that ask at the same time share an answer. */
import {
  type Clock,
  NEVER_ABORTED,
  type ProbeRateLimiter,
  type SharedServer,
  type SharedService,
} from '@ragworthall/balancer';
import type {GatewayLog} from '../log/gateway_log.js';
import type {BackendDesk} from './backend_desk.js';

/** Time after which the server is suspect, milliseconds. */
const SUSPECT_MS = 200;
/** Time after which a probe is given up with its connection, milliseconds. */
const PROBE_MS = 1_200;

/** Probes of all backend servers. */
export class Prober {
  /** Probes sent since the start. */
  sent = 0;
  private readonly running = new Map<string, Promise<void>>();

  constructor(
    private readonly desk: BackendDesk,
    private readonly clock: Clock,
    private readonly log: GatewayLog,
    private readonly allowance: ProbeRateLimiter,
  ) {}

  /**
   * Asks a server; resolves when what it said has been taken in. Undefined if
   * there have been too many questions.
   */
  ask(service: SharedService, server: SharedServer): Promise<void> | undefined {
    const {id} = server.entry;
    const running = this.running.get(id);
    if (running) return running;
    if (!this.allowance.tryTake(this.clock.now())) return undefined;
    const probe = this.probe(service, server).finally(() =>
      this.running.delete(id),
    );
    this.running.set(id, probe);
    return probe;
  }

  private async probe(
    service: SharedService,
    server: SharedServer,
  ): Promise<void> {
    const path = service.terms?.healthPath;
    if (path === undefined) {
      // Without a path nothing can be asked: own counts have to do.
      service.reportsLoad = false;
      return;
    }
    this.sent += 1;
    const askedAt = this.clock.now();
    server.beginLoadQuery(askedAt);
    const suspicion = setTimeout(
      () => server.recordNoResponse(this.clock.now()),
      SUSPECT_MS,
    );
    const answer = await this.desk.probe(server, path, PROBE_MS, NEVER_ABORTED);
    clearTimeout(suspicion);
    server.endLoadQuery();
    const now = this.clock.now();
    switch (answer.kind) {
      case 'answered':
        server.recordResponse();
        server.recordHealth(answer.well);
        if (answer.load) server.recordLoadReport(answer.load, askedAt, now);
        if (answer.load) service.reportsLoad = true;
        else if (answer.well) service.reportsLoad ??= false;
        return;
      case 'misplaced':
        server.markMisplaced();
        this.log.stateChange('server_misplaced', {server: server.entry.id});
        return;
      case 'failed':
        server.recordNoResponse(now);
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
