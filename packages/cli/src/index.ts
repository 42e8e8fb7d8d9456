/** Library interface of the operators' client. */
export {ExitCode} from './exit_code.js';
export {OperatorClient} from './operator_client.js';
export {run} from './run.js';
export {
  retryUntilResolved,
  type ChangeResolution,
} from './change_resolution.js';
export type {Streams} from './output.js';
