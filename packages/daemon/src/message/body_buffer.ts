/**
 * Bytes of a message's body. Its cost in memory follows its size: a chunk that is
 * kept as it was received costs more than a hundred bytes, however small it is.
 */

/** Smallest block into which chunks are copied, bytes. */
const MIN_BLOCK_BYTES = 1_024;
/** Largest block, so that little of it can be empty, bytes. */
const MAX_BLOCK_BYTES = 262_144;
const EMPTY = Buffer.alloc(0);

/** Collects a body in few blocks. */
export class BodyBuffer {
  private readonly full: Buffer[] = [];
  /** Block into which chunks are copied, and how much of it is in use. */
  private block = EMPTY;
  private used = 0;
  private length = 0;
  private cost = 0;

  /**
   * @param expectedBytes Size of the body, if it is known: it is then collected in
   *     one block.
   */
  constructor(private readonly expectedBytes = 0) {}

  /** Size of the body, bytes. */
  get byteLength(): number {
    return this.length;
  }

  /** Memory that the blocks take, bytes. */
  get costBytes(): number {
    return this.cost;
  }

  /** The blocks in order; they are not changed by later chunks. */
  get blocks(): readonly Buffer[] {
    if (this.used === 0) return this.full;
    return [...this.full, this.block.subarray(0, this.used)];
  }

  /** Adds a chunk. */
  append(chunk: Buffer): void {
    this.length += chunk.byteLength;
    // Most bodies are a single chunk: it is kept without a copy, with the buffer
    // that was read from the socket.
    if (this.cost === 0 && chunk.byteLength >= this.expectedBytes) {
      this.full.push(chunk);
      this.cost = chunk.buffer.byteLength;
      return;
    }
    let copied = 0;
    while (copied < chunk.byteLength) {
      if (this.used === this.block.byteLength) this.nextBlock(chunk.byteLength);
      const bytes = chunk.copy(this.block, this.used, copied);
      this.used += bytes;
      copied += bytes;
    }
  }

  /** Returns the body as one block. */
  join(): Buffer {
    const {blocks} = this;
    return blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks);
  }

  /** Frees the blocks. */
  clear(): void {
    this.full.length = 0;
    this.block = EMPTY;
    this.used = 0;
    this.length = 0;
    this.cost = 0;
  }

  private nextBlock(minBytes: number): void {
    if (this.used > 0) this.full.push(this.block);
    // Grows with the body, so that a short one has few empty bytes.
    const wanted = Math.max(minBytes, this.length, MIN_BLOCK_BYTES);
    const isFirst = this.cost === 0;
    const bytes = isFirst
      ? Math.max(wanted, this.expectedBytes)
      : Math.min(wanted, MAX_BLOCK_BYTES);
    // Not from Node's pool, whose slabs other buffers may keep.
    this.block = Buffer.allocUnsafeSlow(bytes);
    this.used = 0;
    this.cost += bytes;
  }
}
