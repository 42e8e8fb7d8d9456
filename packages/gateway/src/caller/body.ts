/** Reads the body of a caller's request. */
import {BodyBuffer} from '@ragworthall/daemon';
import type {IncomingMessage} from 'node:http';
import type {BodyAccount} from './body_memory.js';
import type {ShortChunkPace} from './short_chunk_pace.js';

/** The result of reading a body. */
export type BodyResult =
  | {readonly kind: 'complete'; readonly bytes: Uint8Array}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'too_slow'}
  /** Other bodies take the memory. */
  | {readonly kind: 'no_memory'}
  /** The connection ended before the body was complete. */
  | {readonly kind: 'truncated'};

/** Limits on one body. */
export interface BodyLimits {
  /** Largest size, bytes. */
  readonly maxBytes: number;
  /** Longest time for it to arrive while its connection is read, milliseconds. */
  readonly timeoutMs: number;
}

/** Reads a body within its limits. Never rejects. */
export function readBody(
  req: IncomingMessage,
  {maxBytes, timeoutMs}: BodyLimits,
  account: BodyAccount,
  pace: ShortChunkPace,
): Promise<BodyResult> {
  const statedBytes = Number(req.headers['content-length'] ?? 0);
  if (statedBytes > maxBytes) return Promise.resolve({kind: 'too_large'});
  if (!account.resize(statedBytes)) return Promise.resolve({kind: 'no_memory'});
  return new Promise(resolve => {
    const body = new BodyBuffer(statedBytes);
    const end = (result: BodyResult) => {
      clearTimeout(timer);
      req.off('data', onData).off('end', onEnd).off('close', onClose);
      socket.off('pause', onPause);
      resolve(result);
    };
    const {socket} = req;
    let hasPaused = socket.isPaused();
    const onPause = () => (hasPaused = true);
    const onTimeout = () => {
      // Node.js reads no connection whose caller does not read.
      if (hasPaused) {
        hasPaused = socket.isPaused();
        timer.refresh();
        return;
      }
      // After the process stood still, the rest of the body may be in the socket.
      setImmediate(() => end({kind: 'too_slow'}));
    };
    const timer = setTimeout(onTimeout, timeoutMs);
    let isWaiting = false;
    const pauseReading = (ms: number) => {
      if (isWaiting) return;
      isWaiting = true;
      // A paused request would keep an object for each chunk that is parsed. Not at
      // once: Node.js resumes the socket after it has handed over a chunk.
      setImmediate(() => {
        socket.pause();
        setTimeout(() => {
          isWaiting = false;
          socket.resume();
        }, ms);
      });
    };
    const onData = (chunk: Buffer) => {
      const waitMs = pace.record(chunk.byteLength, performance.now());
      if (waitMs > 0) pauseReading(waitMs);
      const costBefore = body.costBytes;
      body.append(chunk);
      if (body.byteLength > maxBytes) end({kind: 'too_large'});
      else if (statedBytes > 0 || body.costBytes === costBefore) return;
      // The blocks are joined in the end.
      else if (!account.resize(2 * body.costBytes)) end({kind: 'no_memory'});
    };
    const onEnd = () => end({kind: 'complete', bytes: body.join()});
    const onClose = () => end({kind: 'truncated'});
    req.on('data', onData).once('end', onEnd).once('close', onClose);
    socket.on('pause', onPause);
    // An aborted request emits `error` and then `close`.
    req.on('error', () => undefined);
  });
}
