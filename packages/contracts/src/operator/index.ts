/** Generated messages of the operator RPC and their conversion. */
export * from '../gen/operator_pb.js';
export * from './service_encoding.js';
