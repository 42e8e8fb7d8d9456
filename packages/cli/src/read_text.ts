/** Reads files named on the command line. */
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';

const STDIN_FD = 0;

/** Returns the text of a file, or of standard input if `file` is `-`. */
export function readText(file: string): Result<string, string> {
  try {
    return ok(readFileSync(file === '-' ? STDIN_FD : file, 'utf8'));
  } catch (reason) {
    const message = reason instanceof Error ? reason.message : String(reason);
    return err(`cannot read ${file}: ${message}; check its name`);
  }
}
