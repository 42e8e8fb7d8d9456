/** Opens connections in advance, before requests need them. */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Timeout for opening a connection, milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle time before the first TCP keep-alive probe, milliseconds. */
const KEEP_ALIVE_DELAY_MS = 1_000;

type Connector = buildConnector.connector;
type ConnectorOptions = Parameters<Connector>[0];

/** Open sockets to one backend server that have not been used yet. */
export class WarmSockets implements Disposable {
  /** Connector for HTTP clients; takes an open socket if there is one. */
  readonly connector: Connector;
  private readonly connect: Connector;
  private readonly sockets: Socket[] = [];

  constructor(private readonly address: string) {
    this.connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
    });
    this.connector = (options, callback) => {
      const socket = this.sockets.pop();
      if (socket) this.handOver(socket, callback);
      else this.connect(options, callback);
    };
  }

  /** Number of unused open sockets. */
  get count(): number {
    return this.sockets.length;
  }

  /** Opens one socket; resolves with false if it cannot be opened. */
  openSocket(): Promise<boolean> {
    const [hostname, port] = splitAddress(this.address);
    const options = {hostname, port, protocol: 'http:'} as ConnectorOptions;
    return new Promise(resolve =>
      this.connect(options, (err, socket) => {
        if (socket) this.addSocket(socket);
        resolve(err === null);
      }),
    );
  }

  [Symbol.dispose](): void {
    this.sockets.forEach(socket => socket.destroy());
    this.sockets.length = 0;
  }

  private addSocket(socket: Socket): void {
    const remove = () => {
      const index = this.sockets.indexOf(socket);
      if (index >= 0) this.sockets.splice(index, 1);
    };
    socket.once('close', remove);
    // `error` is emitted before `close`, and without a listener it would be
    // thrown.
    socket.on('error', remove);
    this.sockets.push(socket);
  }

  private handOver(socket: Socket, callback: buildConnector.Callback): void {
    socket.removeAllListeners('close');
    socket.removeAllListeners('error');
    // Call back asynchronously, as for a newly opened socket.
    queueMicrotask(() => callback(null, socket));
  }
}

function splitAddress(address: string): [string, string] {
  const colon = address.lastIndexOf(':');
  return [
    address.slice(0, colon).replace(/^\[|\]$/g, ''),
    address.slice(colon + 1),
  ];
}
