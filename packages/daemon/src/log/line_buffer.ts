/**
 * Lines of the log on their way out. Lines are gathered for a few milliseconds
 * and written together: a write for each would cost each call a system call.
 */

/** Where gathered lines go, such as the standard output. */
export interface LineSink {
  /** Returns whether the sink takes more at once. */
  write(text: string): boolean;
  once(event: 'drain', listener: () => void): unknown;
}

/** Time for which lines are gathered, milliseconds. */
const FLUSH_DELAY_MS = 10;
/** Characters that are gathered at most before they are written. */
const FLUSH_THRESHOLD_CHARS = 65_536;
/** Characters that wait at most for a slow reader; later lines are dropped. */
const MAX_BUFFERED_CHARS = 8_388_608;

/** Gathers lines and writes them to a sink. */
export class LineBuffer implements Disposable {
  private lines: string[] = [];
  private chars = 0;
  private droppedLines = 0;
  private timer: NodeJS.Timeout | undefined;
  private blocked = false;

  constructor(private readonly sink: LineSink) {}

  /** Adds a line without its end. */
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

  /** Writes what was gathered, unless the sink is still busy. */
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
