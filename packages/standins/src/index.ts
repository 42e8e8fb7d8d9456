/** Stand-ins of outside systems, for tests and benchmarks. */
export {BackendServer} from './backend_server/backend_server.js';
export type {BackendAnswer} from './backend_server/call.js';
export type {
  BackendServerFault,
  BackendServerFaultsChange,
} from './backend_server/faults.js';
export type {LedgerReport, RunCounts as Runs} from './backend_server/ledger.js';
export type {BackendServerOptions} from './backend_server/options.js';
export {Distribution} from './backend_server/service_time.js';
export type {Accesses, CountsReport} from './platform/access_counts.js';
export {CLIENT_HEADER} from './platform/faults.js';
export type {PlatformFault, PlatformFaultsChange} from './platform/faults.js';
export type {InstancesChange} from './platform/messages.js';
export {Platform} from './platform/platform.js';
export type {PlatformOptions} from './platform/platform.js';
