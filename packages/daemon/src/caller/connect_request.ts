/** Keeps HTTP connections in order after a CONNECT request, which is not served. */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Restores the listeners that Node.js takes off the socket of a CONNECT request: the
 * answers to the requests before it are still to be written.
 */
export function keepAfterConnect(server: Server, socket: Socket): void {
  socket
    // A reset also emits `close`.
    .on('error', () => undefined)
    .on('timeout', () => server.emit('timeout', socket))
    .on('data', () => undefined)
    .once('end', () => socket.end());
}
