/** Reads request bodies within limits on size, time and memory. */
import {NEVER_ABORTED, offAbort, onAbort} from '@ragworthall/balancer';
import type {IncomingMessage} from 'node:http';
import {BodyBuffer} from '../message/body_buffer.js';

/** Result of reading a body. */
export type BodyReadResult =
  | {readonly kind: 'complete'; readonly body: Uint8Array}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'too_slow'}
  /** The signal was aborted before the end. */
  | {readonly kind: 'ended'}
  /** The connection closed, or the message became invalid, before the end. */
  | {readonly kind: 'truncated'};

const EMPTY = new Uint8Array(0);

/**
 * Returns the maximum size of a request's body: its Content-Length, or `limit`
 * if the body is chunked.
 */
export function maxBodyBytesOf(req: IncomingMessage, limit: number): number {
  if (req.headers['transfer-encoding'] !== undefined) return limit;
  return Number(req.headers['content-length'] ?? 0);
}

/** Reads a body of at most `limit` bytes within `timeoutMs`. Never rejects. */
export async function readBody(
  req: IncomingMessage,
  limit: number,
  timeoutMs: number,
  signal: AbortSignal = NEVER_ABORTED,
): Promise<BodyReadResult> {
  const maxBytes = maxBodyBytesOf(req, limit);
  if (maxBytes > limit) return {kind: 'too_large'};
  if (maxBytes === 0) return {kind: 'complete', body: EMPTY};
  return new Promise(resolve => {
    const body = new BodyBuffer();
    const timer = setTimeout(() => end({kind: 'too_slow'}), timeoutMs);
    const onData = (chunk: Buffer) => {
      body.append(chunk);
      if (body.byteLength > limit) end({kind: 'too_large'});
    };
    const onEnd = () => end({kind: 'complete', body: body.join()});
    const onClose = () => end({kind: 'truncated'});
    const onEnded = () => end({kind: 'ended'});
    const end = (result: BodyReadResult) => {
      clearTimeout(timer);
      req.off('data', onData).off('end', onEnd).off('close', onClose);
      offAbort(signal, onEnded);
      req.pause();
      resolve(result);
    };
    onAbort(signal, onEnded);
    req.on('data', onData).once('end', onEnd).once('close', onClose);
    // An aborted request emits `error` and then `close`; `onClose` handles it.
    req.on('error', () => undefined);
  });
}

/** Discards the rest of a body for at most `timeoutMs`. Never rejects. */
export function discardBody(
  req: IncomingMessage,
  timeoutMs: number,
): Promise<void> {
  if (req.complete || req.destroyed) return Promise.resolve();
  return new Promise(resolve => {
    const end = () => {
      clearTimeout(timer);
      req.off('end', end).off('close', end);
      resolve();
    };
    const timer = setTimeout(end, timeoutMs);
    req.once('end', end).once('close', end);
    req.on('error', () => undefined);
    req.resume();
  });
}

/** Limits the total memory used by request bodies. */
export class BodyMemory {
  private used = 0;

  constructor(private readonly limitBytes: number) {}

  /** Reserved bytes. */
  get usedBytes(): number {
    return this.used;
  }

  /** Reserves bytes until disposal; returns undefined if too few are left. */
  reserve(bytes: number): Disposable | undefined {
    if (this.used + bytes > this.limitBytes) return undefined;
    this.used += bytes;
    return {[Symbol.dispose]: () => void (this.used -= bytes)};
  }
}
