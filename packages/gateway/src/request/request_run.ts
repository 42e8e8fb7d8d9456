/** Runs one request: finds a server, sends and retries. */
import {
  adviseHedge,
  type Candidate,
  drainTimeMs,
  DropReason,
  type HedgeAdvice,
  NEVER_ABORTED,
  type Route,
  type PlacementRequest,
  type RelayAdvice,
  retryDelayMs,
  type SharedServer,
  type SharedService,
} from '@ragworthall/balancer';
import type {SendResult} from '../backend_server/send_result.js';
import type {ContentRun} from '../content/content_run.js';
import {ELSEWHERE_RETRY_MS} from './arrival_check.js';
import type {RequestLog} from '../log/request_log.js';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
  SERVER_ERROR,
} from './caller_request.js';
import {startHedgeIfSlow} from './hedge_watch.js';
import {firstDefined} from './promise_race.js';
import {RelayRun} from './relay_run.js';
import {RequestProgress, unknown} from './request_progress.js';
import type {RequestQueue} from './request_queue.js';
import {roundToHundredths} from './request_report.js';
import type {RunContext} from './run_context.js';
import {recordSend} from './send_record.js';

/** A request with less time left than this is not sent, milliseconds. */
const MIN_LEFT_MS = 10;
/** Time for which an answer is awaited after the deadline, milliseconds. */
const ANSWER_MARGIN_MS = 60;
/** Longest idle time of a connection that is reused for a non-idempotent request, milliseconds. */
const NON_IDEMPOTENT_IDLE_MS = 2_000;
/** Longest idle time of a connection that is reused for an idempotent request, milliseconds. */
const IDEMPOTENT_IDLE_MS = 8_000;

/** A hedge that was sent. The object keeps `await` from waiting for its end. */
interface HedgeSend {
  readonly end: Promise<RequestEnd | undefined>;
}

/** One request and its attempts on backend servers. */
export class RequestRun {
  private readonly progress: RequestProgress;
  private readonly relay: RelayRun;

  constructor(
    private readonly context: RunContext,
    private readonly request: CallerRequest,
    private readonly route: Route,
    private readonly service: SharedService,
    private readonly requestLog: RequestLog,
  ) {
    this.progress = new RequestProgress(request, route);
    this.relay = new RelayRun(
      context,
      request,
      route,
      this.progress,
      requestLog,
    );
  }

  async run(): Promise<RequestEnd> {
    for (;;) {
      const end = await this.runBy(this.relay.advice);
      if (end) return end;
      if (this.progress.isExhausted) return this.giveUp(Failure.Shed);
    }
  }

  private async runBy(advice: RelayAdvice): Promise<RequestEnd | undefined> {
    switch (advice.kind) {
      case 'stay':
        return await this.runOnce();
      case 'relay':
        return this.refusalBeforeSend() ?? (await this.relay.send());
      case 'refuse':
        return this.relay.refuse();
      default:
        return advice satisfies never;
    }
  }

  /** Finds a server and sends the request; undefined if it may be sent again. */
  private async runOnce(): Promise<RequestEnd | undefined> {
    const permission = await this.context.contentGuard.waitForPermission(
      this.request,
      () => {
        const now = this.context.clock.now();
        if (this.isCutOffByStop(now)) return 0;
        return this.service.latestSendAt(this.placement) - now;
      },
    );
    switch (permission.kind) {
      case 'granted':
        break;
      case 'refused':
        return this.giveUp(Failure.EndsServers, permission.forMs);
      case 'no_time':
        return this.request.callerGone.aborted
          ? {kind: 'abandoned'}
          : this.giveUp(Failure.Expired);
      default:
        return permission satisfies never;
    }
    using contentRun = permission.run;
    const found = await this.queue.find(
      this.placement,
      this.request.callerGone,
    );
    switch (found.kind) {
      case 'placed':
        break;
      case 'dropped':
        return this.dropped(found.why);
      case 'released':
        return undefined;
      default:
        return found satisfies never;
    }
    // It may end its server: that should run no other request.
    const candidate = contentRun.isExclusive
      ? await this.queue.preferIdle(found.candidate, this.placement)
      : found.candidate;
    // After a pause the choice may rest on what has changed meanwhile.
    const settled = this.context.clock.settled();
    if (settled) {
      candidate.server.recordEnd();
      await settled;
      return undefined;
    }
    const refusal = this.refusalBeforeSend();
    if (refusal) {
      candidate.server.recordEnd();
      return refusal;
    }
    return await this.attempt(candidate, contentRun);
  }

