/** The probers of the backend servers of one service. */
import type {Service} from '../service/service.js';
import type {BackendServer} from './backend_server.js';
import type {ProbePermit, ProbePermits} from './probe_permit.js';
import {Prober, type ProberOptions, type ProbeReport} from './prober.js';

/** Runs one prober for each backend server in the current configuration. */
export class ServiceProbers implements AsyncDisposable {
  private probers = new Map<BackendServer, Prober>();
  private readonly serversChangedListener: Disposable;

  constructor(
    private readonly service: Service,
    private readonly permits: ProbePermits,
    private readonly options: ProberOptions,
  ) {
    this.serversChangedListener = service.onServersChanged(() =>
      this.syncProbers(),
    );
    this.syncProbers();
  }

  /** Probes a server on behalf of a peer, if this instance's permit allows. */
  async probeForPeer(serverId: string): Promise<ProbeReport | undefined> {
    const server = this.service.backendServer(serverId);
    return server && (await this.probers.get(server)?.probeForPeer());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.serversChangedListener[Symbol.dispose]();
    await Promise.all(
      [...this.probers.values()].map(prober => prober[Symbol.asyncDispose]()),
    );
  }

  private syncProbers(): void {
    const previous = this.probers;
    this.probers = new Map(
      this.service.backendServers.map(server => [
        server,
        previous.get(server) ?? this.startProber(server),
      ]),
    );
    // Looking up a permit also applies a changed budget to it.
    this.service.backendServers.forEach(server => this.permitOf(server));
    [...previous]
      .filter(([server]) => !this.probers.has(server))
      .forEach(([, prober]) => void prober[Symbol.asyncDispose]());
  }

  private startProber(server: BackendServer): Prober {
    const permit = this.permitOf(server);
    return new Prober(this.service, server, permit, this.options);
  }

  private permitOf(server: BackendServer): ProbePermit {
    return this.permits.forAddress(
      server.cfg.address,
      this.service.config.budgets,
    );
  }
}
