/** Dependencies of the verbs. */
import type {Connection} from '../command.js';
import type {OperatorClient} from '../operator_client.js';
import type {Output} from '../output.js';

/** Passed to each verb that calls an instance. */
export interface VerbContext {
  readonly client: OperatorClient;
  readonly connection: Connection;
  readonly output: Output;
  /** Aborts on time-out or when the operator interrupts the command. */
  readonly signal: AbortSignal;
}
