/**
 * Types and protocols shared by the daemon, the command line and the stand-ins.
 */
export * from './backend_server/protocol.js';
export * from './caller/protocol.js';
export * from './configuration/change_set.js';
export * from './configuration/configuration.js';
export * from './contract/contract.js';
export * from './contract/rank.js';
export * from './platform/protocol.js';
export * from './service/service_config.js';
export * from './settings/jsonc_document.js';
export * from './settings/problem.js';
export * as operatorRpc from './operator/index.js';
