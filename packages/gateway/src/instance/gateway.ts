/** One entry instance on a platform whose store keeps registry and configuration. */
import {
  type Clock,
  Deployment,
  ProbeRateLimiter,
  type Random,
  type RoutingConfiguration,
  SeededRandom,
  type SendBudgetTerms,
  type ServerEntry,
} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import {BackendDesk} from '../backend_server/backend_desk.js';
import {Prober} from '../backend_server/prober.js';
import {FrontServer} from '../caller/front_server.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {RowSource} from '../platform/row_source.js';
import type {FleetDirectory} from '../peer/fleet_directory.js';
import {NewsExchange} from '../peer/news_exchange.js';
import {type FollowPace, TableFollower} from '../platform/table_follower.js';
import type {WireFormat} from '../platform/wire_format.js';
import {runRequest} from '../request/request_run.js';
import {WaitingRooms} from '../request/waiting_room.js';
import {ConfigurationSink} from './configuration_sink.js';
import {RegistrySink} from './registry_sink.js';

/** Time for which callers may keep an address answer, milliseconds. */
const KEEP_ADDRESS_MS = 1_000;
/** Callers may keep it for this many times as long. */
const KEEP_OVERRUN = 3;
/** Part of the grace period after which what is left is cut. */
const GRACE_PART = 0.97;
/** Wait of instances that read for others, milliseconds: see `TablePosition`. */
const READER_WAIT_MS = 1_000;
/**
 * The wait bounds how long a connection to the store may be silent before that
 * is noticed; configurations have to be in force within two seconds.
 */
const CONFIGURATION_PACE: FollowPace = {
  waitMs: 2_000,
  readerWaitMs: READER_WAIT_MS,
  gatherMs: 100,
};
/**
 * Health checks tell of leaving servers too, so the wait may be longer. Entries
 * of many servers change all the time: they are read together.
 */
const REGISTRY_PACE: FollowPace = {
  waitMs: 5_000,
  readerWaitMs: READER_WAIT_MS,
  gatherMs: 700,
};
/** Pause between two looks at what is in flight, milliseconds. */
const DRAIN_LOOK_MS = 20;

/** What a gateway is made of. */
export interface GatewayOptions {
  readonly instance: string;
  readonly failureDomain: string;
  /** Where callers connect. */
  readonly callers: {readonly host: string; readonly port: number};
  /** Where other instances connect. */
  readonly peers: {readonly host: string; readonly port: number};
  readonly fleet: FleetDirectory;
  readonly budget: SendBudgetTerms;
  /** Bound on the probes of each server in a second, over all instances. */
  readonly probesPerServerPerS: number;
  /** Time from the signal to stop until the process is ended, milliseconds. */
  readonly graceMs: number;
  readonly wire: WireFormat;
  readonly registry: RowSource<ServerEntry>;
  readonly configurations: RowSource<RoutingConfiguration>;
  readonly clock: Clock;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** What a caller is told who asks where to connect. */
export interface AddressAnswer {
  /** Addresses of instances, IP and port. */
  readonly addresses: readonly string[];
  /** Time for which the answer may be kept, milliseconds. */
  readonly ttlMs: number;
}

/** The entry instance. */
export class Gateway implements AsyncDisposable {
  private readonly deployment: Deployment;
  private readonly backends: BackendDesk;
  private readonly callers: FrontServer;
  private readonly registrySink: RegistrySink;
  private readonly tasks = new AbortController();
  private running: Promise<unknown> = Promise.resolve();
  private stopping = false;

