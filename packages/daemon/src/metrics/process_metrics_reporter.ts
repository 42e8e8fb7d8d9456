/** Reports metrics of the process at regular intervals. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Gauge, type MetricSink} from './metric.js';

/** Interval between two reports, milliseconds. */
const REPORT_INTERVAL_MS = 10_000;
/** Sampling interval of the event loop delay, milliseconds. */
const LOOP_DELAY_RESOLUTION_MS = 10;
const NS_PER_MS = 1e6;
const US_PER_MS = 1e3;

/** Reads the gauges of other components, at each report. */
export type GaugeReader = () => ReadonlyArray<readonly [Gauge, number]>;

/** Reports gauges until it is disposed of. */
export class ProcessMetricsReporter implements AsyncDisposable {
  private readonly stop = new AbortController();
  private readonly loopDelay = monitorEventLoopDelay({
    resolution: LOOP_DELAY_RESOLUTION_MS,
  });
  private readonly task: Promise<void>;
  private cpu = process.cpuUsage();
  private reportedAt: number;

  /**
   * @param readGauges Reads the gauges of other components.
   * @param now Monotonic time, milliseconds.
   */
  constructor(
    private readonly metrics: MetricSink,
    private readonly readGauges: GaugeReader,
    private readonly now: () => number,
  ) {
    this.reportedAt = now();
    this.loopDelay.enable();
    this.task = this.run();
  }

  /** Reports once. */
  report(now: number): void {
    const used = process.cpuUsage(this.cpu);
    const elapsedUs = Math.max(1, (now - this.reportedAt) * US_PER_MS);
    const gauges: ReadonlyArray<readonly [Gauge, number]> = [
      [Gauge.LoopDelayMs, this.loopDelay.max / NS_PER_MS],
      [Gauge.CpuShare, (used.user + used.system) / elapsedUs],
      [Gauge.ResidentBytes, process.memoryUsage.rss()],
      ...this.readGauges(),
    ];
    gauges.forEach(([name, value]) => this.metrics.gauge(name, value));
    this.cpu = process.cpuUsage();
    this.reportedAt = now;
    this.loopDelay.reset();
  }

  /** Stops the intervals and reports once more. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.task;
    this.loopDelay.disable();
    this.report(this.now());
  }

  private async run(): Promise<void> {
    const {signal} = this.stop;
    while (!signal.aborted) {
      await delay(REPORT_INTERVAL_MS, undefined, {signal}).catch(
        () => undefined,
      );
      if (!signal.aborted) this.report(this.now());
    }
  }
}
