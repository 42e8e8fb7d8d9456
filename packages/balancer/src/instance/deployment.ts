/**
 * One instance's view of the deployment: the configuration in force and the
 * backend servers in the registry. Updates may arrive late, twice or never.
 */
import {Backpressure} from '../backend_server/backpressure.js';
import {
  isAtLeastAsRecent,
  type ServerEntry,
  SharedServer,
} from '../backend_server/shared_server.js';
import type {Random} from '../link/random.js';
import type {RoutingConfiguration} from '../route/route.js';
import {RouteTable} from '../route/route_table.js';
import {
  type FleetView,
  RepeatBudget,
  type RepeatBudgetLimits,
} from '../service/repeat_budget.js';
import type {LimitShares} from './limit_shares.js';
import {SharedService} from '../service/shared_service.js';

/** Options of a deployment. */
export interface DeploymentOptions {
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  readonly budget: RepeatBudgetLimits;
  readonly fleet: FleetView;
  readonly limitShares: LimitShares;
  readonly random: Random;
}

/** Number of processes that have left and are remembered. */
const MAX_LEFT = 10_000;

/** A server process as it was when its entry went. */
interface LeftServer {
  readonly startedAt: number;
  readonly sequence: number;
  /** What it had said of itself. */
  readonly backpressure: Backpressure;
}

/** Result of an update to the deployment. */
export const UpdateOutcome = {
  Taken: 'taken',
  /** Older than the known state. */
  Stale: 'stale',
  Unchanged: 'unchanged',
} as const;

/** One of the values of {@link UpdateOutcome}. */
export type UpdateOutcome = (typeof UpdateOutcome)[keyof typeof UpdateOutcome];

/** The deployment, as known to this instance. */
export class Deployment {
  private routeTable: RouteTable | undefined;
  private registryKnown = false;
  private contentsKnown = false;
  private knownListener: (() => void) | undefined;
  private readonly configurationListeners = new Set<() => void>();
  private readonly services = new Map<string, SharedService>();
  private readonly servers = new Map<string, SharedServer>();
  /** Server processes whose entries are gone, by id: an older row may name them again. */
  private readonly left = new Map<string, LeftServer>();

  constructor(private readonly options: DeploymentOptions) {}

  /** The routes in force; undefined until a configuration is known. */
  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  /**
   * Whether requests can be served: routes and servers are known, and the contents
   * under which servers ended as far as the store tells.
   */
  get isKnown(): boolean {
    return (
      this.routeTable !== undefined && this.registryKnown && this.contentsKnown
    );
  }

  /** Calls `listener` when requests can be served for the first time. */
  onceKnown(listener: () => void): void {
    this.knownListener = listener;
  }

  /** Calls `listener` whenever a configuration has been put in force. */
  onConfigured(listener: () => void): Disposable {
    this.configurationListeners.add(listener);
    return {
      [Symbol.dispose]: () => void this.configurationListeners.delete(listener),
    };
  }

  /** Ids of the known backend servers. */
  get serverIds(): readonly string[] {
    return [...this.servers.keys()];
  }

  /** Ids of the servers that may be asked for their health now. */
  checkableServerIds(now: number): readonly string[] {
    return [...this.servers.values()]
      .filter(s => s.acceptsRequests && !s.backpressure.wantsNothing(now))
      .filter(s => this.healthPathOf(s) !== undefined)
      .map(s => s.entry.id);
  }

  /** Path of the health check of a server; undefined if its service has none. */
  healthPathOf({entry}: SharedServer): string | undefined {
    return this.service(entry.service).settings?.healthPath;
  }

  /** Number of backend servers that take work. */
  get serversTakingWork(): number {
    return [...this.servers.values()].filter(s => s.acceptsRequests).length;
  }

  /** Returns a backend server by id. */
  server(id: string): SharedServer | undefined {
    return this.servers.get(id);
  }

