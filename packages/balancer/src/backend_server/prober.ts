/**
 * The task that keeps the serving confirmation of one backend server valid.
 * Answers to ordinary requests confirm it at no extra cost. Only a server
 * without recent answers is probed: by this instance if its permit allows,
 * otherwise through a peer.
 */
import type {ServiceId} from '@ragworthall/contracts';
import type {BackendLink, LoadHint} from '../link/call.js';
import type {Clock, Timers} from '../link/clock.js';
import type {Service} from '../service/service.js';
import type {BackendServer} from './backend_server.js';
import {LeavingSource} from './leaving_status.js';
import type {ProbePermit} from './probe_permit.js';

/** Time before a confirmation expires at which it is renewed, milliseconds. */
const REFRESH_LEAD_MS = 500;
/** Timeout of a probe, milliseconds. */
const PROBE_TIMEOUT_MS = 500;
/** Initial retry delay after a failed renewal, milliseconds; doubles each time. */
const FIRST_RETRY_MS = 100;
/** Maximum retry delay after failed renewals, milliseconds. */
const MAX_RETRY_MS = 5_000;
/** Time between two probes of a server that is leaving, milliseconds. */
const LEAVING_RECHECK_MS = 10_000;

/** Result of a probe by another instance. */
export interface ProbeReport {
  readonly load: LoadHint;
  /** Time since the probe was sent, milliseconds. */
  readonly ageMs: number;
}

/** Requests probes from other instances. */
export interface ProbeDelegate {
  /** Requests a recent report; undefined if no instance could provide one. */
  probe(
    serviceId: ServiceId,
    serverId: string,
    signal: AbortSignal,
  ): Promise<ProbeReport | undefined>;
}

/** Dependencies shared by all probers of an instance. */
export interface ProberOptions {
  readonly backend: BackendLink;
  readonly delegate: ProbeDelegate;
  readonly clock: Clock;
  readonly timers: Timers;
  /** Whether this instance holds its seat and may use the permits of the seat. */
  mayProbe(now: number): boolean;
}

/** Keeps the serving confirmation of one backend server valid until disposed. */
export class Prober implements AsyncDisposable {
  private readonly stop = new AbortController();
  private readonly task: Promise<void>;
  private failedAttempts = 0;
  /** Start of the latest attempt to renew the confirmation. */
  private lastAttemptAt = -Infinity;

  constructor(
    private readonly service: Service,
    private readonly server: BackendServer,
    private readonly permit: ProbePermit,
    private readonly options: ProberOptions,
  ) {
    this.task = this.run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.task;
  }

  /**
   * Probes on behalf of a peer; undefined if this instance's permit does not
   * allow a probe or the server does not answer.
   */
  async probeForPeer(): Promise<ProbeReport | undefined> {
    const {clock} = this.options;
    const startedAt = clock.now();
    const load = await this.probeDirectly();
    return load && {load, ageMs: clock.now() - startedAt};
  }

  private async run(): Promise<void> {
    const {signal} = this.stop;
    while (!signal.aborted) {
      await this.sleepUntil(this.nextAttemptAt());
      if (signal.aborted) return;
      // An answer to a request may have renewed the confirmation meanwhile.
      if (this.options.clock.now() < this.nextAttemptAt()) continue;
      const isRefreshed = await this.refresh();
      this.failedAttempts = isRefreshed ? 0 : this.failedAttempts + 1;
      if (!isRefreshed) await this.sleepUntil(this.retryAt());
    }
  }

  /** Time at which to renew the confirmation if no answer does so before. */
  private nextAttemptAt(): number {
    if (this.server.isLeaving()) return this.lastAttemptAt + LEAVING_RECHECK_MS;
    return this.server.confirmedServingUntil - REFRESH_LEAD_MS;
  }

  private retryAt(): number {
    const now = this.options.clock.now();
    const backoff = FIRST_RETRY_MS * 2 ** Math.min(this.failedAttempts - 1, 10);
    const retry = now + Math.min(backoff, MAX_RETRY_MS);
    // The permit may allow a direct probe before the next query to a peer.
    const {availableAt} = this.permit;
    return availableAt > now ? Math.min(retry, availableAt) : retry;
  }

  private async refresh(): Promise<boolean> {
    const {clock} = this.options;
    const startedAt = clock.now();
    this.lastAttemptAt = startedAt;
    if (
      startedAt >= this.permit.availableAt &&
      this.options.mayProbe(startedAt)
    ) {
      const load = await this.probeDirectly();
      if (load) return this.applyReport(load, startedAt, LeavingSource.Probe);
    }
    const report = await this.probeThroughPeer();
    if (!report) return false;
    const asOf = clock.now() - report.ageMs;
    return this.applyReport(report.load, asOf, LeavingSource.Peer);
  }

  private async probeDirectly(): Promise<LoadHint | undefined> {
    const {backend, clock, mayProbe} = this.options;
    const now = clock.now();
    if (!mayProbe(now) || !this.permit.tryAcquire(now)) return undefined;
    using probeTimeout = this.probeTimeout();
    const result = await backend.probe(
      this.server.cfg.address,
      probeTimeout.signal,
    );
    this.permit.release(clock.now());
    return result.kind === 'answered' ? result.load : undefined;
  }

  private async probeThroughPeer(): Promise<ProbeReport | undefined> {
    using probeTimeout = this.probeTimeout();
    const {id} = this.server.cfg;
    return await this.options.delegate.probe(
      this.service.id,
      id,
      probeTimeout.signal,
    );
  }

  private applyReport(
    load: LoadHint,
    asOf: number,
    source: LeavingSource,
  ): boolean {
    const {backend, clock} = this.options;
    const {address, slots} = this.server.cfg;
    const now = clock.now();
    this.service.recordProbe(this.server, load, asOf, now, source);
    if (this.server.isConfirmedServing(now)) backend.warmUp?.(address, slots);
    // A report that is already out of date must not cause an immediate retry.
    return this.nextAttemptAt() > now;
  }

  /** Returns a signal that aborts one probe on timeout or on disposal. */
  private probeTimeout(): {readonly signal: AbortSignal} & Disposable {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = this.options.timers.set(PROBE_TIMEOUT_MS, abort);
    this.stop.signal.addEventListener('abort', abort);
    return {
      signal: controller.signal,
      [Symbol.dispose]: () => {
        timer[Symbol.dispose]();
        this.stop.signal.removeEventListener('abort', abort);
      },
    };
  }

  private async sleepUntil(time: number): Promise<void> {
    const {clock, timers} = this.options;
    const {signal} = this.stop;
    const delayMs = time - clock.now();
    if (delayMs <= 0 || signal.aborted) return;
    await new Promise<void>(resolve => {
      const timer = timers.set(delayMs, () => wake());
      const wake = () => {
        timer[Symbol.dispose]();
        signal.removeEventListener('abort', wake);
        resolve();
      };
      signal.addEventListener('abort', wake);
    });
  }
}
