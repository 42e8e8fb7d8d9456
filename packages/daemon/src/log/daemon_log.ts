/** Log of the process: JSON lines written by winston to standard output. */
import {Writable} from 'node:stream';
import winston from 'winston';
import type {LogLevel} from '../settings/settings.js';
import {LineBuffer, type LineSink} from './line_buffer.js';

/** Key of the formatted line that winston's transports write. */
const FORMATTED_LINE = Symbol.for('message');

/** Formats a line in place; the formats of winston would copy it twice. */
const asJsonLine = winston.format(info => {
  info['time'] = new Date().toISOString();
  info[FORMATTED_LINE] = stringify(info);
  return info;
});

/** Returns a stream that adds formatted lines to a buffer. */
function createBufferedStream(lines: LineBuffer): Writable {
  return new Writable({
    decodeStrings: false,
    write: (line: string, unusedEncoding, done) => {
      lines.add(line);
      done();
    },
  });
}

/** Logger of the process, with a level that can change at run time. */
export class DaemonLog implements Disposable {
  readonly logger: winston.Logger;
  private readonly lines: LineBuffer;
  private readonly onExit = () => this.lines[Symbol.dispose]();

  constructor(
    level: LogLevel,
    instance: string,
    sink: LineSink = process.stdout,
  ) {
    this.lines = new LineBuffer(sink);
    const stream = createBufferedStream(this.lines);
    this.logger = winston.createLogger({
      level,
      defaultMeta: {instance},
      format: asJsonLine(),
      transports: [new winston.transports.Stream({stream, eol: ''})],
    });
    process.once('exit', this.onExit);
  }

  /** The level in force. */
  get level(): LogLevel {
    return this.logger.level as LogLevel;
  }

  /** Changes the level for all later lines. */
  setLevel(level: LogLevel): void {
    this.logger.level = level;
  }

  /** Writes the lines that are still buffered. */
  [Symbol.dispose](): void {
    process.off('exit', this.onExit);
    this.lines[Symbol.dispose]();
  }
}

function stringify(line: Record<string, unknown>): string {
  try {
    return JSON.stringify(line);
  } catch (err) {
    // A field that cannot be serialized must not end the process.
    const {level, message} = line;
    return JSON.stringify({level, message, unprintable: String(err)});
  }
}
