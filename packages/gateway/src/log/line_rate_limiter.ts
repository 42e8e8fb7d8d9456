/** Limits the number of log lines per second. */

const SECOND_MS = 1_000;

/** Counts the lines written in the current second and those left out. */
export class LineRateLimiter {
  private second = -1;
  private written = 0;
  private omitted = 0;

  constructor(private readonly perSecond: number) {}

  /** Counts a line; returns false if it exceeds the limit and is left out. */
  tryWrite(now: number): boolean {
    const second = Math.floor(now / SECOND_MS);
    if (second !== this.second) {
      this.second = second;
      this.written = 0;
    }
    this.written += 1;
    if (this.written <= this.perSecond) return true;
    this.omitted += 1;
    return false;
  }

  /** Adds lines that were left out for another reason than the limit. */
  omit(lines: number): void {
    this.omitted += lines;
  }

  /** Returns the number of lines left out since the previous call. */
  takeOmitted(): number {
    const {omitted} = this;
    this.omitted = 0;
    return omitted;
  }
}
