/** The instances that listen to this one. One task for each. */
import type {TableUpdate} from '@ragworthall/balancer';
import {PeerListener, type PeerSocket} from '@ragworthall/daemon';
import type {GatewayLog} from '../log/gateway_log.js';
import type {StoredRow} from '../platform/row_source.js';
import {NEWS_CODEC, type NewsMessage} from './news_message.js';

/** Largest message that is taken, bytes. */
export const MAX_MESSAGE_BYTES = 1_048_576;
/** Rows above this size are read in the store by each instance, bytes. */
const MAX_ROWS_BYTES = 16_384;

interface Listener {
  readonly socket: PeerSocket<NewsMessage>;
  readonly givesRows: boolean;
}

/** Passes on what this instance reads. */
export class NewsListeners implements AsyncDisposable {
  private readonly listeners = new Set<Listener>();

  private constructor(
    private readonly server: PeerListener<NewsMessage>,
    private readonly log: GatewayLog,
    private readonly onChange: () => void,
  ) {
    server.onLink(socket => void this.serve(socket));
  }

  /** Starts to listen; rejects if the address is taken. */
  static async start(
    address: {readonly host: string; readonly port: number},
    log: GatewayLog,
    onChange: () => void,
  ): Promise<NewsListeners> {
    const {host, port} = address;
    const server = await PeerListener.listen(
      host,
      port,
      NEWS_CODEC,
      MAX_MESSAGE_BYTES,
    );
    return new NewsListeners(server, log, onChange);
  }

  /** Number of instances that listen. */
  get count(): number {
    return this.listeners.size;
  }

  /** Passes news of a table on. */
  publish(table: string, news: TableUpdate<StoredRow>): void {
    const brief = briefly(news);
    const whole = isLarge(news) ? brief : news;
    this.listeners.forEach(({socket, givesRows}) => {
      const told = givesRows ? whole : brief;
      socket.send({kind: 'news', table, news: told});
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.server[Symbol.asyncDispose]();
  }

  private async serve(socket: PeerSocket<NewsMessage>): Promise<void> {
    using link = socket;
    const first = await link.receive();
    if (first?.kind !== 'message' || first.message.kind !== 'listen') return;
    const {instance, givesRows} = first.message;
    const listener: Listener = {socket, givesRows};
    this.listeners.add(listener);
    this.log.dependency('listener_joined', {peer: instance, givesRows});
    this.onChange();
    while (await link.receive());
    this.listeners.delete(listener);
    const cause = link.error?.kind;
    this.log.dependency('listener_left', {peer: instance, cause});
    this.onChange();
  }
}

/** The same news without rows. */
function briefly(news: TableUpdate<StoredRow>): TableUpdate<StoredRow> {
  if (news.kind !== 'rows') return news;
  return {kind: 'changed', version: news.version};
}

function isLarge(news: TableUpdate<StoredRow>): boolean {
  if (news.kind !== 'rows') return false;
  const sizes = news.rows.map(({text}) => text?.length ?? 0);
  return sizes.reduce((sum, size) => sum + size, 0) > MAX_ROWS_BYTES;
}
