/** Public modules of the gateway. */
export * from './content/content_table.js';
export * from './instance/gateway.js';
export * from './instance/pause_guard.js';
export type {ServingCheck} from './instance/serving_instances.js';
export * from './log/gateway_log.js';
export * from './peer/fleet_directory.js';
export * from './platform/row_source.js';
export * from './platform/table_follower.js';
export * from './platform/wire_format.js';
export * from './metrics/gateway_metrics.js';
export * from './metrics/metrics_server.js';
