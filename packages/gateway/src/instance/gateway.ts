/** An entry instance on a platform whose store holds the registry and the configuration. */
import {
  Deployment,
  LimitShares,
  ProbeRateLimiter,
  type Random,
  type RoutingConfiguration,
  SeededRandom,
  type RepeatBudgetLimits,
  type ServerEntry,
  StatementSource,
  StopPlan,
} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import {
  type AnswerLimits,
  AnswerCosts,
} from '../backend_server/answer_costs.js';
import {BackendClient} from '../backend_server/backend_client.js';
import {Prober} from '../backend_server/prober.js';
import {StatementRecorder} from '../backend_server/statement_recorder.js';
import {type CallerMemory, CallerServer} from '../caller/caller_server.js';
import {ContentGuard} from '../content/content_guard.js';
import type {ContentTable} from '../content/content_table.js';
import {SharedContents} from '../content/shared_contents.js';
import {ProcessExaminer} from '../content/process_examiner.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {RowSource} from '../platform/row_source.js';
import type {FleetDirectory} from '../peer/fleet_directory.js';
import {NewsExchange} from '../peer/news_exchange.js';
import {RelayClient} from '../peer/relay_client.js';
import {RelayGate} from '../peer/relay_gate.js';
import {TableFollower} from '../platform/table_follower.js';
import {StoreWatch} from '../platform/store_watch.js';
import type {WireFormat} from '../platform/wire_format.js';
import {runRequest} from '../request/request_handler.js';
import {RequestQueues} from '../request/request_queue.js';
import {ConfigurationSink} from './configuration_sink.js';
import {drainConnections, drainLimits} from './drain.js';
import {pause} from './pause.js';
import {ReachMonitor} from './reach_monitor.js';
import {ASK_INTERVAL_MS, type ServingCheck} from './serving_instances.js';
import type {PauseGuard} from './pause_guard.js';
import {RegistrySink} from './registry_sink.js';
import {
  CONFIGURATION_TIMING,
  CONTENTS_TIMING,
  REGISTRY_TIMING,
} from './table_timings.js';

/** Time for which callers may cache an address answer, milliseconds. */
const ADDRESS_TTL_MS = 1_000;
/** Callers are assumed to cache an address answer for up to this multiple of its TTL. */
const ADDRESS_TTL_OVERRUN = 3;
/**
 * The same for an answer that names other instances: it may be older by the
 * interval at which they are asked, and a stopping one serves no longer for that.
 */
const OTHERS_TTL_MS = ADDRESS_TTL_MS - ASK_INTERVAL_MS;
/** Pause before a task that an error ended runs again, milliseconds. */
const TASK_RESTART_MS = 1_000;

/** Settings and dependencies of a gateway. */
export interface GatewayOptions {
  readonly instance: string;
  readonly failureDomain: string;
  /** Where callers connect. */
  readonly callers: {readonly host: string; readonly port: number};
  /** Where other instances connect. */
  readonly peers: {readonly host: string; readonly port: number};
  readonly fleet: FleetDirectory;
  readonly budget: RepeatBudgetLimits;
  readonly checkServing: ServingCheck;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Limit on the probes of each server per second, over all instances. */
  readonly probesPerServerPerS: number;
  /** Limits on the answers of backend servers that are being received. */
  readonly answerLimits: AnswerLimits;
  /** Memory for what is held for callers. */
  readonly callerMemory: CallerMemory;
  /** Time from the signal to stop until the process is ended, milliseconds. */
  readonly graceMs: number;
  readonly wire: WireFormat;
  readonly registry: RowSource<ServerEntry>;
  readonly configurations: RowSource<RoutingConfiguration>;
  readonly contents: ContentTable;
  readonly clock: PauseGuard;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** The answer to a caller that asks where to connect. */
export interface AddressAnswer {
  /** Addresses of instances, IP and port. */
  readonly addresses: readonly string[];
  /** Time for which the answer may be cached, milliseconds. */
  readonly ttlMs: number;
}

/** An entry instance. */
export class Gateway implements AsyncDisposable {
  private readonly deployment: Deployment;
  private readonly backendClient: BackendClient;
  private readonly relayClient: RelayClient;
  private readonly callerServer: CallerServer;
  private readonly registrySink: RegistrySink;
  private readonly contents: SharedContents;
  private readonly tasks = new AbortController();
  private running: Promise<unknown> = Promise.resolve();
  private readonly reach: ReachMonitor;
  private stopping = false;
  private stopPlan: StopPlan | undefined;

