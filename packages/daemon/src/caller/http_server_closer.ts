/** Closes HTTP servers so that the answers in flight are read. */
import type {Server} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {settlesWithin} from '../instance/settles_within.js';
import {closeLingering, lingerAfterLastAnswer} from './lingering_close.js';

/** Keeps the connections of a server and closes them after their answers. */
export class HttpServerCloser {
  /** Requests in flight of each open connection. */
  private readonly inFlight = new Map<Socket, number>();
  private isClosing = false;

  constructor(private readonly server: Server) {
    server.on('connection', socket => {
      lingerAfterLastAnswer(socket);
      this.inFlight.set(socket, 0);
      socket.once('close', () => this.inFlight.delete(socket));
    });
    server.on('request', (req, res) => {
      this.add(req.socket, 1);
      res.once('close', () => this.add(req.socket, -1));
    });
  }

  /**
   * Stops listening and closes each connection once its requests are answered; at
   * the latest after `limitMs`.
   */
  async close(limitMs: number): Promise<void> {
    const {server, inFlight} = this;
    this.isClosing = true;
    const closed = new Promise<void>(resolve => {
      // `close` of an HTTP server destroys connections with unsent answers.
      NetServer.prototype.close.call(server, () => resolve());
    });
    inFlight.forEach((unused, socket) => this.closeIfIdle(socket));
    await settlesWithin(closed, limitMs);
    inFlight.forEach((unused, socket) => socket.destroy());
    await closed;
    // Ends the checks of the time for heads.
    server.close();
  }

  private add(socket: Socket, requests: number): void {
    const before = this.inFlight.get(socket);
    if (before === undefined) return;
    this.inFlight.set(socket, before + requests);
    if (this.isClosing) this.closeIfIdle(socket);
  }

  private closeIfIdle(socket: Socket): void {
    if (this.inFlight.get(socket) === 0) closeLingering(socket);
  }
}
