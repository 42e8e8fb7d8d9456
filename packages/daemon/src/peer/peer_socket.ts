/** A WebSocket between two instances that carries encoded messages. */
import {on, once} from 'node:events';
import {WebSocket} from 'ws';
import {settlesWithin} from '../instance/settles_within.js';
import type {FrameCodec} from './frame_codec.js';
import type {LinkError} from './link_error.js';

/** Bytes that may be queued for a slow peer. */
const MAX_QUEUED_BYTES = 8 * 1_048_576;
/** Time limit for connecting, and for the handshake after it, milliseconds. */
export const SETUP_TIMEOUT_MS = 1_000;
/** Time limit for sending what is queued when a socket is closed, milliseconds. */
const CLOSE_TIMEOUT_MS = 2_000;
/** WebSocket close code of an end that stops. */
const CLOSE_CODE_GOING_AWAY = 1001;
/** WebSocket close code for a message that is too large. */
const CLOSE_CODE_TOO_LARGE = 1009;

/** A received message. */
export type Received<M> =
  | {readonly kind: 'message'; readonly message: M}
  | {readonly kind: 'unknown'; readonly name: string};

/** Sends and receives the messages of one codec. */
export class PeerSocket<M> implements Disposable {
  /** Why the socket ended; undefined while it is open. */
  error: LinkError | undefined;
  private readonly frames: AsyncIterator<[Buffer, boolean]>;

  constructor(
    private readonly ws: WebSocket,
    private readonly codec: FrameCodec<M>,
  ) {
    ws.on('error', err => this.recordError(socketErrorOf(err)));
    ws.on('close', code => this.recordError(closeErrorOf(code)));
    // Subscribes now, so that frames received before the first read are kept.
    this.frames = on(ws, 'message', {close: ['close']}) as AsyncIterator<
      [Buffer, boolean]
    >;
  }

  /** Dials an address; the socket's `error` is set if it cannot be reached. */
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
    // Rejects if the address cannot be reached; `error` holds the reason.
    await once(ws, 'open').catch(() => undefined);
    signal.removeEventListener('abort', onAbort);
    return socket;
  }

  /** Whether too many bytes are queued to begin something whose reply adds to them. */
  get isFull(): boolean {
    return this.ws.bufferedAmount > MAX_QUEUED_BYTES;
  }

  /**
   * Sends a message; returns false if the socket is not open or too many bytes
   * are queued.
   */
  send(message: M): boolean {
    return !this.isFull && this.sendReply(message);
  }

  /**
   * Sends what the other end waits for, however much is queued; returns false if
   * the socket is not open.
   */
  sendReply(message: M): boolean {
    if (this.error || this.ws.readyState !== WebSocket.OPEN) return false;
    this.ws.send(this.codec.encode(message));
    return true;
  }

  /** Waits for the next message; undefined once the socket has ended. */
  async receive(): Promise<Received<M> | undefined> {
    // Rejects with the socket's error, which the `error` listener has recorded.
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

  /**
   * Sends what is queued and closes the socket; resolves when the other end has
   * closed it too, or has not within the time limit.
   */
  async close(): Promise<void> {
    this.recordError({kind: 'disposed'});
    if (this.ws.readyState === WebSocket.CLOSED) return;
    const closed = once(this.ws, 'close');
    this.ws.close(CLOSE_CODE_GOING_AWAY);
    if (!(await settlesWithin(closed, CLOSE_TIMEOUT_MS))) this.ws.terminate();
  }

  /** Closes the socket for the given reason. */
  end(err: LinkError): void {
    this.recordError(err);
    // Not a closing handshake, because a silent peer would never answer it.
    this.ws.terminate();
  }

  [Symbol.dispose](): void {
    this.end({kind: 'disposed'});
  }

  private recordError(err: LinkError): void {
    this.error ??= err;
  }
}

function socketErrorOf(err: Error & {code?: string}): LinkError {
  return err.code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH'
    ? {kind: 'too_large'}
    : {kind: 'unreachable', detail: err.code ?? err.message};
}

function closeErrorOf(code: number): LinkError {
  return code === CLOSE_CODE_TOO_LARGE
    ? {kind: 'too_large'}
    : {kind: 'closed', code};
}
