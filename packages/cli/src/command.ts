/** What an operator asks for on the command line. */

/** Where and how a command runs. */
export interface Connection {
  /** Base URL of an instance's operator address. */
  readonly server: string;
  readonly token: string;
  /** Time for the whole command, milliseconds; unlimited if undefined. */
  readonly timeoutMs: number | undefined;
}

/** Forms of output. */
export const OutputFormat = {Table: 'table', Json: 'json'} as const;

/** One of the values of {@link OutputFormat}. */
export type OutputFormat = (typeof OutputFormat)[keyof typeof OutputFormat];

/** Options of the commands that change the configuration. */
export interface ChangeOptions {
  readonly dryRun: boolean;
  /** Revision that the change is written against; read first if undefined. */
  readonly baseRevision: number | undefined;
  /** Chosen at random if undefined. */
  readonly operationId: string | undefined;
}

/** One command. */
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

/** A command line that was understood. */
export type Invocation =
  | {readonly kind: 'help'; readonly verb: Verb | undefined}
  /** Works on logs, without an instance. */
  | {
      readonly kind: 'explain';
      readonly request: string;
      readonly files: readonly string[];
      readonly output: OutputFormat;
    }
  | {
      readonly kind: 'run';
      readonly command: Command;
      readonly connection: Connection;
      readonly output: OutputFormat;
    };
