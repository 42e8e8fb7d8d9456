/** Sends metrics with hot-shots: statsd over UDP, with tags. */
import {StatsD} from 'hot-shots';
import type {Counter, Gauge, MetricSink, Tags, Timing} from './metric.js';
import {TIMING_SAMPLE_INTERVAL} from './metric.js';

/** Destination and naming of the metrics. */
export interface StatsdMetricsOptions {
  readonly enabled: boolean;
  /** IP address of the statsd server. */
  readonly host: string;
  readonly port: number;
  /** Prefix of each name. */
  readonly prefix: string;
  /** Identity of the instance, a tag of each metric. */
  readonly instance: string;
}

/** Datagram size that fits into one Ethernet frame, bytes. */
const MAX_DATAGRAM_BYTES = 1_400;
/** Interval between two flushes, milliseconds. */
const FLUSH_INTERVAL_MS = 1_000;
/** Limit of combinations of name and tags that are aggregated between two flushes. */
const MAX_CONTEXTS = 20_000;

/** Sends metrics to a statsd server; does nothing if they are disabled. */
export class StatsdMetrics implements MetricSink, AsyncDisposable {
  private readonly client: StatsD | undefined;
  private timingCount = 0;

  /** @param onError Called with each error; later metrics are still sent. */
  constructor(options: StatsdMetricsOptions, onError: (err: Error) => void) {
    const {enabled, host, port, prefix, instance} = options;
    if (!enabled) return;
    this.client = new StatsD({
      host,
      port,
      prefix,
      globalTags: {instance},
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      aggregation: {
        flushInterval: FLUSH_INTERVAL_MS,
        maxContexts: MAX_CONTEXTS,
      },
      includeDataDogTags: false,
      errorHandler: onError,
    });
  }

  count(name: Counter, tags: Tags): void {
    this.client?.increment(name, 1, {tags});
  }

  gauge(name: Gauge, value: number): void {
    this.client?.gauge(name, value);
  }

  time(name: Timing, ms: number, tags: Tags): void {
    if (!this.client) return;
    // Every nth timing, not a random one: the rate is exact and no random
    // number is needed.
    this.timingCount = (this.timingCount + 1) % TIMING_SAMPLE_INTERVAL;
    if (this.timingCount === 0) this.client.timing(name, ms, {tags});
  }

  /** Flushes the remaining metrics and closes the socket. */
  async [Symbol.asyncDispose](): Promise<void> {
    const {client} = this;
    if (!client) return;
    await new Promise<void>(resolve => client.close(() => resolve()));
  }
}
