/**
 * What one instance believes of the deployment: the configuration in force and
 * the backend servers of the registry. News may come twice, late or not at all.
 */
import {
  type ServerEntry,
  SharedServer,
} from '../backend_server/shared_server.js';
import type {Random} from '../link/random.js';
import type {RoutingConfiguration} from '../route/route.js';
import {RouteTable} from '../route/route_table.js';
import type {RepeatBudgetLimits} from '../service/repeat_budget.js';
import {isNewer, SharedService} from '../service/shared_service.js';

/** What a deployment is created with. */
export interface DeploymentOptions {
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  readonly budget: RepeatBudgetLimits;
  readonly random: Random;
}

/** What became of a piece of news. */
export const UpdateOutcome = {
  Taken: 'taken',
  /** Older than what is known. */
  Stale: 'stale',
  Unchanged: 'unchanged',
} as const;

/** One of the values of {@link UpdateOutcome}. */
export type UpdateOutcome = (typeof UpdateOutcome)[keyof typeof UpdateOutcome];

/** The deployment as this instance knows it. */
export class Deployment {
  private table: RouteTable | undefined;
  private registryKnown = false;
  private readonly services = new Map<string, SharedService>();
  private readonly servers = new Map<string, SharedServer>();

  constructor(private readonly options: DeploymentOptions) {}

  /** The routes in force; undefined until a configuration is known. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** Whether requests can be served: routes and servers are known. */
  get isKnown(): boolean {
    return this.table !== undefined && this.registryKnown;
  }

  /** Ids of the known backend servers. */
  get serverIds(): readonly string[] {
    return [...this.servers.keys()];
  }

  /** Number of backend servers that take work. */
  get serversTakingWork(): number {
    return [...this.servers.values()].filter(s => s.acceptsRequests).length;
  }

  /** One of the backend servers. */
  server(id: string): SharedServer | undefined {
    return this.servers.get(id);
  }

  /** The service of a name; it may have no server. */
  service(name: string): SharedService {
    const known = this.services.get(name);
    if (known) return known;
    const {failureDomain, random, budget} = this.options;
    const terms = this.termsOf(name);
    const service = new SharedService(
      name,
      failureDomain,
      random,
      budget,
      terms,
    );
    this.services.set(name, service);
    return service;
  }

  /** Puts a configuration in force unless a newer one is. */
  configure(configuration: RoutingConfiguration): UpdateOutcome {
    const {version} = configuration;
    const inForce = this.table?.configuration.version ?? -Infinity;
    if (version < inForce) return UpdateOutcome.Stale;
    if (version === inForce) return UpdateOutcome.Unchanged;
    this.table = new RouteTable(configuration, this.table);
    this.services.forEach(service => {
      service.terms = this.termsOf(service.name) ?? service.terms;
    });
    return UpdateOutcome.Taken;
  }

  /** Takes in an entry of the registry. */
  putServer(entry: ServerEntry, now: number): UpdateOutcome {
    const known = this.servers.get(entry.id);
    if (!known) return this.addServer(entry, now);
    if (!isNewer(entry, known.entry)) return UpdateOutcome.Stale;
    const sameProcess =
      entry.startedAt === known.entry.startedAt &&
      entry.address === known.entry.address &&
      entry.service === known.entry.service;
    if (!sameProcess) {
      this.removeServer(entry.id);
      return this.addServer(entry, now);
    }
    known.update(entry, now);
    return UpdateOutcome.Taken;
  }

  /** Takes a backend server out; nothing new is sent there. */
  removeServer(id: string): boolean {
    const server = this.servers.get(id);
    if (!server) return false;
    this.servers.delete(id);
    this.service(server.entry.service).remove(id);
    return true;
  }

  /** Notes that the registry was read in whole. */
  markRegistryRead(): void {
    this.registryKnown = true;
  }

  private addServer(entry: ServerEntry, now: number): UpdateOutcome {
    const server = new SharedServer(entry, now);
    this.servers.set(entry.id, server);
    this.service(entry.service).put(server);
    return UpdateOutcome.Taken;
  }

  private termsOf(name: string) {
    return this.table?.configuration.services.find(s => s.name === name);
  }
}
