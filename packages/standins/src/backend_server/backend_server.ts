/** Stand-in for a backend server. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {BackendHeader, LOAD_PATH, ServerState} from '@ragworthall/contracts';
import type {LoadReport} from '@ragworthall/contracts';
import findMyWay from 'find-my-way';
import {Listener} from '../link/listener.js';
import {
  closeSignal,
  readBody,
  readValidJson,
  sendTruncatedJson,
  sendEmpty,
  sendJson,
  Status,
} from '../link/message.js';
import {sleep} from '../link/sleep.js';
import {ReceivedRequest} from './received_request.js';
import {
  BackendServerFaults,
  backendServerFaultsChangeSchema,
} from './faults.js';
import type {BackendServerFault, CrashTrigger} from './faults.js';
import {Ledger} from './ledger.js';
import type {LedgerReport} from './ledger.js';
import {withDefaults} from './options.js';
import type {
  BackendServerOptions,
  ResolvedBackendServerOptions,
} from './options.js';
import {ServiceTimeModel} from './service_time_model.js';
import {ServiceTimeSampler} from './service_time_sampler.js';
import {SlotPool, SlotOutcome} from './slot_pool.js';

/** A load report and when it was taken. */
interface CachedLoadReport {
  readonly report: LoadReport;
  readonly takenAtMs: number;
}

/**
 * Implements the backend server protocol and runs requests on any path. Two
 * endpoints control the stand-in:
 *
 * - `POST /control/faults` with a {@link BackendServerFaultsChange}.
 * - `GET /control/ledger`: 200 with a {@link LedgerReport}.
 */
