/**
 * Exchange of table updates between instances in `news` messages. An update
 * reports the changes of a table of the platform's store; an instance listens to
 * a few others, its sources, so that not every instance has to poll the store,
 * and passes on what it takes in.
 */
import {
  type Clock,
  type InstanceEntry,
  type UpdateSource,
  UpdateSources,
  type Random,
  type TableUpdate,
} from '@ragworthall/balancer';
import {
  Dialler,
  type LinkError,
  linkErrorMessage,
  PeerSocket,
} from '@ragworthall/daemon';
import {pause} from '../instance/pause.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {StoredRow} from '../platform/row_source.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {FleetDirectory} from './fleet_directory.js';
import {InstanceKeys, ProofKind} from './instance_keys.js';
import {InstanceRegistration} from './instance_registration.js';
import {
  acceptListener,
  type ListenMessage,
  subscribe,
} from './news_handshake.js';
import {NewsListeners} from './news_listeners.js';
import {NEWS_CODEC, type NewsMessage} from './news_message.js';
import {PassedOver} from './passed_over.js';

/** Largest message that is accepted from a source, bytes. */
const MAX_MESSAGE_BYTES = 1_048_576;
/** Time without a message after which a source is taken for lost, milliseconds. */
const SILENCE_TIMEOUT_MS = 2_300;
/** Interval at which the sources are chosen again, milliseconds. */
const CHOOSE_INTERVAL_MS = 1_000;
const RANDOM_STEPS = 1_024;

/**
 * How often an update is passed on: by the first instance of a failure domain. A
 * limit also ends updates that would go round between instances that disagree.
 */
const MAX_HOPS = 1;

/**
 * Handles an update of a table; returns whether to pass it on.
 *
 * @param givesRows Whether the source sends rows, rather than announcements.
 */
export type UpdateHandler = (
  update: TableUpdate<StoredRow>,
  givesRows: boolean,
) => boolean;

/** Settings and dependencies of a news exchange. */
export interface NewsExchangeOptions {
  readonly self: InstanceEntry;
  /** Where other instances connect. */
  readonly peers: {readonly host: string; readonly port: number};
  readonly fleet: FleetDirectory;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** The links of one instance to its sources and to its listeners. */
export class NewsExchange implements AsyncDisposable {
  /** By which other instances prove to this one that they are instances. */
  readonly keys = new InstanceKeys();
  private readonly sources: UpdateSources;
  private readonly registration: InstanceRegistration;
  private readonly handlers = new Map<string, UpdateHandler>();
  private readonly roleListeners = new Set<() => void>();
  private readonly dialler: Dialler;
  private chosenSources: readonly UpdateSource[] = [];
  /** What decides whether this instance polls the store, as a text. */
  private role = '';
  private listeners!: NewsListeners;

  private constructor(private readonly options: NewsExchangeOptions) {
    this.sources = new UpdateSources(options.self);
    this.registration = new InstanceRegistration(
      options,
      this.sources,
      this.keys,
      () => this.chooseSources(),
    );
    this.dialler = new Dialler(
      (address, signal) => this.listenTo(address, signal),
      () => this.randomFraction(),
    );
  }

  /** Starts to accept links; rejects if the address is in use. */
  static async start(options: NewsExchangeOptions): Promise<NewsExchange> {
    const exchange = new NewsExchange(options);
    exchange.listeners = await NewsListeners.start(
      options.peers,
      options.log,
      socket => exchange.acceptListener(socket),
      () => exchange.notifyRoleChange(),
    );
    return exchange;
  }

  /** Number of known instances of the fleet; 0 until the list has been read. */
  get instanceCount(): number {
    return this.sources.size;
  }

  /** The known instances; empty until the list has been read. */
  get instances(): readonly InstanceEntry[] {
    return this.sources.instances;
  }

  /** Ids of the known instances; empty until the list has been read. */
  get instanceIds(): readonly string[] {
    return this.sources.instanceIds;
  }

  /** Whether the list names an instance of a build without a key. */
  get hasEarlierBuilds(): boolean {
    return this.instances.some(({key}) => key === undefined);
  }

  /** Whether the list of instances has been read. */
  get isFleetKnown(): boolean {
    return this.sources.size > 0;
  }

  /** Whether other instances listen to this one. */
  get hasListeners(): boolean {
    return this.listeners.count > 0;
  }

  /** Whether this instance listens to others. */
  get hasSources(): boolean {
    return this.chosenSources.length > 0;
  }

  /** Publishes what this instance read in the store to the listeners. */
  publish(table: string, update: TableUpdate<StoredRow>): void {
    this.listeners.publish(table, update, 0);
  }

  /** Sets the handler of the updates of a table. */
  onUpdate(table: string, handler: UpdateHandler): void {
    this.handlers.set(table, handler);
  }

