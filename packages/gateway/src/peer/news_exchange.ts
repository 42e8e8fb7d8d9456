/** What instances tell each other of the platform's store. */
import {
  type Clock,
  type InstanceEntry,
  type NewsSource,
  NewsSources,
  type Random,
  type TableNews,
} from '@ragworthall/balancer';
import {
  Dialler,
  type LinkError,
  linkErrorMessage,
  PeerSocket,
} from '@ragworthall/daemon';
import type {Result} from 'neverthrow';
import {pause} from '../instance/pause.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {StoredRow, StoreError} from '../platform/row_source.js';
import type {FleetDirectory} from './fleet_directory.js';
import {MAX_MESSAGE_BYTES, NewsListeners} from './news_listeners.js';
import {NEWS_CODEC, type NewsMessage} from './news_message.js';

/** Time without a message after which a source is given up, milliseconds. */
const SILENT_MS = 2_300;
/** Time after the start in which the others have announced themselves, milliseconds. */
const SETTLE_MS = 1_500;
/** Longest random part of that time, milliseconds. */
const SETTLE_JITTER_MS = 1_000;
/** Pause before a call to the store that failed is made again, milliseconds. */
const RETRY_MS = 800;
/** Pause before the list of instances is read again, milliseconds. */
const RELIST_MS = 60_000;
/** Pause before sources are chosen anew, milliseconds. */
const CHOOSE_MS = 1_000;
const RANDOM_STEPS = 1_024;

/** Takes in news of a table. */
export type NewsHandler = (news: TableNews<StoredRow>) => void;

/** What an exchange is made of. */
export interface NewsExchangeParts {
  readonly self: InstanceEntry;
  /** Where other instances connect. */
  readonly peers: {readonly host: string; readonly port: number};
  readonly fleet: FleetDirectory;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: GatewayLog;
}

/** One instance's links to those it listens to and those that listen to it. */
export class NewsExchange implements AsyncDisposable {
  private readonly sources: NewsSources;
  private readonly handlers = new Map<string, NewsHandler>();
  private readonly wakers = new Set<() => void>();
  private readonly dialler: Dialler;
  private chosen: readonly NewsSource[] = [];
  private listeners!: NewsListeners;

  private constructor(private readonly parts: NewsExchangeParts) {
    this.sources = new NewsSources(parts.self);
    this.dialler = new Dialler(
      (address, signal) => this.listenTo(address, signal),
      () => this.fraction(),
    );
  }

  /** Starts to take links; rejects if the address is taken. */
  static async start(parts: NewsExchangeParts): Promise<NewsExchange> {
    const exchange = new NewsExchange(parts);
    exchange.listeners = await NewsListeners.start(parts.peers, parts.log, () =>
      exchange.wake(),
    );
    return exchange;
  }

  /** Known instances of the fleet; 0 before the list was read. */
  get instances(): number {
    return this.sources.size;
  }

  /** Whether other instances rely on what this one reads. */
  get isReader(): boolean {
    return this.listeners.count > 0;
  }

  /** Whether this instance has others to listen to. */
  get hasSources(): boolean {
    return this.chosen.length > 0;
  }

  /** Passes what was read to the instances that listen. */
  publish(table: string, news: TableNews<StoredRow>): void {
    this.listeners.publish(table, news);
  }

  /** Says who takes in the news of a table. */
  onNews(table: string, handler: NewsHandler): void {
    this.handlers.set(table, handler);
  }

  /** Calls `wake` when this instance may have to read by itself from now on. */
  onChange(wake: () => void): void {
    this.wakers.add(wake);
  }

  /** Sends the instances that listen elsewhere, since this one stops. */
  async leave(): Promise<void> {
    await this.listeners[Symbol.asyncDispose]();
  }

  /** Announces this instance and keeps to its sources until the signal comes. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.keepListed(signal), this.keepChosen(signal)]);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.dialler[Symbol.asyncDispose]();
    await this.listeners[Symbol.asyncDispose]();
  }

  /** Announces this instance, then reads now and then who else is there. */
  private async keepListed(signal: AbortSignal): Promise<void> {
    const {fleet, self} = this.parts;
    await this.insist('announce', signal, () => fleet.announce(self, signal));
    await pause(SETTLE_MS + SETTLE_JITTER_MS * this.fraction(), signal);
    while (!signal.aborted) {
      await this.insist('list', signal, async () => {
        const listed = await fleet.list(signal);
        return listed.map(instances => this.sources.setInstances(instances));
      });
      this.choose();
      await pause(RELIST_MS * (0.5 + this.fraction()), signal);
    }
  }

  /** Makes a call to the store until it succeeds. */
  private async insist(
    call: string,
    signal: AbortSignal,
    make: () => Promise<Result<unknown, StoreError>>,
  ): Promise<void> {
    while (!signal.aborted) {
      const made = await make();
      if (!made.isErr()) return;
      const {kind: cause, detail} = made.error;
      this.parts.log.dependency('fleet_call_failed', {call, cause, detail});
      await pause(RETRY_MS * (0.5 + this.fraction()), signal);
    }
  }

  private async keepChosen(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(CHOOSE_MS, signal);
      this.choose();
    }
  }

  private choose(): void {
    this.chosen = this.sources.wanted(this.parts.clock.now());
    this.dialler.setTargets(this.chosen.map(s => s.instance.address));
    this.wake();
  }

  /** Listens to one instance until the link ends. */
  private async listenTo(
    address: string,
    signal: AbortSignal,
  ): Promise<{readonly wasLinked: boolean; readonly err: LinkError}> {
    const source = this.chosen.find(s => s.instance.address === address);
    if (!source) return {wasLinked: false, err: {kind: 'disposed'}};
    using socket = await PeerSocket.dial(
      address,
      NEWS_CODEC,
      MAX_MESSAGE_BYTES,
      signal,
    );
    const {givesRows, instance} = source;
    const wasLinked = socket.send({
      kind: 'listen',
      instance: this.parts.self.id,
      givesRows,
    });
    const onAbort = () => socket.end({kind: 'disposed'});
    signal.addEventListener('abort', onAbort, {once: true});
    if (wasLinked) await this.hear(socket, source);
    signal.removeEventListener('abort', onAbort);
    const err = socket.error ?? {kind: 'disposed'};
    if (!signal.aborted) this.lost(instance, err);
    return {wasLinked, err};
  }

  private async hear(
    socket: PeerSocket<NewsMessage>,
    {instance, givesRows}: NewsSource,
  ): Promise<void> {
    this.parts.log.dependency('source_joined', {peer: instance.id, givesRows});
    for (;;) {
      const silence = setTimeout(
        () => socket.end({kind: 'silent', limitMs: SILENT_MS}),
        SILENT_MS,
      );
      const received = await socket.receive();
      clearTimeout(silence);
      if (!received) return;
      if (received.kind !== 'message' || received.message.kind !== 'news') {
        continue;
      }
      const {table, news} = received.message;
      this.sources.heard(instance.id);
      this.handlers.get(table)?.(news);
    }
  }

  private lost(instance: InstanceEntry, err: LinkError): void {
    const {clock, log} = this.parts;
    const detail = linkErrorMessage(err);
    log.dependency('source_lost', {peer: instance.id, cause: err.kind, detail});
    this.sources.failed(instance.id, clock.now());
    this.choose();
  }

  private wake(): void {
    this.wakers.forEach(wake => wake());
  }

  private fraction(): number {
    return this.parts.random.nextInt(RANDOM_STEPS) / RANDOM_STEPS;
  }
}
