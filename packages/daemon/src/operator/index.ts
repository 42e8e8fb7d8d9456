/** Serves the operators' RPC of an instance. */
export * from './operator_server.js';
export * from './operator_tokens.js';
export type {Clock} from './clock.js';
export type {OperatorAudit, OperatorEvent} from './operator_audit.js';