  /** Returns a service by name, created if needed; it may have no server. */
  service(name: string): SharedService {
    const known = this.services.get(name);
    if (known) return known;
    const {failureDomain, random, budget, fleet} = this.options;
    const settings = this.settingsOf(name);
    const service = new SharedService(
      name,
      failureDomain,
      random,
      new RepeatBudget(budget, fleet),
      settings,
    );
    this.services.set(name, service);
    return service;
  }

  /** Puts a configuration in force if it is newer than the present one. */
  configure(configuration: RoutingConfiguration): UpdateOutcome {
    const {version} = configuration;
    const inForce = this.routeTable?.configuration.version ?? -Infinity;
    if (version < inForce) return UpdateOutcome.Stale;
    if (version === inForce) return UpdateOutcome.Unchanged;
    this.routeTable = new RouteTable(configuration, this.routeTable);
    this.services.forEach(service => {
      service.settings = this.settingsOf(service.name) ?? service.settings;
    });
    this.notifyIfKnown();
    this.configurationListeners.forEach(listener => listener());
    return UpdateOutcome.Taken;
  }

  /** Applies a registry entry; a restarted or moved server is added anew. */
  putServer(entry: ServerEntry, now: number): UpdateOutcome {
    const known = this.servers.get(entry.id);
    if (!known) {
      return this.leftAfter(entry)
        ? UpdateOutcome.Stale
        : this.addServer(entry, now);
    }
    if (!isAtLeastAsRecent(entry, known.entry)) return UpdateOutcome.Stale;
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

  /** Removes a backend server; nothing new is sent to it. */
  removeServer(id: string): boolean {
    const server = this.servers.get(id);
    if (!server) return false;
    this.servers.delete(id);
    this.rememberLeft(server);
    this.options.limitShares.forget(id);
    this.service(server.entry.service).remove(id);
    return true;
  }

  /** Whether an entry is no newer than the one with which its server left. */
  hasLeft(entry: ServerEntry): boolean {
    const left = this.left.get(entry.id);
    return (
      this.leftAfter(entry) ||
      (left?.startedAt === entry.startedAt && left.sequence === entry.sequence)
    );
  }

  /** Records that the registry was read in full. */
  markRegistryRead(): void {
    this.registryKnown = true;
    this.notifyIfKnown();
  }

  /** Records that the contents under which servers ended were read, or cannot be. */
  markContentsRead(): void {
    this.contentsKnown = true;
    this.notifyIfKnown();
  }

  private notifyIfKnown(): void {
    if (!this.isKnown) return;
    this.knownListener?.();
    this.knownListener = undefined;
  }

  /** Whether an entry is older than the one with which its server left. */
  private leftAfter({id, startedAt, sequence}: ServerEntry): boolean {
    const left = this.left.get(id);
    if (!left) return false;
    if (startedAt !== left.startedAt) return startedAt < left.startedAt;
    return sequence < left.sequence;
  }

  private addServer(entry: ServerEntry, now: number): UpdateOutcome {
    const server = new SharedServer(entry, now, this.backpressureOf(entry));
    this.servers.set(entry.id, server);
    this.service(entry.service).put(server);
    return UpdateOutcome.Taken;
  }

  /** What the process of an entry has said of itself, also before its entry lapsed. */
  private backpressureOf({id, startedAt}: ServerEntry): Backpressure {
    const {limitShares} = this.options;
    const left = this.left.get(id);
    const isSameProcess = left?.startedAt === startedAt;
    if (!isSameProcess || !left.backpressure.isLeaving) this.left.delete(id);
    if (isSameProcess) return left.backpressure;
    return new Backpressure(perS => limitShares.shareOf(id, perS));
  }

  private rememberLeft({entry, backpressure}: SharedServer): void {
    const {id, startedAt, sequence} = entry;
    // Insertion order: the one that left first is forgotten first.
    this.left.delete(id);
    this.left.set(id, {startedAt, sequence, backpressure});
    const oldest = this.left.keys().next();
    if (this.left.size > MAX_LEFT && !oldest.done)
      this.left.delete(oldest.value);
  }

  private settingsOf(name: string) {
    return this.routeTable?.configuration.services.find(s => s.name === name);
  }
}
