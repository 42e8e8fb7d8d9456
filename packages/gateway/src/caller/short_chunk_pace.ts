/**
 * Bounds the processor time for short chunks of callers' bodies. Each takes some
 * microseconds, whatever its length; above a rate their callers wait, so that other
 * requests do not.
 */

/** Chunks shorter than this count as short, bytes. */
const SHORT_CHUNK_BYTES = 64;
/** Interval over which they are counted, milliseconds. */
const WINDOW_MS = 1_000;
/** Short chunks of all callers in such an interval. */
const MAX_SHORT_CHUNKS = 131_072;

/** The pace of the short chunks of all callers of one instance. */
export class ShortChunkPace {
  private count = 0;
  private windowStartedAt = -Infinity;

  constructor(private readonly limit = MAX_SHORT_CHUNKS) {}

  /**
   * Counts a chunk that was received; returns how long its sender has to wait,
   * milliseconds, or 0.
   */
  record(bytes: number, now: number): number {
    if (bytes >= SHORT_CHUNK_BYTES) return 0;
    if (now - this.windowStartedAt >= WINDOW_MS) {
      this.windowStartedAt = now;
      this.count = 0;
    }
    this.count += 1;
    if (this.count <= this.limit) return 0;
    return this.windowStartedAt + WINDOW_MS - now;
  }
}
