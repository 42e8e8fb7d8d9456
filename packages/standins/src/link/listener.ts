/** The HTTP server of a stand-in and its open connections. */
import {once} from 'node:events';
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** The only address that stand-ins listen on. */
export const LOOPBACK = '127.0.0.1';

/**
 * An HTTP server on the loopback address whose connections can be destroyed or
 * silenced on demand.
 *
 * It has no idle timeout: only clients, injected faults and disposal close
 * connections.
 */
export class Listener implements AsyncDisposable {
  private server: http.Server | undefined;
  private readonly sockets = new Set<Socket>();
  private readonly silentSockets = new WeakSet<Socket>();
  private listeningPort = 0;

  constructor(
    private readonly onRequest: http.RequestListener,
    private readonly onConnection: () => void = () => {},
  ) {}

  /** The listening port; 0 before the first call of {@link listen}. */
  get port(): number {
    return this.listeningPort;
  }

  /** Base URL. */
  get url(): string {
    return `http://${LOOPBACK}:${this.listeningPort}`;
  }

  /** Starts listening; port 0 picks a free port. */
  async listen(port: number): Promise<void> {
    const server = http.createServer({noDelay: true});
    server.keepAliveTimeout = 0;
    server.headersTimeout = 0;
    server.requestTimeout = 0;
    server.on('connection', socket => this.trackSocket(socket));
    server.on('request', this.onRequest);
    server.listen(port, LOOPBACK);
    await once(server, 'listening');
    this.server = server;
    this.listeningPort = (server.address() as AddressInfo).port;
  }

  /**
   * Refuses new connections and destroys the open ones. Resolves after every
   * connection has emitted its `close` event.
   */
  async close(): Promise<void> {
    const server = this.server;
    if (server === undefined) return;
    this.server = undefined;
    const closed = once(server, 'close');
    server.close();
    await Promise.all([...this.sockets].map(destroySocket));
    await closed;
  }

  /**
   * Marks the connections that are open now as silent, permanently. They stay
   * open, but the owner must ignore their requests and send no answers; see
   * {@link isSilent}.
   */
  silenceOpenConnections(): void {
    this.sockets.forEach(socket => this.silentSockets.add(socket));
  }

  /** Whether a connection was marked as silent. */
  isSilent(socket: Socket): boolean {
    return this.silentSockets.has(socket);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.close();
  }

  private trackSocket(socket: Socket): void {
    this.sockets.add(socket);
    this.onConnection();
    socket.once('close', () => this.sockets.delete(socket));
  }
}

/**
 * Destroys a connection and waits for its `close` event. The server's own
 * `close` event can come before that.
 */
function destroySocket(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    socket.once('close', () => resolve());
    socket.destroy();
  });
}
