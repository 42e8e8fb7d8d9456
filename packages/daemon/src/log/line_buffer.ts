/**
 * Buffers log lines for a few milliseconds and writes them together: a write
 * for each line would cost each call a system call.
 */

/** Destination of the buffered lines, such as standard output. */
export interface LineSink {
  /** Returns false if the sink is full; the next write must wait for `drain`. */
  write(text: string): boolean;
  once(event: 'drain', listener: () => void): unknown;
}

/** Longest time that a line is buffered while the sink is ready, milliseconds. */
const FLUSH_DELAY_MS = 10;
/** Number of buffered characters that triggers a write. */
const FLUSH_THRESHOLD_CHARS = 65_536;
/** Limit of characters that wait for a slow reader; later lines are dropped. */
const MAX_BUFFERED_CHARS = 8_388_608;

/** Buffers lines and writes them to a sink. */
export class LineBuffer implements Disposable {
  private lines: string[] = [];
  private chars = 0;
  private droppedLines = 0;
  private timer: NodeJS.Timeout | undefined;
  private blocked = false;

  constructor(private readonly sink: LineSink) {}

  /** Adds a line, given without its line break. */
  add(line: string): void {
    if (this.chars > MAX_BUFFERED_CHARS) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(line);
    this.chars += line.length + 1;
    if (this.chars >= FLUSH_THRESHOLD_CHARS) this.flush();
    else this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
  }

  /** Writes the buffered lines, unless the sink is still full. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.blocked || this.lines.length === 0) return;
    const text = `${this.lines.join('\n')}\n`;
    this.lines = [];
    this.chars = 0;
    this.blocked = !this.sink.write(text);
    if (this.blocked) this.sink.once('drain', () => this.handleDrain());
  }

  [Symbol.dispose](): void {
    this.blocked = false;
    this.flush();
  }

  private handleDrain(): void {
    this.blocked = false;
    this.flush();
    if (this.droppedLines === 0) return;
    const {droppedLines: dropped} = this;
    this.droppedLines = 0;
    const message = 'log lines dropped; the reader of the log is too slow';
    this.add(JSON.stringify({level: 'warn', message, dropped}));
  }
}