  /** Returns how the request ends if it stops waiting for a server. */
  private dropped(why: DropReason): RequestEnd {
    switch (why) {
      case DropReason.CallerLeft:
        return {kind: 'abandoned'};
      case DropReason.NoTime:
        return this.giveUp(Failure.Expired);
      case DropReason.NoCapacity:
        return this.giveUp(Failure.NoCapacity);
      case DropReason.Stopping:
        return this.giveUp(Failure.Stopping, ELSEWHERE_RETRY_MS);
      default:
        return why satisfies never;
    }
  }

  /** Returns how the request ends if it cannot be sent any more. */
  private refusalBeforeSend(): RequestEnd | undefined {
    const now = this.context.clock.now();
    if (this.request.callerGone.aborted) return {kind: 'abandoned'};
    if (this.progress.deadline - now < MIN_LEFT_MS)
      return this.giveUp(Failure.Expired);
    if (this.isCutOffByStop(now))
      return this.giveUp(Failure.Stopping, ELSEWHERE_RETRY_MS);
    if (this.progress.sends === 0 || this.service.budget.trySpend(now))
      return undefined;
    return this.giveUp(Failure.Shed);
  }

  /** Whether the instance stops before the request would end if it were sent now. */
  private isCutOffByStop(now: number): boolean {
    const endsAt = this.progress.deadline;
    const usualMs = this.service.usualMs(this.route);
    return this.context.stopPlan()?.takes({endsAt, usualMs}, now) === false;
  }

  private get queue(): RequestQueue {
    return this.context.queues.of(this.service);
  }

  private get placement(): PlacementRequest {
    const {route} = this;
    const {deadline, triedServers} = this.progress;
    return {
      route,
      arrivedAt: this.request.arrivedAt,
      endsAt: deadline,
      tried: triedServers,
    };
  }

  /** Sends the request, and a hedge if no answer comes soon; undefined if it may be sent again. */
  private async attempt(
    found: Candidate,
    contentRun: ContentRun,
  ): Promise<RequestEnd | undefined> {
    const first = this.send(found, contentRun);
    const mayHedge = this.route.idempotent && !contentRun.isExclusive;
    // Awaited, since the run ends with the last send.
    if (!mayHedge || this.progress.attemptsLeft <= 0) return await first;
    const second = await this.hedgeIfSlow(found.server, first, contentRun);
    return await (second ? firstDefined([first, second.end]) : first);
  }

  /** Watches a send; returns the hedge if one was sent. */
  private hedgeIfSlow(
    server: SharedServer,
    first: Promise<RequestEnd | undefined>,
    contentRun: ContentRun,
  ): Promise<HedgeSend | undefined> {
    const {clock, prober, reach} = this.context;
    const sentAt = clock.now();
    return startHedgeIfSlow(first, {
      advise: () => this.advise(server, sentAt),
      ask: () => prober.probe(this.service, server),
      start: () => this.sendHedge(contentRun),
      baselineMs: () => this.expectedMs,
      onChange: wake => reach.onUnreachable(wake),
    });
  }

  private advise(server: SharedServer, sentAt: number): HedgeAdvice {
    const now = this.context.clock.now();
    const pending = {
      baselineMs: this.expectedMs,
      targetMs: this.route.targetMs,
      sinceArrivalMs: now - this.request.arrivedAt,
      sinceSendMs: now - sentAt,
      timeLeftMs: this.progress.deadline - now,
    };
    const advice = adviseHedge(pending, server.recentSlowness(now));
    const isOutOfReach =
      advice.kind !== 'none' && this.relay.advice.kind === 'relay';
    return isOutOfReach ? {kind: 'hedge'} : advice;
  }

  private get expectedMs(): number {
    return this.service.baselineMs(this.route);
  }

