/** The way of one request: match, find a server, send, answer. */
import {
  adviseHedge,
  type Candidate,
  type Clock,
  type Deployment,
  type HedgeAdvice,
  lookAgain,
  type MatchedRoute,
  NEVER_ABORTED,
  type Route,
  type Seeker,
  type SharedServer,
  type SharedService,
} from '@ragworthall/balancer';
import type {BackendDesk} from '../backend_server/backend_desk.js';
import type {Prober} from '../backend_server/prober.js';
import type {SendResult, ServerAnswer} from '../backend_server/send_result.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {RequestLines} from '../log/request_lines.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
} from './caller_request.js';
import {firstDefined, sooner} from './first.js';
import type {WaitingRoom, WaitingRooms} from './waiting_room.js';

/** Time left below which a request is not worth sending, milliseconds. */
const MIN_LEFT_MS = 10;
/** Time for which an answer is waited for beyond its end, milliseconds. */
const ANSWER_MARGIN_MS = 60;
/** Time after which a refused caller may come again, milliseconds. */
const RETRY_AFTER_MS = 150;
/** Longest idle time of a connection that carries what must not repeat, milliseconds. */
const UNREPEATABLE_IDLE_MS = 2_000;
/** The same for what may repeat. */
const REPEATABLE_IDLE_MS = 8_000;
/** Sends of one request that no server ran, beyond its attempts. */
const MAX_UNSENT = 3;
/** First status of a backend server's own failure. */
const SERVER_ERROR = 500;
/** Usual times after which a missing answer speaks against its server. */
const OVERDUE_TIMES = 5;
/** Time for which a request may be on its way to a server, milliseconds. */
const ON_THE_WAY_MS = 4;

/** What runs share. */
export interface RunDesk {
  readonly deployment: Deployment;
  readonly rooms: WaitingRooms;
  readonly prober: Prober;
  readonly backends: BackendDesk;
  readonly clock: Clock;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** Runs one request to its end. */
export async function runRequest(
  desk: RunDesk,
  request: CallerRequest,
): Promise<RequestEnd> {
  const {deployment} = desk;
  const {routes} = deployment;
  const matched = routes?.match(request.host, request.target);
  const lines = desk.log.request(request.id);
  const end = deployment.isKnown
    ? await runMatched(desk, request, matched, lines)
    : refused(Failure.Starting);
  report(desk, request, matched, end, lines);
  return end;
}

async function runMatched(
  desk: RunDesk,
  request: CallerRequest,
  matched: MatchedRoute | undefined,
  lines: RequestLines,
): Promise<RequestEnd> {
  if (!matched) return {kind: 'no_route'};
  const {route, split} = matched;
  const service = desk.deployment.service(split.next());
  service.budget.requested(desk.clock.now());
  return new RequestRun(desk, request, route, service, lines).run();
}

/** Logs and counts the end of a request. */
function report(
  desk: RunDesk,
  request: CallerRequest,
  matched: MatchedRoute | undefined,
  end: RequestEnd,
  lines: RequestLines,
): void {
  const {clock, metrics, deployment} = desk;
  const ms = clock.now() - request.arrivedAt;
  const route = matched?.route.name ?? 'none';
  const reason = 'reason' in end ? end.reason : '';
  const status = end.kind === 'answered' ? end.answer.status : undefined;
  const isHealthy = end.kind === 'answered' && end.answer.status < SERVER_ERROR;
  if (!isHealthy) lines.failed();
  lines.add('ended', {
    end: end.kind,
    reason,
    status,
    route,
    configuration: deployment.routes?.configuration.version,
    ms: Math.round(ms),
  });
  lines.end();
  metrics.requestEnded(route, end.kind, reason || String(status ?? ''), ms);
}

/** A second send; in an object, since an await would wait for its end. */
interface SecondSend {
  readonly end: Promise<RequestEnd | undefined>;
}

/** One request on its way to backend servers. */
class RequestRun {
  private readonly tried = new Set<string>();
  private readonly endsAt: number;
  private sends = 0;
  private unsent = 0;
  /** Whether a server may have run it. */
  private mayHaveRun = false;
  /** A server's failure that is passed on unless a better answer comes. */
  private failed: ServerAnswer | undefined;

