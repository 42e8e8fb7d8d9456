/**
 * The backend servers of a service, sorted into those that may get a call now
 * and the rest. Keeping the ready ones in a list of their own makes a choice
 * independent of the number of servers.
 */
import TinyQueue from 'tinyqueue';
import type {BackendServer} from '../backend_server/backend_server.js';
import type {Random} from '../link/random.js';

/** Most servers that one choice looks at. */
const MAX_CANDIDATES = 32;
/** Servers that a choice looks at if there are more than that. */
const SAMPLE_SIZE = 16;
/** Shortest time between two counts of the servers, milliseconds. */
const STATS_INTERVAL_MS = 50;
/** Servers for each further millisecond between two counts. */
const SERVERS_PER_STATS_MS = 50;

/** Shortest time until a server that is not ready is looked at, milliseconds. */
const MIN_DELAY_MS = 1;

/** A server that becomes ready by time alone. */
interface DelayedServer {
  readonly server: BackendServer;
  readonly at: number;
}

/** Counts of a service's servers at one moment. */
export interface PoolStats {
  /** Servers that stay and have a fresh sign of that. */
  readonly usable: number;
  /** Time from which none of them is, unless new signs come. */
  readonly usableUntil: number;
  /** Slots of the usable servers. */
  readonly slots: number;
  /** Slots of those that are neither ejected nor stragglers. */
  readonly fastSlots: number;
  /** Whether most usable servers look sick: the measurement is suspect. */
  readonly mostEjected: boolean;
}

/** Servers, ready or not. */
export class ServerPool {
  private servers: readonly BackendServer[] = [];
  private readonly ready: BackendServer[] = [];
  private delayed = new TinyQueue<DelayedServer>([], (a, b) => a.at - b.at);
  private readonly delayedUntil = new Map<BackendServer, number>();
  /** Reused by each choice, so that none allocates. */
  private readonly candidates: BackendServer[] = [];
  private currentStats: PoolStats = {
    usable: 0,
    usableUntil: -Infinity,
    slots: 0,
    fastSlots: 0,
    mostEjected: false,
  };
  private statsAt = -Infinity;

  constructor(
    private readonly random: Random,
    private readonly overcommit: number,
  ) {}

  /** All servers. */
  get all(): readonly BackendServer[] {
    return this.servers;
  }

  /** Whether any server may be ready. */
  get hasReady(): boolean {
    return this.ready.length > 0;
  }

  /** Time at which a server becomes ready by time alone. */
  get nextReadyAt(): number {
    return this.delayed.peek()?.at ?? Infinity;
  }

  /** Replaces the servers. */
  replace(servers: readonly BackendServer[], now: number): void {
    this.ready.forEach(server => (server.poolIndex = -1));
    this.ready.length = 0;
    this.delayed = new TinyQueue<DelayedServer>([], (a, b) => a.at - b.at);
    this.delayedUntil.clear();
    this.servers = servers;
    this.updateStats(now);
    servers.forEach(server => this.reclassify(server, now));
  }

  /** Sorts a server anew after anything about it has changed. */
  reclassify(server: BackendServer, now: number): void {
    const {mostEjected} = this.currentStats;
    const readiness = server.readiness(now, mostEjected, this.overcommit);
    switch (readiness.kind) {
      case 'ready':
        this.addReady(server);
        return;
      case 'later':
        this.removeReady(server);
        // Later in any case, however the times round: a look must not repeat.
        this.delay(server, Math.max(readiness.at, now + MIN_DELAY_MS));
        return;
      case 'blocked':
        this.removeReady(server);
        return;
      default:
        readiness satisfies never;
    }
  }

  /** Makes the next look at the counts count anew. */
  invalidateStats(): void {
    this.statsAt = -Infinity;
  }

  /** Sorts the servers anew whose rest is over. */
  reclassifyDue(now: number): void {
    let head = this.delayed.peek();
    while (head && head.at <= now) {
      this.delayed.pop();
      const {server, at} = head;
      if (this.delayedUntil.get(server) === at) {
        this.delayedUntil.delete(server);
        this.reclassify(server, now);
      }
      head = this.delayed.peek();
    }
  }

  /**
   * Fills the list of candidates with ready servers that `accepts` passes, and
   * returns their number: all of a small pool, a random sample of a large one.
   */
  gatherCandidates(
    now: number,
    accepts: (server: BackendServer) => boolean,
  ): readonly BackendServer[] {
    this.candidates.length = 0;
    if (this.ready.length <= MAX_CANDIDATES) this.gatherAll(now, accepts);
    else this.gatherSample(now, accepts);
    return this.candidates;
  }

  /** Counts of the servers; counted anew when they are old. */
  stats(now: number): PoolStats {
    const lifetime = Math.max(
      STATS_INTERVAL_MS,
      this.servers.length / SERVERS_PER_STATS_MS,
    );
    if (now - this.statsAt < lifetime) return this.currentStats;
    const before = this.currentStats.mostEjected;
    this.updateStats(now);
    if (this.currentStats.mostEjected !== before) {
      this.servers.forEach(server => this.reclassify(server, now));
    }
    return this.currentStats;
  }

  private gatherAll(
    now: number,
    accepts: (server: BackendServer) => boolean,
  ): void {
    // Backwards: a server that turns out not to be ready leaves the list.
    for (let i = this.ready.length - 1; i >= 0; i--) {
      this.addCandidate(this.ready[i]!, now, accepts);
    }
  }

  private gatherSample(
    now: number,
    accepts: (server: BackendServer) => boolean,
  ): void {
    for (let i = 0; i < SAMPLE_SIZE && this.ready.length > 0; i++) {
      const server = this.ready[this.random.nextInt(this.ready.length)]!;
      this.addCandidate(server, now, accepts);
    }
  }

  private addCandidate(
    server: BackendServer,
    now: number,
    accepts: (server: BackendServer) => boolean,
  ): void {
    const {mostEjected} = this.currentStats;
    // Time alone can end readiness: a sign grows old.
    const readiness = server.readiness(now, mostEjected, this.overcommit);
    if (readiness.kind !== 'ready') this.reclassify(server, now);
    else if (accepts(server)) this.candidates.push(server);
  }

  private addReady(server: BackendServer): void {
    this.delayedUntil.delete(server);
    if (server.poolIndex >= 0) return;
    server.poolIndex = this.ready.length;
    this.ready.push(server);
  }

  private removeReady(server: BackendServer): void {
    const index = server.poolIndex;
    if (index < 0) return;
    const last = this.ready.pop()!;
    if (last !== server) {
      this.ready[index] = last;
      last.poolIndex = index;
    }
    server.poolIndex = -1;
  }

  private delay(server: BackendServer, at: number): void {
    if (this.delayedUntil.get(server) === at) return;
    this.delayedUntil.set(server, at);
    this.delayed.push({server, at});
  }

  private updateStats(now: number): void {
    this.statsAt = now;
    let usable = 0;
    let usableUntil = -Infinity;
    let ejected = 0;
    let fastSlots = 0;
    let slots = 0;
    // A plain loop: up to 10,000 servers, twenty times a second at most.
    for (const server of this.servers) {
      if (!server.isUsable(now)) continue;
      usable += 1;
      usableUntil = Math.max(usableUntil, server.usableUntil);
      slots += server.cfg.slots;
      if (server.isEjected(now)) ejected += 1;
      else if (!server.slowness.isStraggler) fastSlots += server.cfg.slots;
    }
    const mostEjected = ejected * 2 > usable;
    this.currentStats = {usable, usableUntil, slots, fastSlots, mostEjected};
  }
}
