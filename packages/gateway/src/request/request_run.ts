/** Handles one request: matches a route, finds a server, sends and retries. */
import {
  adviseHedge,
  type Candidate,
  drainTimeMs,
  DropReason,
  type HedgeAdvice,
  checkLater,
  type MatchedRoute,
  NEVER_ABORTED,
  type Route,
  type PlacementRequest,
  retryDelayMs,
  type SharedServer,
  type SharedService,
} from '@ragworthall/balancer';
import type {SendResult, ServerAnswer} from '../backend_server/send_result.js';
import type {ContentRun} from '../content/content_run.js';
import type {RequestLog} from '../log/request_log.js';
import {refusalOnArrival} from './arrival_check.js';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
  SERVER_ERROR,
} from './caller_request.js';
import {firstDefined, orTimeout} from './promise_race.js';
import type {RequestQueue} from './request_queue.js';
import {reportEnd, roundToHundredths} from './request_report.js';
import type {RunContext} from './run_context.js';
import {recordSend} from './send_record.js';

/** A request with less time left than this is not sent, milliseconds. */
const MIN_LEFT_MS = 10;
/** Time for which an answer is awaited after the deadline, milliseconds. */
const ANSWER_MARGIN_MS = 60;
/** Delay after which a caller refused by a starting instance may retry, milliseconds. */
const STARTING_RETRY_MS = 150;
/** Longest idle time of a connection that is reused for a non-idempotent request, milliseconds. */
const NON_IDEMPOTENT_IDLE_MS = 2_000;
/** Longest idle time of a connection that is reused for an idempotent request, milliseconds. */
const IDEMPOTENT_IDLE_MS = 8_000;
/** Maximum sends that fail before their first byte; they do not count as attempts. */
const MAX_UNSENT = 3;

/** Handles one request until it is answered or has failed. */
export async function runRequest(
  context: RunContext,
  request: CallerRequest,
): Promise<RequestEnd> {
  const {deployment} = context;
  const {routes} = deployment;
  const matched = routes?.match(request.host, request.target);
  const requestLog = context.log.request(request.id);
  const end = deployment.isKnown
    ? await runMatched(context, request, matched, requestLog)
    : {
        kind: 'refused' as const,
        reason: Failure.Starting,
        retryAfterMs: STARTING_RETRY_MS,
      };
  reportEnd(context, request, matched, end, requestLog);
  return end;
}

async function runMatched(
  context: RunContext,
  request: CallerRequest,
  matched: MatchedRoute | undefined,
  requestLog: RequestLog,
): Promise<RequestEnd> {
  if (!matched) return {kind: 'no_route'};
  const {route, split} = matched;
  const service = context.deployment.service(split.next());
  const now = context.clock.now();
  const refusal = refusalOnArrival(context, request, route, service, now);
  if (refusal) return refusal;
  service.budget.recordRequest(now);
  return new RequestRun(context, request, route, service, requestLog).run();
}

/** A hedge that was sent. The object keeps `await` from waiting for its end. */
interface HedgeSend {
  readonly end: Promise<RequestEnd | undefined>;
}

/** One request and its attempts on backend servers. */
class RequestRun {
  private readonly triedServers = new Set<string>();
  private readonly deadline: number;
  private sends = 0;
  private unsent = 0;
  /** Whether a server may have run the request. */
  private mayHaveRun = false;
  /** The latest server error; passed on if no attempt gets a better answer. */
  private serverError: ServerAnswer | undefined;

  constructor(
    private readonly context: RunContext,
    private readonly request: CallerRequest,
    private readonly route: Route,
    private readonly service: SharedService,
    private readonly requestLog: RequestLog,
  ) {
    const {arrivedAt, timeoutMs} = request;
    this.deadline = arrivedAt + Math.min(timeoutMs, route.timeoutMs);
  }

  async run(): Promise<RequestEnd> {
    for (;;) {
      const end = await this.runOnce();
      if (end) return end;
      const exhausted =
        this.sends >= this.route.maxAttempts || this.unsent > MAX_UNSENT;
      if (exhausted) return this.giveUp(Failure.Shed);
    }
  }

  /** Finds a server and sends the request; undefined if it may be sent again. */
  private async runOnce(): Promise<RequestEnd | undefined> {
    const permission = await this.context.contentGuard.waitForPermission(
      this.request,
      () => this.deadline - this.context.clock.now() - this.expectedMs,
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
    if (found.kind === 'dropped') return this.dropped(found.why);
    const {candidate} = found;
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
      default:
        return why satisfies never;
    }
  }

