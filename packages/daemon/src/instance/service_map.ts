/** Configured services, each with the backend servers that this instance schedules. */
import {
  type Clock,
  type ConfigurationService,
  type Fleet,
  type Service,
} from '@ragworthall/balancer';
import type {
  Configuration,
  ServiceConfig,
  ServiceId,
} from '@ragworthall/contracts';
import type {ServingConfirmationHandover} from './serving_confirmation_handover.js';
import type {ScheduledService} from './scheduled_service.js';
import {ContractTable} from '../caller/contract_table.js';

/** Creates a service from its configuration, with the tasks that probe its servers. */
export type ServiceFactory = (cfg: ServiceConfig) => ScheduledService;

/** A service of the configuration in force. */
export interface ServiceEntry {
  readonly cfg: ServiceConfig;
  readonly service: Service;
  readonly scheduled: ScheduledService;
  readonly contracts: ContractTable;
  /** Number of backend servers that this instance schedules. */
  ownedServerCount: number;
}

/** Updates the services when the configuration or the ownership changes. */
export class ServiceMap implements AsyncDisposable {
  private entries: ReadonlyMap<ServiceId, ServiceEntry> = new Map();
  private readonly subscriptions: readonly Disposable[];

  constructor(
    configuration: ConfigurationService,
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly createService: ServiceFactory,
    private readonly handover: ServingConfirmationHandover,
  ) {
    this.subscriptions = [
      configuration.onChanged(cfg => this.reconfigure(cfg)),
      fleet.onOwnershipChanged(() => this.applyOwnership()),
    ];
    this.reconfigure(configuration.current());
  }

  get(serviceId: ServiceId): ServiceEntry | undefined {
    return this.entries.get(serviceId);
  }

  /** Returns all services of the configuration in force. */
  all(): readonly ServiceEntry[] {
    return [...this.entries.values()];
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.subscriptions.forEach(s => s[Symbol.dispose]());
    const scheduled = this.all().map(entry => entry.scheduled);
    await Promise.all(scheduled.map(s => s[Symbol.asyncDispose]()));
  }

  private reconfigure(cfg: Configuration): void {
    const known = this.entries;
    known.forEach((entry, id) => {
      if (!cfg.services.has(id)) this.retire(entry);
    });
    this.entries = new Map(
      [...cfg.services].map(([id, service]) => [
        id,
        this.createOrReuseEntry(id, service, known.get(id)),
      ]),
    );
  }

  private createOrReuseEntry(
    id: ServiceId,
    cfg: ServiceConfig,
    known: ServiceEntry | undefined,
  ): ServiceEntry {
    if (known && known.cfg === cfg) return known;
    const ownedCfg = this.withOwnedServers(id, cfg);
    known?.service.reconfigure(ownedCfg, this.clock.now());
    const scheduled = known?.scheduled ?? this.createService(ownedCfg);
    return {
      cfg,
      service: scheduled.service,
      scheduled,
      contracts: new ContractTable(cfg),
      ownedServerCount: ownedCfg.backendServers.length,
    };
  }

  /** Refuses the waiting calls of a service that was removed, and disposes of it. */
  private retire(entry: ServiceEntry): void {
    entry.ownedServerCount = 0;
    const withoutServers = {...entry.cfg, backendServers: []};
    entry.service.reconfigure(withoutServers, this.clock.now());
    void entry.scheduled[Symbol.asyncDispose]();
  }

  private applyOwnership(): void {
    const now = this.clock.now();
    this.entries.forEach((entry, id) => {
      const ownedCfg = this.withOwnedServers(id, entry.cfg);
      entry.ownedServerCount = ownedCfg.backendServers.length;
      const ids = new Set(ownedCfg.backendServers.map(s => s.id));
      const {backendServers} = entry.service;
      const reassigned = backendServers.filter(s => !ids.has(s.cfg.id));
      this.handover.sendFor(id, reassigned);
      entry.service.reconfigure(ownedCfg, now);
      this.handover.applyTo(entry.service);
    });
  }

  private withOwnedServers(id: ServiceId, cfg: ServiceConfig): ServiceConfig {
    const ownership = this.fleet.ownership(id, this.clock.now());
    const backendServers = cfg.backendServers.filter(s =>
      ownership.isOwn(s.id),
    );
    return {...cfg, backendServers};
  }
}
