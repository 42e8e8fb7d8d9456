/**
 * The task that keeps the sign of one backend server fresh. Traffic gives
 * signs for nothing; only a server without them is probed, by this instance
 * if its own right is due, or else by a peer.
 */
import type {ServiceId} from '@ragworthall/contracts';
import type {BackendLink, LoadHint} from '../link/call.js';
import type {Clock, Timers} from '../link/clock.js';
import type {Service} from '../service/service.js';
import type {BackendServer} from './backend_server.js';
import {LeavingSource} from './leaving_status.js';
import type {ProbePermit} from './probe_permit.js';

/** Time before a sign grows stale at which a new one is fetched, milliseconds. */
const LEAD_MS = 500;
/** Time until a probe without an answer is given up, milliseconds. */
const PROBE_TIMEOUT_MS = 500;
/** Wait after a try that gave no sign, milliseconds; it doubles. */
const FIRST_RETRY_MS = 100;
/** Longest wait after tries that gave no sign, milliseconds. */
const MAX_RETRY_MS = 5_000;
/** Time between two looks at a server that is leaving, milliseconds. */
const LEAVING_RECHECK_MS = 10_000;

/** What a probe by another instance found. */
export interface ProbeReport {
  readonly load: LoadHint;
  /** Time since the probe was sent, milliseconds. */
  readonly ageMs: number;
}

/** Other instances that may probe in place of this one. */
export interface ProbeDelegate {
  /** Asks for a fresh report; undefined if nobody could give one. */
  probe(
    serviceId: ServiceId,
    serverId: string,
    signal: AbortSignal,
  ): Promise<ProbeReport | undefined>;
}

/** What probers are given. */
export interface ProberOptions {
  readonly backend: BackendLink;
  readonly delegate: ProbeDelegate;
  readonly clock: Clock;
  readonly timers: Timers;
  /** Whether this instance holds its seat, whose right it uses. */
  mayProbe(now: number): boolean;
}

/** Keeps the sign of one backend server fresh until it is disposed of. */
export class Prober implements AsyncDisposable {
  private readonly stop = new AbortController();
  private readonly task: Promise<void>;
  private failures = 0;
  /** Start of the newest try to fetch a sign. */
  private lastLook = -Infinity;

  constructor(
    private readonly service: Service,
    private readonly server: BackendServer,
    private readonly right: ProbePermit,
    private readonly options: ProberOptions,
  ) {
    this.task = this.run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.task;
  }

  /**
   * Probes for a peer, by this instance's right; undefined if it is not due or
   * there was no answer.
   */
  async probeForPeer(): Promise<ProbeReport | undefined> {
    const {clock} = this.options;
    const startedAt = clock.now();
    const load = await this.probeBySelf();
    return load && {load, ageMs: clock.now() - startedAt};
  }

  private async run(): Promise<void> {
    const {signal} = this.stop;
    while (!signal.aborted) {
      await this.sleepUntil(this.nextLook());
      if (signal.aborted) return;
      // Traffic may have brought a sign meanwhile.
      if (this.options.clock.now() < this.nextLook()) continue;
      const fetched = await this.fetchSign();
      this.failures = fetched ? 0 : this.failures + 1;
      if (!fetched) await this.sleepUntil(this.retryAt());
    }
  }

  /** Time at which a sign has to be fetched if none comes by itself. */
  private nextLook(): number {
    if (this.server.isLeaving()) return this.lastLook + LEAVING_RECHECK_MS;
    return this.server.confirmedServingUntil - LEAD_MS;
  }

  private retryAt(): number {
    const now = this.options.clock.now();
    const backoff = FIRST_RETRY_MS * 2 ** Math.min(this.failures - 1, 10);
    const retry = now + Math.min(backoff, MAX_RETRY_MS);
    // One's own right may be due earlier than a peer is asked again.
    const {availableAt: dueAt} = this.right;
    return dueAt > now ? Math.min(retry, dueAt) : retry;
  }

  private async fetchSign(): Promise<boolean> {
    const {clock} = this.options;
    const startedAt = clock.now();
    this.lastLook = startedAt;
    if (
      startedAt >= this.right.availableAt &&
      this.options.mayProbe(startedAt)
    ) {
      const load = await this.probeBySelf();
      if (load) return this.takeIn(load, startedAt, LeavingSource.Probe);
    }
    const report = await this.probeByPeer();
    if (!report) return false;
    const asOf = clock.now() - report.ageMs;
    return this.takeIn(report.load, asOf, LeavingSource.Peer);
  }

  private async probeBySelf(): Promise<LoadHint | undefined> {
    const {backend, clock, mayProbe} = this.options;
    const now = clock.now();
    if (!mayProbe(now) || !this.right.tryAcquire(now)) return undefined;
    using limit = this.limit();
    const result = await backend.probe(this.server.cfg.address, limit.signal);
    this.right.release(clock.now());
    return result.kind === 'answered' ? result.load : undefined;
  }

  private async probeByPeer(): Promise<ProbeReport | undefined> {
    using limit = this.limit();
    const {id} = this.server.cfg;
    return await this.options.delegate.probe(this.service.id, id, limit.signal);
  }

  private takeIn(load: LoadHint, asOf: number, source: LeavingSource): boolean {
    const {backend, clock} = this.options;
    const {address, slots} = this.server.cfg;
    const now = clock.now();
    this.service.recordProbe(this.server, load, asOf, now, source);
    if (this.server.isConfirmedServing(now)) backend.warmUp?.(address, slots);
    // A report that is old already is no reason to ask again at once.
    return this.nextLook() > now;
  }

  /** A signal for one probe: it comes with the time-out or the end. */
  private limit(): {readonly signal: AbortSignal} & Disposable {
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