  /** Returns how the request ends if it cannot be sent any more. */
  private refusalBeforeSend(): RequestEnd | undefined {
    const now = this.context.clock.now();
    if (this.request.callerGone.aborted) return {kind: 'abandoned'};
    if (this.deadline - now < MIN_LEFT_MS) return this.giveUp(Failure.Expired);
    if (this.sends === 0 || this.service.budget.trySpend(now)) return undefined;
    return this.giveUp(Failure.Shed);
  }

  private get queue(): RequestQueue {
    return this.context.queues.of(this.service);
  }

  private get placement(): PlacementRequest {
    const {route, deadline, triedServers} = this;
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
    const {idempotent, maxAttempts} = this.route;
    const mayHedge = idempotent && !contentRun.isExclusive;
    // Awaited, since the run ends with the last send.
    if (!mayHedge || this.sends >= maxAttempts) return await first;
    const second = await this.hedgeIfSlow(found.server, first, contentRun);
    return await (second ? firstDefined([first, second.end]) : first);
  }

  /** Watches a send; returns the hedge if one was sent. */
  private async hedgeIfSlow(
    server: SharedServer,
    first: Promise<RequestEnd | undefined>,
    contentRun: ContentRun,
  ): Promise<HedgeSend | undefined> {
    const {clock, prober} = this.context;
    const sentAt = clock.now();
    const ended = first.then(() => 'ended' as const);
    let advice = this.advise(server, sentAt);
    while (advice.kind !== 'none') {
      switch (advice.kind) {
        case 'recheck':
          if ((await orTimeout(ended, advice.ms)) === 'ended') return undefined;
          advice = this.advise(server, sentAt);
          break;
        case 'ask': {
          const probe = prober.probe(this.service, server);
          const winner = probe && (await Promise.race([ended, probe]));
          if (winner === 'ended') return undefined;
          advice = this.advise(server, sentAt);
          if (advice.kind === 'ask') advice = checkLater(this.expectedMs);
          break;
        }
        case 'hedge': {
          const second = await this.sendHedge(contentRun);
          if (second) return second;
          advice = checkLater(this.expectedMs);
          break;
        }
        default:
          advice satisfies never;
      }
    }
    return undefined;
  }

  private advise(server: SharedServer, sentAt: number): HedgeAdvice {
    const now = this.context.clock.now();
    const pending = {
      baselineMs: this.expectedMs,
      targetMs: this.route.targetMs,
      sinceArrivalMs: now - this.request.arrivedAt,
      sinceSendMs: now - sentAt,
      timeLeftMs: this.deadline - now,
    };
    return adviseHedge(pending, server.recentSlowness(now));
  }

  private get expectedMs(): number {
    return this.service.baselineMs(this.route);
  }

  /** Sends the request to a second server if one is known to be good. */
  private async sendHedge(
    contentRun: ContentRun,
  ): Promise<HedgeSend | undefined> {
    const {context, request, service} = this;
    if (request.callerGone.aborted) return undefined;
    if (service.budget.remaining(context.clock.now()) < 1) return undefined;
    const candidate = await this.queue.findNow(this.placement);
    if (!candidate) return undefined;
    const now = context.clock.now();
    const isUseful =
      this.deadline - now >= MIN_LEFT_MS && !request.callerGone.aborted;
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
    const timeLeftMs = this.deadline - startedAt;
    this.requestLog.add('sent', {
      route: route.name,
      server: server.entry.id,
      cost: roundToHundredths(cost),
      load: roundToHundredths(server.loadAt(startedAt)),
      reportAgeMs: Math.round(server.reportAge(startedAt)),
      attempt: this.sends + 1,
      timeLeftMs: Math.round(timeLeftMs),
    });
    this.sends += 1;
    this.triedServers.add(server.entry.id);
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
    if (!end) await learned;
    return end;
  }

  /** Returns how the request ends with this result; undefined if it may be sent again. */
  private resultToEnd(result: SendResult): RequestEnd | undefined {
    const {idempotent} = this.route;
    switch (result.kind) {
      case 'answered':
        if (!idempotent || result.answer.status < SERVER_ERROR) return result;
        this.serverError = result.answer;
        return undefined;
      case 'not_run':
        return undefined;
      case 'not_sent':
        this.unsent += 1;
        this.sends -= 1;
        return undefined;
      case 'lost':
        this.mayHaveRun = true;
        return idempotent ? undefined : unknown(Failure.Lost);
      case 'late':
        this.mayHaveRun = true;
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
    if (this.serverError) return {kind: 'answered', answer: this.serverError};
    if (this.mayHaveRun) return unknown(Failure.Lost);
    return {kind: 'refused', reason, retryAfterMs};
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
    const timeLeftMs = this.deadline - now;
    const waitMs = Math.max(drainMs, service.untilOpenMs(now));
    return retryDelayMs({timeLeftMs, baselineMs, waitMs}, context.random);
  }
}

function unknown(reason: Failure): RequestEnd {
  return {kind: 'unknown', reason};
}