  private constructor(
    private readonly parts: GatewayOptions,
    private readonly exchange: NewsExchange,
    random: Random,
  ) {
    const {clock, log, metrics, wire, failureDomain, budget} = parts;
    this.deployment = new Deployment({failureDomain, budget, random});
    this.backends = new BackendDesk(wire);
    const allowance = new ProbeRateLimiter(() => ({
      perServerPerS: parts.probesPerServerPerS,
      servers: this.deployment.serversTakingWork,
      instances: exchange.instances,
    }));
    const prober = new Prober(this.backends, clock, log, allowance);
    const desk = {
      deployment: this.deployment,
      rooms: new WaitingRooms(prober, clock),
      prober,
      backends: this.backends,
      clock,
      log,
      metrics,
    };
    this.callers = new FrontServer(
      request => runRequest(desk, request),
      wire,
      clock,
    );
    metrics.watch({
      configurationVersion: () =>
        this.deployment.routes?.configuration.version ?? 0,
      servers: () => this.deployment.serversTakingWork,
      probes: () => prober.sent,
      inFlight: () => this.callers.inFlight,
    });
    this.registrySink = new RegistrySink(
      this.deployment,
      this.backends,
      clock,
      log,
    );
  }

  /** Starts to serve; rejects if the address is taken. */
  static async start(parts: GatewayOptions): Promise<Gateway> {
    const {instance, failureDomain, peers, fleet, clock, log} = parts;
    const random = new SeededRandom(seedOf(instance));
    const address = `${peers.host}:${peers.port}`;
    const self = {id: instance, failureDomain, address};
    const exchange = await NewsExchange.start({
      self,
      peers,
      fleet,
      clock,
      random,
      log,
    });
    const gateway = new Gateway(parts, exchange, random);
    const {host, port} = parts.callers;
    await gateway.callers.listen(port, host);
    gateway.followTables();
    return gateway;
  }

  /** Whether callers should come here. */
  get isReady(): boolean {
    return this.deployment.isKnown && !this.stopping;
  }

  /** Where callers should connect; undefined if they should ask elsewhere. */
  addresses(): AddressAnswer | undefined {
    if (!this.isReady) return undefined;
    const {host, port} = this.parts.callers;
    return {addresses: [`${host}:${port}`], ttlMs: KEEP_ADDRESS_MS};
  }

  /**
   * Stops: callers are sent elsewhere at once and served until they have moved;
   * then what is in flight ends. Resolves with whether all of it was answered.
   */
  async stop(): Promise<boolean> {
    const {graceMs, log, clock} = this.parts;
    const until = clock.now() + graceMs * GRACE_PART;
    this.stopping = true;
    this.callers.startClosing();
    await this.exchange.leave();
    log.lifecycle('stopping', {graceMs});
    await delay(KEEP_ADDRESS_MS * KEEP_OVERRUN);
    this.callers.stopListening();
    while (this.callers.inFlight > 0 && clock.now() < until) {
      await delay(DRAIN_LOOK_MS);
    }
    const drained = this.callers.inFlight === 0;
    log.lifecycle('stopped', {drained});
    return drained;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.tasks.abort();
    this.registrySink[Symbol.dispose]();
    this.callers.stopListening();
    this.backends[Symbol.dispose]();
    await this.exchange[Symbol.asyncDispose]();
    await this.running;
  }

  private followTables(): void {
    const {registry, configurations, clock, log, metrics} = this.parts;
    const configurationSink = new ConfigurationSink(
      this.deployment,
      log,
      bounds => this.callers.bound(bounds),
    );
    const desk = {exchange: this.exchange, clock, log, metrics};
    const followers = [
      new TableFollower(
        'registry',
        registry,
        this.registrySink,
        desk,
        REGISTRY_PACE,
      ),
      new TableFollower(
        'configuration',
        configurations,
        configurationSink,
        desk,
        CONFIGURATION_PACE,
      ),
    ];
    const {signal} = this.tasks;
    const tasks = [...followers, this.exchange].map(task => task.run(signal));
    this.running = Promise.all(tasks);
  }
}

/** Returns a seed that differs between instances. */
function seedOf(instance: string): number {
  return [...instance].reduce(
    (seed, char) => (seed * 31 + char.charCodeAt(0)) | 0,
    process.pid,
  );
}
