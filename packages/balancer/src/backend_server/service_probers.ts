/** The probers of the backend servers that an instance schedules. */
import type {Service} from '../service/service.js';
import type {BackendServer} from './backend_server.js';
import type {ProbePermit, ProbePermits} from './probe_permit.js';
import {Prober, type ProberOptions, type ProbeReport} from './prober.js';

/** One prober for each backend server, kept in step with the configuration. */
export class ServiceProbers implements AsyncDisposable {
  private probers = new Map<BackendServer, Prober>();
  private readonly changes: Disposable;

  constructor(
    private readonly service: Service,
    private readonly rights: ProbePermits,
    private readonly options: ProberOptions,
  ) {
    this.changes = service.onServersChanged(() => this.followServers());
    this.followServers();
  }

  /** Probes a server for a peer, if this instance's right is due. */
  async probeForPeer(serverId: string): Promise<ProbeReport | undefined> {
    const server = this.service.backendServer(serverId);
    return server && (await this.probers.get(server)?.probeForPeer());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.changes[Symbol.dispose]();
    await Promise.all(
      [...this.probers.values()].map(prober => prober[Symbol.asyncDispose]()),
    );
  }

  private followServers(): void {
    const before = this.probers;
    this.probers = new Map(
      this.service.backendServers.map(server => [
        server,
        before.get(server) ?? this.startProber(server),
      ]),
    );
    // Asking for a right takes over a changed budget.
    this.service.backendServers.forEach(server => this.rightOf(server));
    [...before]
      .filter(([server]) => !this.probers.has(server))
      .forEach(([, prober]) => void prober[Symbol.asyncDispose]());
  }

  private startProber(server: BackendServer): Prober {
    const right = this.rightOf(server);
    return new Prober(this.service, server, right, this.options);
  }

  private rightOf(server: BackendServer): ProbePermit {
    return this.rights.forAddress(
      server.cfg.address,
      this.service.config.budgets,
    );
  }
}