  private constructor(
    private readonly options: GatewayOptions,
    private readonly newsExchange: NewsExchange,
    random: Random,
  ) {
    const {clock, log, metrics, wire, failureDomain, budget} = options;
    this.deployment = new Deployment({
      failureDomain,
      budget,
      fleet: {
        instanceCount: () => newsExchange.instanceCount,
        restartedAt: options.isFirstStart ? -Infinity : clock.now(),
      },
      limitShares: new LimitShares(
        options.instance,
        () => newsExchange.instanceIds,
      ),
      random,
    });
    const statements = new StatementRecorder(clock, log, metrics);
    const costs = new AnswerCosts(options.answerLimits);
    this.backendClient = new BackendClient(wire, costs, (server, message) =>
      statements.record(server, message),
    );
    this.relayClient = new RelayClient(wire, costs, (id, head) => {
      const server = this.deployment.server(id);
      if (!server) return;
      const source = StatementSource.Answer;
      const parsed = wire.parseStatements(head, Date.now());
      statements.record(server, {source, ...parsed});
    });
    const probeRateLimiter = new ProbeRateLimiter(() => ({
      perServerPerS: options.probesPerServerPerS,
      servers: this.deployment.serversTakingWork,
      instances: newsExchange.instanceCount,
    }));
    this.reach = new ReachMonitor({
      self: {id: options.instance, failureDomain},
      deployment: this.deployment,
      backendClient: this.backendClient,
      instances: () => newsExchange.instances,
      refreshInstances: () => newsExchange.refreshInstances(),
      checkServing: options.checkServing,
      clock,
      random,
      log,
    });
    const prober = new Prober(
      this.backendClient,
      clock,
      log,
      probeRateLimiter,
      this.reach,
    );
    const queues = new RequestQueues(
      prober,
      clock,
      () => this.stopPlan,
      err => log.taskFailed('request_queue', err),
    );
    this.reach.onUnreachable(() => queues.release());
    this.contents = new SharedContents(
      options.instance,
      options.contents,
      log,
      () => this.deployment.markContentsRead(),
    );
    const context = {
      deployment: this.deployment,
      queues,
      prober,
      backendClient: this.backendClient,
      clock,
      random,
      instanceCount: () => newsExchange.instanceCount,
      stopPlan: () => this.stopPlan,
      reach: this.reach,
      relayClient: this.relayClient,
      contentGuard: new ContentGuard(
        this.contents,
        new ProcessExaminer(this.deployment, this.backendClient, clock),
        log,
      ),
      log,
      metrics,
    };
    const relayGate = new RelayGate(newsExchange, log, metrics);
    this.callerServer = new CallerServer(
      request => runRequest(context, relayGate.admit(request)),
      wire,
      clock,
      {
        onError: err => log.taskFailed('request', err),
        onCut: (caller, cut) =>
          log.stateChange('connection_cut', {caller, ...cut}),
        onRejected: (caller, cause) => {
          metrics.messageRejected(cause);
          log.messageRejected(caller, cause);
        },
      },
      options.callerMemory,
    );
    clock.onPause(ms => log.lifecycle('paused', {ms: Math.round(ms)}));
    metrics.registerGauges({
      configurationVersion: () =>
        this.deployment.routes?.configuration.version ?? 0,
      servers: () => this.deployment.serversTakingWork,
      probes: () => prober.sent,
      inFlight: () => this.callerServer.inFlight,
      suspectContents: () => this.contents.size,
      isCutOff: () => this.reach.isCutOff,
    });
    this.deployment.onceKnown(() =>
      log.lifecycle('ready', {sinceStartMs: Math.round(performance.now())}),
    );
    this.registrySink = new RegistrySink(
      this.deployment,
      this.backendClient,
      clock,
      log,
      () => this.reach.recordServerAdded(),
    );
  }

