/** Accepts connections from other instances. */
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {WebSocketServer} from 'ws';
import type {FrameCodec} from './frame_codec.js';
import {PeerSocket} from './peer_socket.js';

/** A WebSocket server on the address for peers. */
export class PeerListener<M> implements AsyncDisposable {
  private accept: ((socket: PeerSocket<M>) => void) | undefined;

  private constructor(
    private readonly server: WebSocketServer,
    codec: FrameCodec<M>,
  ) {
    server.on('connection', ws => {
      const socket = new PeerSocket(ws, codec);
      if (this.accept) this.accept(socket);
      else socket[Symbol.dispose]();
    });
  }

  /** Starts to listen; sockets are closed until {@link onSocket} is called. */
  static async listen<M>(
    host: string,
    port: number,
    codec: FrameCodec<M>,
    maxMessageBytes: number,
  ): Promise<PeerListener<M>> {
    const server = new WebSocketServer({
      host,
      port,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
    });
    await once(server, 'listening');
    return new PeerListener(server, codec);
  }

  /** The bound IP address and port. */
  get address(): string {
    const {address, port, family} = this.server.address() as AddressInfo;
    return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
  }

  /** Sets the function that receives each new socket. */
  onSocket(accept: (socket: PeerSocket<M>) => void): void {
    this.accept = accept;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.accept = undefined;
    this.server.clients.forEach(ws => ws.terminate());
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }
}
