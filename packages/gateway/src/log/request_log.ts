/** The log lines of one request. */
import type {LogFields} from './gateway_log.js';

/** Writes one line about an event at the time `atMs`. */
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
 * Writes the lines of a sampled request immediately. The lines of any other
 * request are held back: they are written if it fails and discarded if it
 * succeeds.
 */
export class RequestLog {
  private heldLines: Line[] = [];

  constructor(
    private readonly clock: {now(): number},
    private writesDirectly: boolean,
    private readonly write: LineWriter,
    private readonly omit: (lines: number) => void,
  ) {}

  /** Adds a line about a decision on the request. */
  add(kind: string, fields: LogFields): void {
    const line = {kind, fields, atMs: this.clock.now()};
    if (this.writesDirectly) this.write(line.kind, line.fields, line.atMs);
    else this.heldLines.push(line);
  }

  /** Writes the held lines, since the request failed, and all later ones directly. */
  writeHeld(): void {
    if (this.writesDirectly) return;
    this.writesDirectly = true;
    this.heldLines.forEach(({kind, fields, atMs}) =>
      this.write(kind, fields, atMs),
    );
    this.heldLines = [];
  }

  /** Discards the held lines at the end of the request. */
  end(): void {
    this.omit(this.heldLines.length);
    this.heldLines = [];
  }
}
