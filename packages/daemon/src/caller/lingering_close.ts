/** Ends connections of callers so that the last answer reaches them. */
import type {Socket} from 'node:net';

/**
 * Time for which the rest of a message is still read, milliseconds. Closing a
 * socket with unread bytes resets the connection, and its caller could lose the
 * last answer.
 */
export const LINGER_MS = 500;

/** Writes the last bytes, ends the connection and closes it soon after. */
export function closeLingering(socket: Socket, lastBytes: string): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  socket.end(lastBytes);
  setTimeout(() => socket.destroy(), LINGER_MS).unref();
}
