/** Passes one request on to other instances while this one reaches no server. */
import {
  adviseRelay,
  NEVER_ABORTED,
  type RelayAdvice,
  type Route,
} from '@ragworthall/balancer';
import type {RequestLog} from '../log/request_log.js';
import type {
  RelayLimits,
  RelayResult,
  RelayTarget,
} from '../peer/relay_client.js';
import {ELSEWHERE_RETRY_MS} from './arrival_check.js';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
} from './caller_request.js';
import {type RequestProgress, unknown} from './request_progress.js';
import type {RunContext} from './run_context.js';

/** Instances that one request is passed on to, one after the other. */
const MAX_RELAYS = 2;
/**
 * Time for which an answer is awaited after the deadline, milliseconds; longer
 * than the other instance waits for its server.
 */
const ANSWER_MARGIN_MS = 100;

/** Reasons of a refusal that concern all requests. */
const NOT_SERVING: ReadonlySet<string> = new Set([
  Failure.CutOff,
  Failure.OtherConfiguration,
  Failure.Starting,
  Failure.Stopping,
]);

/** The relays of one request. */
export class RelayRun {
  /** Addresses of the instances that were tried. */
  private readonly tried = new Set<string>();
  /** Delay that the last instance advised that refused it, milliseconds. */
  private retryAfterMs = ELSEWHERE_RETRY_MS;

  constructor(
    private readonly context: RunContext,
    private readonly request: CallerRequest,
    private readonly route: Route,
    private readonly progress: RequestProgress,
    private readonly requestLog: RequestLog,
  ) {}

  /** Where the request is to be served, by what is believed of the servers' reach. */
  get advice(): RelayAdvice {
    const {reach} = this.context;
    return adviseRelay({
      reach: reach.state,
      isSilent: reach.isSilent,
      wasUnsent: this.progress.unsent > 0,
      hasHelper: this.tried.size < MAX_RELAYS && this.next !== undefined,
      knowsHelpers: reach.serving.isKnown,
      isRelayed: this.request.relay !== undefined,
      attemptsLeft: this.progress.attemptsLeft,
    });
  }

  /** Returns how the request ends if no instance serves it. */
  refuse(): RequestEnd {
    return this.progress.endWithout(Failure.CutOff, this.retryAfterMs);
  }

  /** Passes the request on; undefined if it may be sent again. */
  async send(): Promise<RequestEnd | undefined> {
    const {context, request, route, progress} = this;
    const to = this.next;
    if (to === undefined) return undefined;
    this.tried.add(to.address);
    const timeLeftMs = progress.deadline - context.clock.now();
    const limits = {
      terms: {
        configuration: context.deployment.routes?.configuration.version ?? 0,
        attempts: progress.attemptsLeft,
      },
      timeLeftMs,
      giveUpMs: timeLeftMs + ANSWER_MARGIN_MS,
      signal: route.idempotent ? request.callerGone : NEVER_ABORTED,
    };
    progress.sends += 1;
    const result = await this.sendLogged(to, limits);
    return this.resultToEnd(to.address, result);
  }

  private async sendLogged(
    target: RelayTarget,
    limits: RelayLimits,
  ): Promise<RelayResult> {
    const {context, request, requestLog} = this;
    const {attempts} = limits.terms;
    const {address: to} = target;
    const timeLeftMs = Math.round(limits.timeLeftMs);
    requestLog.add('relayed', {to, attempts, timeLeftMs});
    const startedAt = context.clock.now();
    const result = await context.relayClient.send(target, request, limits);
    context.metrics.relayEnded(result.kind);
    if (result.kind !== 'answered') {
      requestLog.writeHeld();
      requestLog.add('relay_failed', {
        to,
        result: result.kind,
        detail: 'detail' in result ? result.detail : undefined,
        reason: 'reason' in result ? result.reason : undefined,
        ms: Math.round(context.clock.now() - startedAt),
      });
    }
    return result;
  }

  /** Returns how the request ends with this result; undefined if it may be sent again. */
  private resultToEnd(to: string, result: RelayResult): RequestEnd | undefined {
    const {progress} = this;
    const {reach} = this.context;
    switch (result.kind) {
      case 'answered':
      case 'abandoned':
        return result;
      case 'refused':
        this.retryAfterMs = Math.max(ELSEWHERE_RETRY_MS, result.retryAfterMs);
        if (NOT_SERVING.has(result.reason))
          reach.serving.recordRelayRefused(to);
        progress.sends -= 1;
        return undefined;
      case 'not_sent':
        reach.serving.recordRelayRefused(to);
        progress.sends -= 1;
        return undefined;
      case 'lost':
        progress.mayHaveRun = true;
        return this.route.idempotent ? undefined : unknown(Failure.Lost);
      case 'late':
        progress.mayHaveRun = true;
        return unknown(Failure.Late);
      default:
        return result satisfies never;
    }
  }

  /** The next instance; undefined if none is known. */
  private get next(): RelayTarget | undefined {
    return this.context.reach.serving.pick(this.tried);
  }
}
