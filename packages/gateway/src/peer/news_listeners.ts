/** The instances that listen to this one, each served by its own task. */
import type {TableUpdate} from '@ragworthall/balancer';
import {PeerListener, type PeerSocket} from '@ragworthall/daemon';
import type {GatewayLog} from '../log/gateway_log.js';
import type {StoredRow} from '../platform/row_source.js';
import type {ListenMessage} from './news_handshake.js';
import {NEWS_CODEC, NEWS_FORMAT, type NewsMessage} from './news_message.js';
import {PassedOver} from './passed_over.js';

/** Largest message that is accepted from a listener, bytes. */
const MAX_LISTENER_MESSAGE_BYTES = 4_096;
/** Rows above this size are not relayed: each instance reads them from the store, bytes. */
const MAX_RELAYED_ROWS_BYTES = 16_384;

interface Listener {
  readonly socket: PeerSocket<NewsMessage>;
  readonly givesRows: boolean;
}

/** Returns the subscription of an instance; undefined if the other end is none. */
export type ListenerCheck = (
  socket: PeerSocket<NewsMessage>,
) => Promise<ListenMessage | undefined>;

/** Publishes the changes that this instance reads from the store. */
export class NewsListeners implements AsyncDisposable {
  private readonly listeners = new Set<Listener>();

  private constructor(
    private readonly server: PeerListener<NewsMessage>,
    private readonly log: GatewayLog,
    private readonly accept: ListenerCheck,
    private readonly onCountChange: () => void,
  ) {
    server.onSocket(socket => void this.serve(socket));
  }

  /** Starts to accept links; rejects if the address is in use. */
  static async start(
    address: {readonly host: string; readonly port: number},
    log: GatewayLog,
    accept: ListenerCheck,
    onCountChange: () => void,
  ): Promise<NewsListeners> {
    const {host, port} = address;
    const server = await PeerListener.listen(
      host,
      port,
      NEWS_CODEC,
      MAX_LISTENER_MESSAGE_BYTES,
    );
    return new NewsListeners(server, log, accept, onCountChange);
  }

  /** Number of instances that listen. */
  get count(): number {
    return this.listeners.size;
  }

  /** Publishes an update of a table. */
  publish(table: string, update: TableUpdate<StoredRow>, hops: number): void {
    const summary = withoutRows(update);
    const full = exceedsRelayLimit(update) ? summary : update;
    this.listeners.forEach(({socket, givesRows}) => {
      const relayed = givesRows ? full : summary;
      socket.send({
        kind: 'news',
        format: NEWS_FORMAT,
        table,
        news: relayed,
        hops,
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.server[Symbol.asyncDispose]();
  }

  private async serve(socket: PeerSocket<NewsMessage>): Promise<void> {
    using link = socket;
    const listen = await this.accept(link);
    if (!listen) return;
    const {instance, givesRows, format} = listen;
    new PassedOver(instance, this.log).recordFormat(format);
    const listener: Listener = {socket, givesRows};
    this.listeners.add(listener);
    this.log.dependency('listener_joined', {peer: instance, givesRows});
    this.onCountChange();
    while (await link.receive());
    this.listeners.delete(listener);
    const cause = link.error?.kind;
    this.log.dependency('listener_left', {peer: instance, cause});
    this.onCountChange();
  }
}

/** Returns the update without its rows. */
function withoutRows(update: TableUpdate<StoredRow>): TableUpdate<StoredRow> {
  if (update.kind !== 'rows') return update;
  const {era, version} = update;
  return {kind: 'changed', era, version};
}

function exceedsRelayLimit(update: TableUpdate<StoredRow>): boolean {
  if (update.kind !== 'rows') return false;
  const sizes = update.rows.map(({text}) => text?.length ?? 0);
  return sizes.reduce((sum, size) => sum + size, 0) > MAX_RELAYED_ROWS_BYTES;
}
