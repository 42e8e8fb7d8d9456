/** How many log lines may be written. */

const SECOND_MS = 1_000;

/** Lines of one kind that may still be written in this second. */
export class LineRate {
  private second = -1;
  private written = 0;
  private omitted = 0;

  constructor(private readonly perSecond: number) {}

  /** Whether one more line may be written. */
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

  /** Notes lines that were left out for another reason. */
  omit(lines: number): void {
    this.omitted += lines;
  }

  /** Returns the number of lines left out since the last call. */
  takeOmitted(): number {
    const {omitted} = this;
    this.omitted = 0;
    return omitted;
  }
}
