/** Finds trailers among bytes that have not been parsed. */

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const CHUNKED = /\r\ntransfer-encoding:[^\r\n]*chunked/i;
/** Size of a chunk, which its extensions may follow. */
const CHUNK_SIZE = /^[0-9a-f]{1,8}(?=[\s;]|$)/i;
/** Longest line with the size of a chunk that is looked at, bytes. */
const MAX_SIZE_LINE_BYTES = 256;

/**
 * Returns how many bytes follow the last chunk of an answer whose first bytes these
 * are; 0 if they hold no last chunk, or are not what is expected: the parser judges
 * those.
 */
export function trailerBytesOf(bytes: Buffer): number {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0 || !CHUNKED.test(bytes.toString('latin1', 0, headEnd))) {
    return 0;
  }
  let at = headEnd + HEAD_END.length;
  while (at < bytes.byteLength) {
    const limit = Math.min(bytes.byteLength, at + MAX_SIZE_LINE_BYTES);
    const lineEnd = bytes.subarray(at, limit).indexOf(LINE_END);
    if (lineEnd < 0) return 0;
    const line = bytes.toString('latin1', at, at + lineEnd);
    const size = CHUNK_SIZE.exec(line)?.[0];
    if (size === undefined) return 0;
    at += lineEnd + LINE_END.length;
    const chunkBytes = parseInt(size, 16);
    if (chunkBytes === 0) return bytes.byteLength - at;
    at += chunkBytes + LINE_END.length;
  }
  return 0;
}
