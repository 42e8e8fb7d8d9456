/** Audit events of operators' calls, for the log. */
import type {ServiceId} from '@ragworthall/contracts';
import type {ChangeAnswer} from './operator_api.js';
import type {OperatorError} from './operator_error.js';

/** An answered change call or a refused call. */
export type OperatorEvent =
  | {
      readonly kind: 'change_answered';
      readonly by: string;
      readonly operationId: string;
      readonly baseRevision: number;
      readonly dryRun: boolean;
      readonly serviceIds: readonly ServiceId[];
      readonly answer: ChangeAnswer['kind'];
    }
  | {
      readonly kind: 'call_refused';
      /** Member of the operator; undefined if the token belongs to none. */
      readonly by: string | undefined;
      readonly reason: OperatorError['kind'];
      readonly message: string;
    };

/** Receives audit events. */
export interface OperatorAudit {
  record(event: OperatorEvent): void;
}
