/** Writes results as tables or as JSON. */
import {OutputFormat} from './command.js';

/** Standard output and standard error; each call writes complete lines. */
export interface Streams {
  out(text: string): void;
  err(text: string): void;
}

/** Value of a table cell. */
export type Cell = string | number | boolean;

/** Rows of a table; the keys of the first row are the columns. */
export type Rows = readonly Readonly<Record<string, Cell>>[];

/** Writes results and errors of a command in the selected format. */
export class Output {
  constructor(
    private readonly format: OutputFormat,
    private readonly streams: Streams,
  ) {}

  /** Writes a result: `value` in the JSON format, otherwise `text`. */
  result(value: unknown, text: () => string): void {
    const json = this.format === OutputFormat.Json;
    this.streams.out(json ? JSON.stringify(value) : text());
  }

  /** Writes a progress message as text, regardless of the format. */
  progress(text: string): void {
    this.streams.err(text);
  }

  /** Writes an error; in the JSON format with additional `fields`. */
  error(message: string, fields: object = {}): void {
    const json = this.format === OutputFormat.Json;
    const value = {error: {message, ...fields}};
    this.streams.err(json ? JSON.stringify(value) : `ragworthall: ${message}`);
  }
}

/** Formats a table with a heading; returns `(none)` without rows. */
export function tableText(rows: Rows): string {
  const [first] = rows;
  if (first === undefined) return '(none)';
  const columns = Object.keys(first);
  const heading = columns.map(columnHeading);
  const cells = rows.map(row => columns.map(column => String(row[column])));
  const lines = [heading, ...cells];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map(line => line[index]!.length)),
  );
  return lines.map(line => lineText(line, widths)).join('\n');
}

/** Returns `FAILURE DOMAIN` for `failureDomain`. */
function columnHeading(column: string): string {
  return column.replace(/[A-Z]/g, letter => ` ${letter}`).toUpperCase();
}

function lineText(cells: readonly string[], widths: readonly number[]): string {
  const padded = cells.map((cell, index) => cell.padEnd(widths[index]!));
  return padded.join('  ').trimEnd();
}
