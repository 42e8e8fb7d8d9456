/** Public API of the balancer: load balancing decisions, independent of protocols. */
export * from './backend_server/backend_server.js';
export * from './backend_server/leaving_status.js';
export * from './backend_server/probe_permit.js';
export * from './backend_server/prober.js';
export * from './backend_server/service_probers.js';
export * from './backend_server/slot_use.js';
export * from './configuration/replicated_configuration.js';
export * from './configuration/configuration_rows.js';
export * from './configuration/configuration_service.js';
export * from './content/crash_record.js';
export * from './content/run_lock.js';
export * from './content/suspect_contents.js';
export * from './contract/call_limits.js';
export * from './instance/acceptance.js';
export * from './instance/acceptance_tracker.js';
export * from './instance/cell.js';
export * from './failure_domain/failure_domains.js';
export * from './instance/fleet.js';
export * from './instance/membership.js';
export * from './instance/ownership.js';
export * from './instance/ownership_view.js';
export * from './instance/peer_handlers.js';
export * from './instance/seat.js';
export * from './instance/seat_registration.js';
export * from './instance/serving_lease.js';
export * from './link/abort.js';
export * from './link/call.js';
export * from './link/clock.js';
export * from './link/random.js';
export * from './link/refusal_message.js';
export * from './member/member_shares.js';
export * from './platform/table.js';
export * from './request_key/request_key.js';
export * from './request_key/request_ledger.js';
export * from './service/call_runner.js';
export {
  ContentQuarantine,
  type ContentReport,
  CRASHES_TO_QUARANTINE,
  FIRST_QUARANTINE_MS,
} from './service/content_quarantine.js';
export * from './service/dispatch_policy.js';
export * from './service/service.js';
export * from './backend_server/server_statement.js';
export * from './backend_server/shared_server.js';
export * from './backend_server/backpressure.js';
export * from './instance/limit_shares.js';
export * from './instance/server_reach.js';
export * from './service/relay_advice.js';
export * from './instance/stop_plan.js';
export * from './backend_server/probe_rate_limiter.js';
export * from './instance/deployment.js';
export * from './instance/lapsed_servers.js';
export * from './instance/update_sources.js';
export * from './instance/table_position.js';
export * from './route/route.js';
export * from './route/route_table.js';
export * from './route/weighted_split.js';
export * from './service/hedge.js';
export * from './service/placement_round.js';
export * from './service/repeat_budget.js';
export * from './service/retry_advice.js';
export * from './service/shared_service.js';
export * from './service/server_snapshot.js';