  /**
   * Sends the request to a second server if one is known to be good; if none is in
   * reach, to another instance.
   */
  private async sendHedge(
    contentRun: ContentRun,
  ): Promise<HedgeSend | undefined> {
    const {context, request, service} = this;
    if (request.callerGone.aborted) return undefined;
    if (this.isCutOffByStop(context.clock.now())) return undefined;
    if (service.budget.remaining(context.clock.now()) < 1) return undefined;
    if (this.relay.advice.kind === 'relay') {
      const isPaid = service.budget.trySpend(context.clock.now());
      return isPaid ? {end: this.relay.send()} : undefined;
    }
    const candidate = await this.queue.findNow(this.placement);
    if (!candidate) return undefined;
    const now = context.clock.now();
    const isUseful =
      this.progress.deadline - now >= MIN_LEFT_MS &&
      !request.callerGone.aborted;
    if (!isUseful || !service.budget.trySpend(now)) {
      candidate.server.recordEnd();
      return undefined;
    }
    return {end: this.send(candidate, contentRun)};
  }

  /** Sends the request once; undefined if it may be sent again. */
  private async send(
    {server, cost}: Candidate,
    contentRun: ContentRun,
  ): Promise<RequestEnd | undefined> {
    const {context, request, route, service} = this;
    const startedAt = context.clock.now();
    const timeLeftMs = this.progress.deadline - startedAt;
    this.requestLog.add('sent', {
      route: route.name,
      server: server.entry.id,
      cost: roundToHundredths(cost),
      load: roundToHundredths(server.loadAt(startedAt)),
      reportAgeMs: Math.round(server.reportAge(startedAt)),
      attempt: this.progress.sends + 1,
      timeLeftMs: Math.round(timeLeftMs),
    });
    this.progress.sends += 1;
    this.progress.triedServers.add(server.entry.id);
    const result = await context.backendClient.send(server, {
      id: request.id,
      request,
      timeLeftMs,
      giveUpMs: timeLeftMs + ANSWER_MARGIN_MS,
      maxIdleMs: route.idempotent ? IDEMPOTENT_IDLE_MS : NON_IDEMPOTENT_IDLE_MS,
      // A non-idempotent request completes even if its caller has left.
      signal: route.idempotent ? request.callerGone : NEVER_ABORTED,
    });
    server.recordEnd();
    this.queue.capacityChanged();
    const now = context.clock.now();
    context.metrics.sendEnded(service.name, result.kind, now - startedAt);
    if (result.kind !== 'answered') {
      this.requestLog.writeHeld();
      this.requestLog.add('send_failed', {
        server: server.entry.id,
        result: result.kind,
        detail: 'detail' in result ? result.detail : undefined,
        ms: Math.round(now - startedAt),
      });
    }
    const learned = context.contentGuard.recordSend(
      contentRun,
      request,
      server,
      result,
    );
    recordSend(context, server, result, {
      now,
      tookMs: now - startedAt,
      expectedMs: this.expectedMs,
    });
    if (result.kind === 'answered' && result.answer.status < SERVER_ERROR) {
      service.recordDuration(route.name, now - startedAt, cost);
    }
    const end = this.resultToEnd(result);
    // The next send of a content that ended this server would end another one.
    if (!end && (await learned)) this.progress.serverEnds += 1;
    return end;
  }

  /** Returns how the request ends with this result; undefined if it may be sent again. */
  private resultToEnd(result: SendResult): RequestEnd | undefined {
    const {idempotent} = this.route;
    switch (result.kind) {
      case 'answered':
        if (!idempotent || result.answer.status < SERVER_ERROR) return result;
        this.progress.serverError = result.answer;
        return undefined;
      case 'not_run':
        return undefined;
      case 'not_sent':
        this.progress.unsent += 1;
        this.progress.sends -= 1;
        return undefined;
      case 'lost':
        this.progress.mayHaveRun = true;
        return idempotent ? undefined : unknown(Failure.Lost);
      case 'late':
        this.progress.mayHaveRun = true;
        return unknown(Failure.Late);
      case 'abandoned':
        return result;
      default:
        return result satisfies never;
    }
  }

  private giveUp(
    reason: Failure,
    retryAfterMs = this.retryDelayMs(),
  ): RequestEnd {
    return this.progress.endWithout(reason, retryAfterMs);
  }

  /** Delay after which the caller may retry, milliseconds. */
  private retryDelayMs(): number {
    const {service, context, expectedMs: baselineMs} = this;
    const drainMs = drainTimeMs({
      waiting: this.queue.length,
      instances: context.instanceCount(),
      slots: service.slots,
      baselineMs,
    });
    const now = context.clock.now();
    const timeLeftMs = this.progress.deadline - now;
    const waitMs = Math.max(drainMs, service.untilOpenMs(now));
    return retryDelayMs({timeLeftMs, baselineMs, waitMs}, context.random);
  }
}
