/** Exit codes of the operators' client. */

/** Exit codes for scripts that call the client. */
export const ExitCode = {
  /** The command succeeded. */
  Done: 0,
  /** Refused or failed; nothing was changed. */
  Failed: 1,
  /** The command line or the file is invalid; nothing was sent. */
  Usage: 2,
  /** Another change was accepted first; nothing was changed. */
  Conflict: 3,
  /** Timed out: outcome unknown, or not in force on all instances yet. */
  Pending: 4,
  /** The server or its store cannot be reached; nothing was changed. */
  Unavailable: 5,
} as const;

/** One of the values of {@link ExitCode}. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
