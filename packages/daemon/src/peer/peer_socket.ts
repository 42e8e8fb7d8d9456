/** One WebSocket between two instances: frames in, frames out, and its end. */
import {on, once} from 'node:events';
import {WebSocket} from 'ws';
import type {FrameCodec} from './frame_codec.js';
import type {LinkError} from './link_error.js';

/** Bytes that may wait for a slow peer. */
const MAX_QUEUED_BYTES = 8 * 1_048_576;
/** Time to set up a link, milliseconds. */
export const SETUP_TIMEOUT_MS = 1_000;
/** Close code of WebSocket for a message that is too large. */
const CODE_TOO_LARGE = 1009;

/** What a frame is to the task that reads. */
export type Received<M> =
  | {readonly kind: 'message'; readonly message: M}
  | {readonly kind: 'unknown'; readonly name: string};

/** A WebSocket that carries messages. */
export class PeerSocket<M> implements Disposable {
  /** Why it ended; undefined while it is open. */
  error: LinkError | undefined;
  private readonly frames: AsyncIterator<[Buffer, boolean]>;

  constructor(
    private readonly ws: WebSocket,
    private readonly codec: FrameCodec<M>,
  ) {
    ws.on('error', err => this.fail(errorOf(err)));
    ws.on('close', code => this.fail(closedBy(code)));
    // Created now, so that no frame is missed.
    this.frames = on(ws, 'message', {close: ['close']}) as AsyncIterator<
      [Buffer, boolean]
    >;
  }

  /** Dials an address; the socket has an error if it cannot be reached. */
  static async dial<M>(
    address: string,
    codec: FrameCodec<M>,
    maxMessageBytes: number,
    signal: AbortSignal,
  ): Promise<PeerSocket<M>> {
    const ws = new WebSocket(`ws://${address}`, {
      maxPayload: maxMessageBytes,
      handshakeTimeout: SETUP_TIMEOUT_MS,
      perMessageDeflate: false,
    });
    const socket = new PeerSocket(ws, codec);
    const onAbort = () => socket.end({kind: 'disposed'});
    signal.addEventListener('abort', onAbort, {once: true});
    // Rejects if the address cannot be reached; the socket has the reason.
    await once(ws, 'open').catch(() => undefined);
    signal.removeEventListener('abort', onAbort);
    return socket;
  }

  /** Sends a message; returns false if it was not taken. */
  send(message: M): boolean {
    if (this.error || this.ws.readyState !== WebSocket.OPEN) return false;
    if (this.ws.bufferedAmount > MAX_QUEUED_BYTES) return false;
    this.ws.send(this.codec.encode(message));
    return true;
  }

  /** Waits for the next message; undefined when the socket has ended. */
  async receive(): Promise<Received<M> | undefined> {
    // Rejects with an error of the socket, which is noted already.
    const next = await this.frames.next().catch(() => undefined);
    if (!next || next.done || this.error) return undefined;
    const decoded = this.codec.decode(next.value[0]);
    switch (decoded.kind) {
      case 'message':
      case 'unknown':
        return decoded;
      case 'malformed':
        this.end(decoded);
        return undefined;
      default:
        throw new Error(`unexpected frame: ${decoded satisfies never}`);
    }
  }

  /** Ends the socket for a reason of this end. */
  end(err: LinkError): void {
    this.fail(err);
    // A peer that is silent would never answer a closing frame.
    this.ws.terminate();
  }

  [Symbol.dispose](): void {
    this.end({kind: 'disposed'});
  }

  private fail(err: LinkError): void {
    this.error ??= err;
  }
}

function errorOf(err: Error & {code?: string}): LinkError {
  return err.code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH'
    ? {kind: 'too_large'}
    : {kind: 'unreachable', detail: err.code ?? err.message};
}

function closedBy(code: number): LinkError {
  return code === CODE_TOO_LARGE ? {kind: 'too_large'} : {kind: 'closed', code};
}
