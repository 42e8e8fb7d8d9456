/** Errors with which operators' calls are refused. */
import {
  assertNever,
  problemText,
  type Problem,
  type ServiceId,
} from '@ragworthall/contracts';

/** Reason of a refusal; the call changed nothing. */
export type OperatorError =
  /** The call carries no token, or one that belongs to no member. */
  | {readonly kind: 'unknown_token'}
  /** The call would change another member's service. */
  | {
      readonly kind: 'other_member';
      readonly by: string;
      readonly serviceId: ServiceId;
    }
  /** The request does not conform to its schema. */
  | {readonly kind: 'invalid'; readonly problems: readonly Problem[]}
  | {
      readonly kind: 'service_not_found';
      readonly serviceId: string;
      readonly revision: number;
    }
  | {
      readonly kind: 'backend_server_not_found';
      readonly serviceId: ServiceId;
      readonly id: string;
      readonly revision: number;
    }
  /** This instance does not have the request's base revision yet. */
  | {
      readonly kind: 'behind';
      readonly revision: number;
      readonly baseRevision: number;
    };

/** Returns a message that states the error and its remedy. */
export function operatorErrorText(err: OperatorError): string {
  switch (err.kind) {
    case 'unknown_token':
      return 'the token belongs to no member; send a member\'s token in the header "Authorization: Bearer TOKEN"';
    case 'other_member':
      return `operators of ${err.by} cannot change ${err.serviceId}; use a token of that member or leave the service out`;
    case 'invalid':
      return err.problems.map(problemText).join('\n');
    case 'service_not_found':
      return `revision ${err.revision} has no service ${err.serviceId}; list the services to see their names`;
    case 'backend_server_not_found':
      return `service ${err.serviceId} has no backend server ${err.id} in revision ${err.revision}; get the service to see their ids`;
    case 'behind':
      return `this instance has revision ${err.revision} and the change is based on ${err.baseRevision}; send it again in a moment, or to another instance`;
    default:
      throw assertNever(err);
  }
}
