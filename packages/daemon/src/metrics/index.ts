/** Metrics of the daemon. */
export * from './counting_decision_log.js';
export * from './metric.js';
export * from './statsd_metrics.js';
export * from './process_metrics_reporter.js';