  /** Calls `wake` whenever this instance may have to start polling the store itself. */
  onRoleChange(wake: () => void): void {
    this.roleListeners.add(wake);
  }

  /** Reads the list of instances soon: those that were added may be missing. */
  refreshInstances(): void {
    this.registration.refresh();
  }

  /** Records that the store was restored from an older copy. */
  storeRestored(): void {
    this.registration.storeRestored();
  }

  /** Disconnects the listeners, since this instance stops; they choose other sources. */
  async dropListeners(): Promise<void> {
    await this.listeners[Symbol.asyncDispose]();
  }

  /** Announces this instance and maintains its sources until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.registration.run(signal),
      this.refreshSources(signal),
    ]);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.dialler[Symbol.asyncDispose]();
    await this.listeners[Symbol.asyncDispose]();
  }

  private async refreshSources(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(CHOOSE_INTERVAL_MS, signal);
      this.chooseSources();
    }
  }

  private chooseSources(): void {
    this.chosenSources = this.sources.select(this.options.clock.now());
    this.dialler.setTargets(this.chosenSources.map(s => s.instance.address));
    const sources = this.chosenSources.map(
      ({instance, givesRows}) => `${instance.id} ${givesRows}`,
    );
    const role = [this.isFleetKnown, ...sources].join();
    if (role === this.role) return;
    this.role = role;
    this.notifyRoleChange();
  }

  /** Listens to a source until the link ends. */
  private async listenTo(
    address: string,
    signal: AbortSignal,
  ): Promise<{readonly wasLinked: boolean; readonly err: LinkError}> {
    const source = this.chosenSources.find(s => s.instance.address === address);
    if (!source) return {wasLinked: false, err: {kind: 'disposed'}};
    using socket = await PeerSocket.dial(
      address,
      NEWS_CODEC,
      MAX_MESSAGE_BYTES,
      signal,
    );
    const {givesRows, instance} = source;
    const onAbort = () => socket.end({kind: 'disposed'});
    signal.addEventListener('abort', onAbort, {once: true});
    const self = {instance: this.options.self.id, givesRows};
    const wasLinked = await subscribe(socket, self, instance.key);
    if (wasLinked) await this.receiveUpdates(socket, source);
    signal.removeEventListener('abort', onAbort);
    const err = socket.error ?? {kind: 'disposed'};
    if (err.kind === 'unproven') {
      this.recordUnproven(ProofKind.Source, instance.id);
      // It may have a newer key.
      this.refreshInstances();
    }
    if (!signal.aborted) this.sourceLost(instance, err);
    return {wasLinked, err};
  }

  private async receiveUpdates(
    socket: PeerSocket<NewsMessage>,
    {instance, givesRows}: UpdateSource,
  ): Promise<void> {
    this.options.log.dependency('source_joined', {
      peer: instance.id,
      givesRows,
    });
    const passedOver = new PassedOver(instance.id, this.options.log);
    for (;;) {
      const silenceTimer = setTimeout(
        () => socket.end({kind: 'silent', limitMs: SILENCE_TIMEOUT_MS}),
        SILENCE_TIMEOUT_MS,
      );
      const received = await socket.receive();
      clearTimeout(silenceTimer);
      if (!received) return;
      if (received.kind === 'unknown') passedOver.record(received.name);
      if (received.kind !== 'message' || received.message.kind !== 'news') {
        continue;
      }
      const {table, news, hops} = received.message;
      passedOver.recordFormat(received.message.format);
      this.sources.recordMessage(instance.id);
      const handler = this.handlers.get(table);
      if (!handler) passedOver.record(`table ${table}`);
      const isPassedOn = handler?.(news, givesRows) ?? false;
      if (isPassedOn && hops < MAX_HOPS) {
        this.listeners.publish(table, news, hops + 1);
      }
    }
  }

  private async acceptListener(
    socket: PeerSocket<NewsMessage>,
  ): Promise<ListenMessage | undefined> {
    const {keys, hasEarlierBuilds} = this;
    const listen = await acceptListener(socket, keys, hasEarlierBuilds);
    if (socket.error?.kind === 'unproven') {
      this.recordUnproven(ProofKind.Listener, '');
    }
    return listen;
  }

  private recordUnproven(kind: ProofKind, from: string): void {
    this.options.log.messageUnproven(kind, from);
    this.options.metrics.messageUnproven(kind);
  }

  private sourceLost(instance: InstanceEntry, err: LinkError): void {
    const {clock, log} = this.options;
    const detail = linkErrorMessage(err);
    log.dependency('source_lost', {peer: instance.id, cause: err.kind, detail});
    this.sources.recordFailure(instance.id, clock.now());
    this.chooseSources();
  }

  private notifyRoleChange(): void {
    this.roleListeners.forEach(wake => wake());
  }

  private randomFraction(): number {
    return this.options.random.nextInt(RANDOM_STEPS) / RANDOM_STEPS;
  }
}
