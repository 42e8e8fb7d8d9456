/** The log lines of one request. */
import type {LogFields} from './gateway_log.js';

/** Writes one line, which speaks of the time `atMs`. */
export type LineWriter = (
  kind: string,
  fields: LogFields,
  atMs: number,
) => void;

interface Line {
  readonly kind: string;
  readonly fields: LogFields;
  readonly atMs: number;
}

/**
 * Lines of a request that is logged come at once. Those of the others are held
 * until something goes wrong; if nothing does they are left out.
 */
export class RequestLines {
  private held: Line[] = [];

  constructor(
    private readonly clock: {now(): number},
    private isWritten: boolean,
    private readonly write: LineWriter,
    private readonly omit: (lines: number) => void,
  ) {}

  /** A decision on the request. */
  add(kind: string, fields: LogFields): void {
    const line = {kind, fields, atMs: this.clock.now()};
    if (this.isWritten) this.write(line.kind, line.fields, line.atMs);
    else this.held.push(line);
  }

  /** Something went wrong: all its lines are written. */
  failed(): void {
    if (this.isWritten) return;
    this.isWritten = true;
    this.held.forEach(({kind, fields, atMs}) => this.write(kind, fields, atMs));
    this.held = [];
  }

  /** The request has ended; there are no more lines. */
  end(): void {
    this.omit(this.held.length);
    this.held = [];
  }
}
