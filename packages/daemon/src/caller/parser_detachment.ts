/**
 * Takes the HTTP parser off a connection. Node.js pauses the socket while it waits
 * for a reader of a request's body or of the answers; a socket whose parser is taken
 * off while it is paused is never read again, and its end goes unnoticed.
 */
import type {Socket} from 'node:net';

/** Sockets whose input is dropped. */
const discarded = new WeakSet<Socket>();

/**
 * Drops what the peer sends from now on. Node.js would keep each further request
 * that it parses until the answers ahead of it are written.
 */
export function discardInput(socket: Socket): void {
  if (discarded.has(socket)) return;
  discarded.add(socket);
  // Not at once: Node.js may just be resuming a socket that it paused.
  setImmediate(() => {
    detachParser(socket);
    // Node.js waits for a reader of the last body, which nobody reads now. The end
    // of a connection that is not read would go unnoticed.
    socket.resume();
  });
}

function detachParser(socket: Socket): void {
  if (socket.destroyed) return;
  if (socket.isPaused()) socket.once('resume', () => detachParser(socket));
  else socket.removeAllListeners('data').on('data', () => undefined);
}
