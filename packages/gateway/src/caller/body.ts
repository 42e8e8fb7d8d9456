/** Reads the body of a caller's request. */
import type {IncomingMessage} from 'node:http';

/** The result of reading a body. */
export type BodyResult =
  | {readonly kind: 'complete'; readonly bytes: Uint8Array}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'too_slow'}
  /** The connection ended before the body was complete. */
  | {readonly kind: 'truncated'};

const EMPTY = new Uint8Array(0);

/** Reads a body of at most `maxBytes` bytes within `timeoutMs`. Never rejects. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  timeoutMs: number,
): Promise<BodyResult> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve({kind: 'too_large'});
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const end = (result: BodyResult) => {
      clearTimeout(timer);
      req.off('data', onData).off('end', onEnd).off('close', onClose);
      resolve(result);
    };
    // After the process stood still, the rest of the body may be in the socket.
    const onTimeout = () => setImmediate(() => end({kind: 'too_slow'}));
    const timer = setTimeout(onTimeout, timeoutMs);
    const onData = (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (bytes > maxBytes) end({kind: 'too_large'});
      else chunks.push(chunk);
    };
    const onEnd = () => {
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      end({kind: 'complete', bytes: bytes === 0 ? EMPTY : body});
    };
    const onClose = () => end({kind: 'truncated'});
    req.on('data', onData).once('end', onEnd).once('close', onClose);
    // An aborted request emits `error` and then `close`.
    req.on('error', () => undefined);
  });
}
