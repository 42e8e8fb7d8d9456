/** The log of the process: JSON lines by winston, on standard output. */
import {Writable} from 'node:stream';
import winston from 'winston';
import type {LogLevel} from '../settings/settings.js';
import {LineBuffer, type LineSink} from './line_buffer.js';

/** Key under which winston's transports find the finished line. */
const FORMATTED_LINE = Symbol.for('message');

/** Finishes a line in place; the stock formats copy it twice. */
const asJsonLine = winston.format(info => {
  info['time'] = new Date().toISOString();
  info[FORMATTED_LINE] = stringify(info);
  return info;
});

/** Passes finished lines on to a buffer. */
function createBufferedStream(lines: LineBuffer): Writable {
  return new Writable({
    decodeStrings: false,
    write: (line: string, unusedEncoding, done) => {
      lines.add(line);
      done();
    },
  });
}

/** The log, and its level. */
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

  /** Changes the level from the next line on. */
  setLevel(level: LogLevel): void {
    this.logger.level = level;
  }

  /** Writes what is still in the buffer. */
  [Symbol.dispose](): void {
    process.off('exit', this.onExit);
    this.lines[Symbol.dispose]();
  }
}

function stringify(line: Record<string, unknown>): string {
  try {
    return JSON.stringify(line);
  } catch (err) {
    // A field that JSON cannot hold must not end the process.
    const {level, message} = line;
    return JSON.stringify({level, message, unprintable: String(err)});
  }
}
