/** Names, kinds and tags of the metrics; see docs/METRICS.md. */

/** Counters: number of events since the last report. */
export const Counter = {
  /** Attempts sent to backend servers. Tags: service, rank, cause. */
  Attempts: 'attempts',
  /** Calls that a backend server answered. Tags: service, rank, status. */
  CallsAnswered: 'calls.answered',
  /** Calls answered with the stored answer of an earlier run. Tags: service, rank. */
  CallsReplayed: 'calls.replayed',
  /** Refused calls. Tags: service, rank, reason, outcome. */
  CallsRefused: 'calls.refused',
  /** Messages refused before they became calls. Tags: reason. */
  MessagesRefused: 'messages.refused',
} as const;

/** One of the values of {@link Counter}. */
export type Counter = (typeof Counter)[keyof typeof Counter];

/** Gauges: current values. */
export const Gauge = {
  /** Open connections of callers. */
  Connections: 'connections',
  /** Bytes of callers' bodies in memory. */
  BodyBytes: 'body_bytes',
  /** Longest delay of the event loop since the last report, milliseconds. */
  LoopDelayMs: 'loop_delay_ms',
  /** CPU time used since the last report, in cores; above 1 with several threads. */
  CpuShare: 'cpu_share',
  /** Resident memory of the process, bytes. */
  ResidentBytes: 'resident_bytes',
  /** Revision of the configuration in force. */
  Revision: 'revision',
} as const;

/** One of the values of {@link Gauge}. */
export type Gauge = (typeof Gauge)[keyof typeof Gauge];

/** Timings, milliseconds; one in {@link TIMING_SAMPLE_INTERVAL} is sent. */
export const Timing = {
  /** Time from a complete request to its answer. Tags: service, result. */
  CallMs: 'call_ms',
} as const;

/** One of the values of {@link Timing}. */
export type Timing = (typeof Timing)[keyof typeof Timing];

/** Of this many consecutive timings, one is sent. */
export const TIMING_SAMPLE_INTERVAL = 16;

/** Tags of a metric, by name. */
export type Tags = Readonly<Record<string, string>>;

/** Destination of the metrics. */
export interface MetricSink {
  count(name: Counter, tags: Tags): void;
  gauge(name: Gauge, value: number): void;
  time(name: Timing, ms: number, tags: Tags): void;
}