export class BackendServer implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private readonly slotPool: SlotPool;
  private readonly serviceTimeModel: ServiceTimeModel;
  private pendingRestart: Promise<void> | undefined;
  private faults = new BackendServerFaults([]);
  private readonly ledger: Ledger;
  private readonly router = this.createRouter();
  private readonly listener = new Listener(
    (req, res) => this.router.lookup(req, res),
    () => this.serviceTimeModel.addOverhead(this.options.connectionCostMs),
  );
  /** The last report of the load endpoint, reused under `lagging_health`. */
  private cachedLoad: CachedLoadReport | undefined;

  private constructor(private readonly options: ResolvedBackendServerOptions) {
    const {slots, queueLimit, serviceMs, distribution, seed} = options;
    this.ledger = new Ledger(options.keyedLedger);
    this.slotPool = new SlotPool(slots, queueLimit ?? slots);
    this.serviceTimeModel = new ServiceTimeModel(
      new ServiceTimeSampler(serviceMs, distribution, seed),
    );
  }

  /** Starts a stand-in backend server. */
  static async start(options: BackendServerOptions): Promise<BackendServer> {
    const server = new BackendServer(withDefaults(options));
    await server.listener.listen(server.options.port);
    return server;
  }

  get id(): string {
    return this.options.id;
  }

  get failureDomain(): string {
    return this.options.failureDomain;
  }

  /** Base URL. */
  get url(): string {
    return this.listener.url;
  }

  /** Port on the loopback address. */
  get port(): number {
    return this.listener.port;
  }

  /** Number of requests running or waiting for a slot. */
  get inFlight(): number {
    return this.ledger.inFlight + this.slotPool.queuedCount;
  }

  /** Replaces all active faults; an empty list clears them. */
  setFaults(faults: readonly BackendServerFault[]): void {
    this.faults = new BackendServerFaults(faults);
    this.serviceTimeModel.stragglerFactor = this.faults.slowFactor;
    const draining =
      this.reportedState(performance.now()) === ServerState.Draining;
    this.ledger.recordDraining(draining, Date.now());
    faults.forEach(fault => this.triggerOneTimeFault(fault));
  }

  /** What the server has done so far. */
  ledgerReport(): LedgerReport {
    return this.ledger.report();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.pendingRestart;
    await this.listener[Symbol.asyncDispose]();
  }

  private createRouter(): findMyWay.Instance<findMyWay.HTTPVersion.V1> {
    const router = findMyWay({
      defaultRoute: (req, res) => void this.handleRequest(req, res),
    });
    router.on('GET', LOAD_PATH, (req, res) => this.handleProbe(res));
    router.on('POST', '/control/faults', (req, res) =>
      this.postFaults(req, res),
    );
    router.on('GET', '/control/ledger', (req, res) =>
      sendJson(res, Status.Ok, this.ledger.report()),
    );
    return router;
  }

  /** Handles one request from arrival to answer. */
  private async handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await readBody(req);
    if (body === undefined || this.listener.isSilent(req.socket)) return;
    const request = new ReceivedRequest(
      req,
      res,
      body.toString(),
      performance.now(),
    );
    this.ledger.recordArrival(Date.now());
    if (this.faults.failsFast) return this.answerFailFast(request);
    const outcome = await this.acquireSlot(request);
    switch (outcome) {
      case SlotOutcome.Granted:
        return this.runRequest(request);
      case SlotOutcome.Refused:
      case SlotOutcome.Expired:
        return this.shedRequest(request);
      case SlotOutcome.Cancelled:
        return this.ledger.recordCancelledWaiting(request.ledgerKey);
    }
  }

  private acquireSlot({
    res,
    deadlineMs,
  }: ReceivedRequest): SlotOutcome | Promise<SlotOutcome> {
    if (this.slotPool.tryAcquireSlot()) return SlotOutcome.Granted;
    return this.slotPool.waitForSlot(deadlineMs, closeSignal(res));
  }

  /** Runs a request that holds a slot, releases the slot and answers. */
  private async runRequest(request: ReceivedRequest): Promise<void> {
    if (request.isConnectionClosed) {
      this.ledger.recordCancelledWaiting(request.ledgerKey);
      return this.slotPool.releaseSlot(performance.now());
    }
    const runs = this.ledger.recordStart(request.ledgerKey);
    const completed = await this.execute(request);
    if (completed) this.ledger.recordFinish(runs);
    else this.ledger.recordCancel(runs);
    this.slotPool.releaseSlot(performance.now());
    if (completed) await this.sendAnswer(request);
  }

  /**
   * Waits for the service time; false if the connection closes or the server
   * crashes first.
   */
  private async execute(request: ReceivedRequest): Promise<boolean> {
    const crash = this.faults.crashTriggerFor(request.body);
    if (crash !== undefined) {
      await this.crash(crash);
      return false;
    }
    const runMs = this.serviceTimeModel.nextRunMs(performance.now());
    // Avoids a timer and an abort signal for requests without a service time.
    return runMs <= 0 || sleep(runMs, closeSignal(request.res));
  }

  private async sendAnswer(request: ReceivedRequest): Promise<void> {
    const {answerDelayMs} = this.faults;
    if (answerDelayMs > 0) await sleep(answerDelayMs, closeSignal(request.res));
    if (this.listener.isSilent(request.req.socket)) return;
    this.setAnswerHeaders(request);
    const answer = request.answerBody(this.id);
    if (this.faults.consumeTruncatedAnswer())
      sendTruncatedJson(request.res, Status.Ok, answer);
    else sendJson(request.res, Status.Ok, answer);
  }

  private answerFailFast(request: ReceivedRequest): void {
    this.ledger.recordFailure(request.ledgerKey);
    this.setAnswerHeaders(request);
    sendEmpty(request.res, Status.ServerError);
  }

  private shedRequest(request: ReceivedRequest): void {
    this.ledger.recordShed(request.ledgerKey);
    if (this.listener.isSilent(request.req.socket)) return;
    this.setAnswerHeaders(request);
    request.res.setHeader(BackendHeader.Shed, '1');
    sendEmpty(request.res, Status.Unavailable);
  }

  private setAnswerHeaders({res, requestId}: ReceivedRequest): void {
    res.setHeader(BackendHeader.RequestId, requestId);
    res.setHeader(BackendHeader.InFlight, this.inFlight);
    res.setHeader(BackendHeader.State, this.reportedState(performance.now()));
  }

  private reportedState(now: number): ServerState {
    if (this.faults.state !== undefined) return this.faults.state;
    return this.serviceTimeModel.isColdStarting(now)
      ? ServerState.Starting
      : ServerState.Serving;
  }

  /**
   * Handles one probe. It occupies a slot if one is free; otherwise its cost is
   * added to the next run.
   */
  private async handleProbe(res: ServerResponse): Promise<void> {
    const {socket} = res.req;
    if (this.listener.isSilent(socket)) return;
    this.ledger.recordProbe(Date.now());
    const {probeCostMs} = this.options;
    const costMs = this.serviceTimeModel.applySlowdown(
      probeCostMs,
      performance.now(),
    );
    const slotAcquired = this.slotPool.tryAcquireSlot();
    if (!slotAcquired) this.serviceTimeModel.addOverhead(costMs);
    await sleep(costMs, closeSignal(res));
    if (slotAcquired) this.slotPool.releaseSlot(performance.now());
    if (this.listener.isSilent(socket)) return;
    sendJson(res, Status.Ok, this.loadReport(performance.now()));
  }

  /** The load report to return; health faults can make it false or outdated. */
  private loadReport(now: number): LoadReport {
    const {id, slots} = this.options;
    if (this.faults.reportsFalseHealth) {
      return {id, slots, inFlight: 0, state: ServerState.Serving};
    }
    const oldestAllowedMs = now - this.faults.healthLagMs;
    if (
      this.cachedLoad === undefined ||
      this.cachedLoad.takenAtMs <= oldestAllowedMs
    ) {
      const {inFlight} = this;
      const report = {id, slots, inFlight, state: this.reportedState(now)};
      this.cachedLoad = {report, takenAtMs: now};
    }
    return this.cachedLoad.report;
  }

  private async postFaults(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const change = await readValidJson(
      req,
      res,
      backendServerFaultsChangeSchema,
    );
    if (change === undefined) return;
    this.setFaults(change.faults);
    sendEmpty(res, Status.NoContent);
  }

  /** Triggers the faults that are one-time events. */
  private triggerOneTimeFault(fault: BackendServerFault): void {
    switch (fault.kind) {
      case 'cold_start':
        this.serviceTimeModel.beginColdStart(fault, performance.now());
        return;
      case 'silent_connections':
        return this.listener.silenceOpenConnections();
      case 'straggler':
      case 'fail_fast':
      case 'state':
      case 'crash_on_body':
      case 'misleading_health':
      case 'lagging_health':
      case 'cut_answers':
      case 'late_answers':
        return;
    }
  }

  /** Crashes unless the server is down already; resolves after the restart. */
  private crash({restartMs}: CrashTrigger): Promise<void> {
    this.pendingRestart ??= this.restartAfterDelay(restartMs).finally(() => {
      this.pendingRestart = undefined;
    });
    return this.pendingRestart;
  }

  private async restartAfterDelay(restartMs: number): Promise<void> {
    const {port} = this;
    await this.listener.close();
    if (!(await sleep(restartMs, this.stopped.signal))) return;
    this.serviceTimeModel.beginColdStart(
      this.options.coldStart,
      performance.now(),
    );
    await this.listener.listen(port);
  }
}