  constructor(
    private readonly desk: RunDesk,
    private readonly request: CallerRequest,
    private readonly route: Route,
    private readonly service: SharedService,
    private readonly lines: RequestLines,
  ) {
    const {arrivedAt, waitsMs} = request;
    this.endsAt = arrivedAt + Math.min(waitsMs, route.timeoutMs);
  }

  async run(): Promise<RequestEnd> {
    for (;;) {
      const found = await this.room.find(this.seeker, this.request.left);
      if (!found) return this.giveUp(Failure.NoRoom);
      const refusal = this.refusalBeforeSend();
      if (refusal) {
        found.server.recordEnd();
        return refusal;
      }
      const end = await this.attempt(found);
      if (end) return end;
      const exhausted =
        this.sends >= this.route.maxAttempts || this.unsent > MAX_UNSENT;
      if (exhausted) return this.giveUp(Failure.Shed);
    }
  }

  /** Returns why it is not sent after all. */
  private refusalBeforeSend(): RequestEnd | undefined {
    const now = this.desk.clock.now();
    if (this.request.left.aborted) return {kind: 'abandoned'};
    if (this.endsAt - now < MIN_LEFT_MS) return this.giveUp(Failure.Expired);
    if (this.sends === 0 || this.service.budget.trySpend(now)) return undefined;
    return this.giveUp(Failure.Shed);
  }

  private get room(): WaitingRoom {
    return this.desk.rooms.of(this.service);
  }

  private get seeker(): Seeker {
    const {route, endsAt, tried} = this;
    return {route, arrivedAt: this.request.arrivedAt, endsAt, tried};
  }

  /**
   * Sends it, and once more to a second server if the first one turns slow or
   * does not answer; undefined if it may be sent again.
   */
  private async attempt(found: Candidate): Promise<RequestEnd | undefined> {
    const first = this.send(found);
    const {idempotent, maxAttempts} = this.route;
    if (!idempotent || this.sends >= maxAttempts) return first;
    const second = await this.watch(found.server, first);
    return second ? firstDefined([first, second.end]) : first;
  }

  /** Watches a send; returns the second one if there had to be one. */
  private async watch(
    server: SharedServer,
    first: Promise<RequestEnd | undefined>,
  ): Promise<SecondSend | undefined> {
    const {clock, prober} = this.desk;
    const sentAt = clock.now();
    const ended = first.then(() => 'ended' as const);
    let advice = this.advise(server, sentAt);
    while (advice.kind !== 'leave') {
      switch (advice.kind) {
        case 'look_in':
          if ((await sooner(ended, advice.ms)) === 'ended') return undefined;
          advice = this.advise(server, sentAt);
          break;
        case 'ask': {
          const asked = prober.ask(this.service, server);
          const answer = asked && (await Promise.race([ended, asked]));
          if (answer === 'ended') return undefined;
          advice = this.advise(server, sentAt);
          if (advice.kind === 'ask') advice = lookAgain(this.usualMs);
          break;
        }
        case 'hedge': {
          const second = await this.sendRival();
          if (second) return second;
          advice = lookAgain(this.usualMs);
          break;
        }
        default:
          advice satisfies never;
      }
    }
    return undefined;
  }

  private advise(server: SharedServer, sentAt: number): HedgeAdvice {
    const now = this.desk.clock.now();
    const pending = {
      usualMs: this.usualMs,
      targetMs: this.route.targetMs,
      sinceArrivalMs: now - this.request.arrivedAt,
      sinceSendMs: now - sentAt,
      leftMs: this.endsAt - now,
    };
    return adviseHedge(pending, server.recentSlowness(now));
  }

  private get usualMs(): number {
    return this.service.expectedMs(this.route);
  }

