/** The metrics of the process by hot-shots: statsd over UDP, with tags. */
import {StatsD} from 'hot-shots';
import type {Counter, Gauge, MetricSink, Tags, Timing} from './metric.js';
import {TIMING_SAMPLE_INTERVAL} from './metric.js';

/** Where and under what name metrics are sent. */
export interface StatsdMetricsOptions {
  readonly enabled: boolean;
  /** IP address of the statsd server. */
  readonly host: string;
  readonly port: number;
  /** Put before each name. */
  readonly prefix: string;
  /** Tag of each metric. */
  readonly instance: string;
}

/** Bytes of a datagram that an Ethernet frame holds. */
const MAX_DATAGRAM_BYTES = 1_400;
/** Time between two sendings, milliseconds. */
const FLUSH_INTERVAL_MS = 1_000;
/** Combinations of name and tags that are added up between two sendings. */
const MAX_CONTEXTS = 20_000;

/** Sends metrics; does nothing if they are not enabled. */
export class StatsdMetrics implements MetricSink, AsyncDisposable {
  private readonly client: StatsD | undefined;
  private timingCount = 0;

  /** @param onError Told of errors; sending goes on. */
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
    // Each nth and not at random: the rate is exact and costs no drawing.
    this.timingCount = (this.timingCount + 1) % TIMING_SAMPLE_INTERVAL;
    if (this.timingCount === 0) this.client.timing(name, ms, {tags});
  }

  /** Sends what is left and closes the socket. */
  async [Symbol.asyncDispose](): Promise<void> {
    const {client} = this;
    if (!client) return;
    await new Promise<void>(resolve => client.close(() => resolve()));
  }
}
