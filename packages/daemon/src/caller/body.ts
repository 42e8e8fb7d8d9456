/** Reads the bodies of requests within limits of size, time and memory. */
import type {IncomingMessage} from 'node:http';

/** What came of reading a body. */
export type BodyReadResult =
  | {readonly kind: 'complete'; readonly body: Uint8Array}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'too_slow'}
  /** The connection closed, or the message broke, before its end. */
  | {readonly kind: 'truncated'};

const EMPTY = new Uint8Array(0);

/** Returns the most bytes that a request's body may have, at most `limit`. */
export function bytesAhead(req: IncomingMessage, limit: number): number {
  if (req.headers['transfer-encoding'] !== undefined) return limit;
  return Number(req.headers['content-length'] ?? 0);
}

/** Reads a body of at most `limit` bytes within `timeoutMs`. Never rejects. */
export async function readBody(
  req: IncomingMessage,
  limit: number,
  timeoutMs: number,
): Promise<BodyReadResult> {
  const ahead = bytesAhead(req, limit);
  if (ahead > limit) return {kind: 'too_large'};
  if (ahead === 0) return {kind: 'complete', body: EMPTY};
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(() => end({kind: 'too_slow'}), timeoutMs);
    const onData = (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (bytes > limit) end({kind: 'too_large'});
      else chunks.push(chunk);
    };
    const onEnd = () => end({kind: 'complete', body: joined(chunks)});
    const onCut = () => end({kind: 'truncated'});
    const end = (read: BodyReadResult) => {
      clearTimeout(timer);
      req.off('data', onData).off('end', onEnd).off('close', onCut);
      req.pause();
      resolve(read);
    };
    req.on('data', onData).once('end', onEnd).once('close', onCut);
    // An aborted request emits an error; its close follows.
    req.on('error', () => undefined);
  });
}

/** Discards what is left of a body, up to a time. Never rejects. */
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

function joined(chunks: readonly Buffer[]): Uint8Array {
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

/** Bytes of memory that bodies may take together. */
export class BodyMemory {
  private used = 0;

  constructor(private readonly limit: number) {}

  /** Bytes in use. */
  get usedBytes(): number {
    return this.used;
  }

  /** Sets bytes aside until disposal; undefined if too few are left. */
  reserve(bytes: number): Disposable | undefined {
    if (this.used + bytes > this.limit) return undefined;
    this.used += bytes;
    return {[Symbol.dispose]: () => void (this.used -= bytes)};
  }
}
