/** Stand-ins for the platform and backend servers, for tests and benchmarks. */
export {BackendServer} from './backend_server/backend_server.js';
export type {BackendAnswer} from './backend_server/received_request.js';
export type {
  BackendServerFault,
  BackendServerFaultsChange,
} from './backend_server/faults.js';
export type {LedgerReport, RunCounts as Runs} from './backend_server/ledger.js';
export type {BackendServerOptions} from './backend_server/options.js';
export {ServiceTimeDistribution} from './backend_server/service_time_sampler.js';
export type {
  ReadWriteCounts as Accesses,
  CountsReport,
} from './platform/access_counts.js';
export {CLIENT_HEADER} from './platform/faults.js';
export type {PlatformFault, PlatformFaultsChange} from './platform/faults.js';
export type {InstancesChange} from './platform/messages.js';
export {Platform} from './platform/platform.js';
export type {PlatformOptions} from './platform/platform.js';
