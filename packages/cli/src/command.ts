/** Commands of the client, as parsed from the command line. */

/** Server, credentials and time-out of a command. */
export interface Connection {
  /** Base URL of the operator address of an instance. */
  readonly server: string;
  readonly token: string;
  /** Time-out of the whole command, in milliseconds; none if undefined. */
  readonly timeoutMs: number | undefined;
}

/** Output formats. */
export const OutputFormat = {Table: 'table', Json: 'json'} as const;

/** One of the values of {@link OutputFormat}. */
export type OutputFormat = (typeof OutputFormat)[keyof typeof OutputFormat];

/** Options of the commands that change the configuration. */
export interface ChangeOptions {
  readonly dryRun: boolean;
  /** Base of the change; if undefined, the current revision is read first. */
  readonly baseRevision: number | undefined;
  /** Generated at random if undefined. */
  readonly operationId: string | undefined;
}

/** A command that is sent to an instance. */
export type Command =
  | {
      readonly kind: 'apply';
      readonly file: string;
      readonly change: ChangeOptions;
    }
  | {readonly kind: 'get'; readonly serviceId: string | undefined}
  | {readonly kind: 'list'; readonly member: string}
  | {
      readonly kind: 'remove';
      readonly serviceId: string;
      readonly change: ChangeOptions;
    }
  | {
      readonly kind: 'drain';
      readonly serviceId: string;
      readonly backendServerId: string;
      readonly change: ChangeOptions;
    }
  | {readonly kind: 'rollout'; readonly revision: number | undefined}
  | {readonly kind: 'watch'}
  | {readonly kind: 'status'}
  | {readonly kind: 'history'};

/** Name of a verb. */
export type Verb = Command['kind'] | 'explain';

/** A valid command line. */
export type Invocation =
  | {readonly kind: 'help'; readonly verb: Verb | undefined}
  /** Evaluates log files without connecting to an instance. */
  | {
      readonly kind: 'explain';
      readonly request: string;
      readonly files: readonly string[];
      readonly output: OutputFormat;
    }
  /** Counts the failed requests in log files. */
  | {
      readonly kind: 'summarize';
      readonly files: readonly string[];
      readonly output: OutputFormat;
    }
  | {
      readonly kind: 'run';
      readonly command: Command;
      readonly connection: Connection;
      readonly output: OutputFormat;
    };
