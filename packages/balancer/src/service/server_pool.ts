/**
 * The backend servers of a service, divided into those that may get a call now
 * and the rest. Ready servers are kept in a separate list so that the cost of a
 * choice does not depend on the total number of servers.
 */
import TinyQueue from 'tinyqueue';
import type {BackendServer} from '../backend_server/backend_server.js';
import type {Random} from '../link/random.js';

/** Maximum number of ready servers that are all considered for a choice. */
const MAX_CANDIDATES = 32;
/** Number of servers drawn at random for a choice if more are ready. */
const SAMPLE_SIZE = 16;
/**
 * Minimum time between two updates of the statistics, milliseconds. Longer in
 * large pools, see {@link SERVERS_PER_STATS_MS}.
 */
const STATS_INTERVAL_MS = 50;
/**
 * In large pools, the time between two updates of the statistics is one
 * millisecond per this number of servers.
 */
const SERVERS_PER_STATS_MS = 50;

/**
 * Minimum time until a server that is not ready is checked again, milliseconds.
 */
const MIN_DELAY_MS = 1;

/** A server that may become ready when a time has been reached. */
interface DelayedServer {
  readonly server: BackendServer;
  readonly at: number;
}

/** Statistics about a service's servers at one moment. */
export interface PoolStats {
  /** Number of servers that are confirmed, or assumed, not to be leaving. */
  readonly usable: number;
  /** Time from which none of them is usable without new confirmations. */
  readonly usableUntil: number;
  /** Total slots of the usable servers. */
  readonly slots: number;
  /**
   * Total slots of the usable servers that are neither ejected nor stragglers.
   */
  readonly fastSlots: number;
  /**
   * Whether most usable servers are ejected; the error detection is then not
   * trusted.
   */
  readonly mostEjected: boolean;
}

/** The servers of one service, classified by readiness. */
export class ServerPool {
  private servers: readonly BackendServer[] = [];
  private readonly ready: BackendServer[] = [];
  private delayed = new TinyQueue<DelayedServer>([], (a, b) => a.at - b.at);
  private readonly delayedUntil = new Map<BackendServer, number>();
  /** Reused for each choice to avoid allocations. */
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

  /**
   * Earliest time at which a delayed server may become ready; Infinity if there
   * is none.
   */
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
    servers.forEach(server => this.update(server, now));
  }

  /** Reclassifies a server after any change of its state. */
  update(server: BackendServer, now: number): void {
    const {mostEjected} = this.currentStats;
    const readiness = server.readiness(now, mostEjected, this.overcommit);
    switch (readiness.kind) {
      case 'ready':
        this.addReady(server);
        return;
      case 'later':
        this.removeReady(server);
        // Strictly in the future, whatever the rounding of the times: otherwise
        // the check would repeat without end.
        this.delay(server, Math.max(readiness.at, now + MIN_DELAY_MS));
        return;
      case 'blocked':
        this.removeReady(server);
        return;
      default:
        readiness satisfies never;
    }
  }

  /** Forces the next call of `stats` to update the statistics. */
  invalidateStats(): void {
    this.statsAt = -Infinity;
  }

  /** Reclassifies the delayed servers whose time has come. */
  updateDue(now: number): void {
    let head = this.delayed.peek();
    while (head && head.at <= now) {
      this.delayed.pop();
      const {server, at} = head;
      if (this.delayedUntil.get(server) === at) {
        this.delayedUntil.delete(server);
        this.update(server, now);
      }
      head = this.delayed.peek();
    }
  }

  /**
   * Returns ready servers that satisfy `accepts`: all of them if few are ready,
   * else a random sample. The next call reuses the returned array.
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

  /** Statistics about the servers, updated if they are out of date. */
  stats(now: number): PoolStats {
    const lifetime = Math.max(
      STATS_INTERVAL_MS,
      this.servers.length / SERVERS_PER_STATS_MS,
    );
    if (now - this.statsAt < lifetime) return this.currentStats;
    const before = this.currentStats.mostEjected;
    this.updateStats(now);
    if (this.currentStats.mostEjected !== before) {
      this.servers.forEach(server => this.update(server, now));
    }
    return this.currentStats;
  }

  private gatherAll(
    now: number,
    accepts: (server: BackendServer) => boolean,
  ): void {
    // In reverse order, because servers that are no longer ready are removed.
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
    // Readiness can end without an event: a confirmation expires.
    const readiness = server.readiness(now, mostEjected, this.overcommit);
    if (readiness.kind !== 'ready') this.update(server, now);
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
    // A plain loop for speed: up to 10,000 servers, at most 20 times a second.
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