  /** Starts to serve; rejects if an address is in use. */
  static async start(options: GatewayOptions): Promise<Gateway> {
    const {instance, failureDomain, peers, fleet, clock, log, metrics} =
      options;
    const random = new SeededRandom(seedOf(instance));
    const address = `${peers.host}:${peers.port}`;
    const self = {id: instance, failureDomain, address};
    const exchange = await NewsExchange.start({
      self,
      peers,
      fleet,
      isFirstStart: options.isFirstStart,
      clock,
      random,
      log,
      metrics,
    });
    const gateway = new Gateway(options, exchange, random);
    const {host, port} = options.callers;
    await gateway.callerServer.listen(port, host);
    gateway.followTables();
    log.lifecycle('listening', {sinceStartMs: Math.round(performance.now())});
    return gateway;
  }

  /** Whether this instance accepts callers. */
  get isReady(): boolean {
    return this.deployment.isKnown && !this.stopping;
  }

  /**
   * Where callers should connect; undefined if this instance is not ready. While
   * it reaches no server it names instances that do; undefined if it finds none.
   */
  addresses(): AddressAnswer | undefined {
    if (!this.isReady) return undefined;
    const {host, port} = this.options.callers;
    const {isCutOff, isSilent, serving} = this.reach;
    const isElsewhere = isCutOff || (isSilent && serving.addresses.length > 0);
    if (!isElsewhere) {
      return {addresses: [`${host}:${port}`], ttlMs: ADDRESS_TTL_MS};
    }
    if (serving.addresses.length === 0) return undefined;
    return {addresses: serving.addresses, ttlMs: OTHERS_TTL_MS};
  }

  /**
   * Stops gracefully: answers no more address queries and keeps serving until
   * callers have moved to other instances, then waits until the requests in flight
   * are answered and their callers have read the answers. Resolves with whether
   * they all have.
   */
  async stop(): Promise<boolean> {
    const {graceMs, log, clock} = this.options;
    const limits = drainLimits(clock.now(), graceMs);
    this.stopping = true;
    this.stopPlan = new StopPlan(limits.answersUntil);
    this.callerServer.startClosing();
    await this.newsExchange.dropListeners();
    log.lifecycle('stopping', {graceMs});
    await delay(ADDRESS_TTL_MS * ADDRESS_TTL_OVERRUN);
    return await drainConnections(this.callerServer, limits, clock, log);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.tasks.abort();
    this.registrySink[Symbol.dispose]();
    void this.callerServer.stopListening();
    this.backendClient[Symbol.dispose]();
    this.relayClient[Symbol.dispose]();
    await this.newsExchange[Symbol.asyncDispose]();
    await this.running;
  }

  private followTables(): void {
    const {registry, configurations, contents} = this.options;
    const {clock, log, metrics} = this.options;
    const configurationSink = new ConfigurationSink(
      this.deployment,
      log,
      limits => this.callerServer.applyLimits(limits),
    );
    const context = {
      exchange: this.newsExchange,
      storeWatch: new StoreWatch(),
      clock,
      log,
      metrics,
    };
    const followers = [
      new TableFollower(
        'registry',
        registry,
        this.registrySink,
        context,
        REGISTRY_TIMING,
      ),
      new TableFollower(
        'configuration',
        configurations,
        configurationSink,
        context,
        CONFIGURATION_TIMING,
      ),
      new TableFollower(
        'contents',
        contents,
        this.contents,
        context,
        CONTENTS_TIMING,
      ),
    ];
    followers.forEach(follower =>
      this.options.clock.onPauseConfirm(() => follower.confirm()),
    );
    const {signal} = this.tasks;
    const tasks = [
      ...followers,
      this.contents,
      this.newsExchange,
      this.reach,
    ].map(task => this.keepRunning(task, signal));
    this.running = Promise.all(tasks);
  }

  /** Runs a task again after an error that ended it. */
  private async keepRunning(
    task: LongTask,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      try {
        await task.run(signal);
      } catch (err) {
        this.options.log.taskFailed(task.constructor.name, err);
        await pause(TASK_RESTART_MS, signal);
      }
    }
  }
}

/** A task that runs as long as the instance. */
interface LongTask {
  /** Runs until the signal is aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/** Returns a seed that differs between instances. */
function seedOf(instance: string): number {
  return [...instance].reduce(
    (seed, char) => (seed * 31 + char.charCodeAt(0)) | 0,
    process.pid,
  );
}