  /** Sends it to a second server that is known to be good, if there is one. */
  private async sendRival(): Promise<SecondSend | undefined> {
    const {desk, request, service} = this;
    if (request.left.aborted) return undefined;
    if (service.budget.left(desk.clock.now()) < 1) return undefined;
    const rival = await this.room.findNow(this.seeker);
    if (!rival) return undefined;
    const now = desk.clock.now();
    const isUseful = this.endsAt - now >= MIN_LEFT_MS && !request.left.aborted;
    if (!isUseful || !service.budget.trySpend(now)) {
      rival.server.recordEnd();
      return undefined;
    }
    return {end: this.send(rival)};
  }

  /** Sends it once; undefined if it may be sent again. */
  private async send({
    server,
    cost,
  }: Candidate): Promise<RequestEnd | undefined> {
    const {desk, request, route, service} = this;
    const startedAt = desk.clock.now();
    const timeLeftMs = this.endsAt - startedAt;
    this.lines.add('sent', {
      route: route.name,
      server: server.entry.id,
      cost: round(cost),
      load: round(server.loadAt(startedAt)),
      reportAgeMs: Math.round(server.reportAge(startedAt)),
      attempt: this.sends + 1,
      timeLeftMs: Math.round(timeLeftMs),
    });
    this.sends += 1;
    this.tried.add(server.entry.id);
    const result = await desk.backends.send(server, {
      id: request.id,
      request,
      timeLeftMs,
      giveUpMs: timeLeftMs + ANSWER_MARGIN_MS,
      maxIdleMs: route.idempotent ? REPEATABLE_IDLE_MS : UNREPEATABLE_IDLE_MS,
      // What must not repeat runs to its end: its outcome matters to someone.
      signal: route.idempotent ? request.left : NEVER_ABORTED,
    });
    server.recordEnd();
    this.room.changed();
    const now = desk.clock.now();
    desk.metrics.sendEnded(service.name, result.kind, now - startedAt);
    if (result.kind !== 'answered') {
      this.lines.failed();
      this.lines.add('send_failed', {
        server: server.entry.id,
        result: result.kind,
        detail: 'detail' in result ? result.detail : undefined,
        ms: Math.round(now - startedAt),
      });
    }
    this.learn(server, result, now, now - startedAt);
    if (result.kind === 'answered') {
      service.took(route.name, now - startedAt, cost);
    }
    return this.judge(result);
  }

  /** Takes in what a send says of its server. */
  private learn(
    server: SharedServer,
    result: SendResult,
    now: number,
    tookMs: number,
  ): void {
    switch (result.kind) {
      case 'answered':
        server.recordResponse();
        if (result.load)
          server.recordLoadReport(result.load, now - ON_THE_WAY_MS, now);
        if (result.answer.status >= SERVER_ERROR) server.recordFailure(now);
        else server.recordSuccess(now);
        return;
      case 'not_run':
        server.recordResponse();
        if (result.load)
          server.recordLoadReport(result.load, now - ON_THE_WAY_MS, now);
        if (result.misplaced) server.markMisplaced();
        else server.recordFailure(now);
        return;
      case 'not_sent':
        server.recordNoResponse(now);
        return;
      case 'lost':
        server.recordFailure(now);
        return;
      case 'late':
        server.recordFailure(now);
        return;
      case 'abandoned':
        // The caller left because no answer came in several usual times.
        if (tookMs > this.overdueMs()) server.recordFailure(now);
        return;
      default:
        result satisfies never;
    }
  }

  /** Decides by a send's result; undefined if another send may follow. */
  private judge(result: SendResult): RequestEnd | undefined {
    const {idempotent} = this.route;
    switch (result.kind) {
      case 'answered':
        if (!idempotent || result.answer.status < SERVER_ERROR) return result;
        this.failed = result.answer;
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

  /** Time after which a missing answer speaks against its server. */
  private overdueMs(): number {
    return this.usualMs * OVERDUE_TIMES;
  }

  private giveUp(reason: Failure): RequestEnd {
    if (this.failed) return {kind: 'answered', answer: this.failed};
    return this.mayHaveRun ? unknown(Failure.Lost) : refused(reason);
  }
}

function refused(reason: Failure): RequestEnd {
  return {kind: 'refused', reason, retryAfterMs: RETRY_AFTER_MS};
}

function unknown(reason: Failure): RequestEnd {
  return {kind: 'unknown', reason};
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
