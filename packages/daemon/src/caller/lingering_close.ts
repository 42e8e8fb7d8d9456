/**
 * Ends connections of callers so that what was written reaches them. Closing a
 * socket before its peer has read everything loses the rest of the last answer if
 * bytes of the peer are unread or still arrive: the connection is then reset.
 */
import type {Socket} from 'node:net';
import {discardInput} from './parser_detachment.js';

/**
 * Time for which the rest of a rejected message is read before its rejection is
 * written, and for which a connection that carried little stays open, milliseconds.
 */
export const LINGER_MS = 500;
/** What a peer's receive buffer takes at least, bytes. */
const RECEIVE_BUFFER_BYTES = 16_384;
/**
 * Time without progress after which the peer counts as gone, milliseconds. The
 * kernel tells of the progress of slow readers in large steps.
 */
const MAX_STALLED_MS = 30_000;
/** Longest time that a peer may take to read the rest, milliseconds. */
const MAX_LINGER_MS = 60_000;

/**
 * Writes the last bytes and ends the connection. It is closed once the peer has
 * closed its side, which shows that it has read everything; at the latest when
 * it has made no progress for a while. What the peer still sends is read.
 */
export function closeLingering(socket: Socket, lastBytes = ''): void {
  // The first call has written the last bytes.
  if (!socket.writable) return;
  const close = () => socket.destroy();
  const timer = setTimeout(close, MAX_LINGER_MS).unref();
  socket.once('close', () => clearTimeout(timer));
  socket.once('finish', () => {
    const isSmall = socket.bytesWritten <= RECEIVE_BUFFER_BYTES;
    if (isSmall) setTimeout(close, LINGER_MS).unref();
  });
  socket.resume();
  discardInput(socket);
  // Reported by the socket when neither side has moved a byte.
  socket.setTimeout(MAX_STALLED_MS, close);
  socket.end(lastBytes);
}

/**
 * Makes Node.js end the connection in this way, too: after an answer that ends the
 * connection it calls `destroySoon`, which closes the socket at once.
 */
export function lingerAfterLastAnswer(socket: Socket): void {
  socket.destroySoon = () => closeLingering(socket);
}
