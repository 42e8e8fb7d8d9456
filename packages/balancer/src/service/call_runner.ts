/**
 * Runs a call on the instance that schedules its service: waits for a slot,
 * sends the call, and decides by the result of the attempt whether to retry.
 */
import type {BackendServer} from '../backend_server/backend_server.js';
import {
  type Attempt,
  type BackendLink,
  type Call,
  type CallResult,
  RefusalReason,
} from '../link/call.js';
import {type Clock, PROCESS_TIMERS, type Timers} from '../link/clock.js';
import {
  refusedNotRun,
  refusedOutcomeUnknown,
} from '../request_key/request_ledger.js';
import {isServerError, reportAttempt} from './attempt_report.js';
import {
  type AttemptCancellation,
  AttemptCancellationPool,
} from './attempt_cancellation.js';
import type {Placement, Service} from './service.js';

export type {Clock} from '../link/clock.js';

/** Maximum number of attempts of one call that are not executed by a server. */
const MAX_NOT_RUN_ATTEMPTS = 8;
/** Retry delay sent to the caller if no attempt was executed, milliseconds. */
const RETRY_NOT_RUN_MS = 100;
/**
 * Silence limit: time without data after which a connection is suspect, as a
 * multiple of the 95th percentile of the latency.
 */
const SILENCE_FACTOR = 8;
/** Minimum silence limit, milliseconds. */
const MIN_SILENCE_MS = 1_000;
/** Silence limit while the latency is not known, milliseconds. */
const DEFAULT_SILENCE_MS = 5_000;
/**
 * Factor on the silence limit for calls that are not idempotent. They cannot be
 * sent again, so closing the connection leaves their outcome unknown.
 */
const NON_IDEMPOTENT_SILENCE_FACTOR = 4;

/**
 * Minimum delay before a hedge is sent, milliseconds: opening a connection
 * takes 1 ms, and this process may itself be delayed by a few.
 */
const MIN_HEDGE_DELAY_MS = 5;

/** Reason for an attempt. */
export type AttemptCause =
  | 'first'
  /** The previous attempt was not executed. */
  | 'not_run'
  /** The previous attempt failed. */
  | 'retry'
  /** The previous attempt is late. */
  | 'hedge';

/** Receives the routing decisions for logging. */
export interface DecisionLog {
  /** A call was sent to a backend server. */
  dispatched(
    call: Call,
    server: BackendServer,
    attempt: number,
    cause: AttemptCause,
    /** Number of backend servers of the service. */
    candidates: number,
  ): void;
  /** A call ended. */
  ended(call: Call, result: CallResult, attempts: number): void;
}

/** The next step of a run after an attempt. */
type Step =
  | {readonly kind: 'end'; readonly result: CallResult}
  /** No server executed the call: try again. */
  | {readonly kind: 'again'}
  /** A server may have executed the call: try again if a retry is left. */
  | {readonly kind: 'retry'; readonly otherwise: CallResult};

type Dispatch = Extract<Placement, {kind: 'dispatch'}>;

/** State of the run of one call. */
interface CallRun {
  readonly service: Service;
  /** The call, with the retries left for the calls that it causes. */
  call: Call;
  readonly signal: AbortSignal;
  /** Ids of the servers that failed the call. */
  readonly failedBy: Set<string>;
  attempts: number;
}

/** Limits the retries of each member. */
export interface MemberRetries {
  /** Spends a retry of a member; returns false if none is left. */
  tryRetry(member: string, now: number): boolean;
}

/** Runs calls on the backend servers of their services. */
export class CallRunner {
  private readonly cancellations = new AttemptCancellationPool();

  constructor(
    private readonly backend: BackendLink,
    private readonly log: DecisionLog,
    private readonly clock: Clock,
    private readonly timers: Timers = PROCESS_TIMERS,
    private readonly memberRetries: MemberRetries = {tryRetry: () => true},
  ) {}

  /** Runs a call until it is answered or refused. Never rejects. */
  async run(
    service: Service,
    call: Call,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const run = {
      service,
      call,
      signal,
      failedBy: new Set<string>(),
      attempts: 0,
    };
    const result = await this.runToEnd(run);
    this.log.ended(call, result, run.attempts);
    return result;
  }

  private async runToEnd(run: CallRun): Promise<CallResult> {
    const {service, call} = run;
    let retriesLeft = call.retriesLeft;
    let cause: AttemptCause = 'first';
    let lastResult: CallResult = refusedNotRun(
      RefusalReason.QueueFull,
      RETRY_NOT_RUN_MS,
    );
    for (let notRunAttempts = 0; notRunAttempts < MAX_NOT_RUN_ATTEMPTS;) {
      const step = await this.attemptOnce(run, cause);
      switch (step.kind) {
        case 'end':
          // If the retry could not be placed, return the result of the attempt
          // before it, which may have been executed.
          return cause === 'retry' && isNotRun(step.result)
            ? lastResult
            : step.result;
        case 'again':
          notRunAttempts += 1;
          cause = cause === 'retry' ? 'retry' : 'not_run';
          break;
        case 'retry':
          if (retriesLeft === 0 || !hasServerLeft(run)) return step.otherwise;
          if (!this.spendRetry(service)) return step.otherwise;
          retriesLeft -= 1;
          run.call = {...call, retriesLeft};
          lastResult = step.otherwise;
          cause = 'retry';
          break;
        default:
          step satisfies never;
      }
    }
    return lastResult;
  }

  /** Spends a retry from the budgets of the service and of its member. */
  private spendRetry(service: Service): boolean {
    const {member} = service.config;
    return (
      service.retryBudget.trySpend() &&
      this.memberRetries.tryRetry(member, this.clock.now())
    );
  }

  /**
   * Makes one attempt when the quarantine permits it; returns the next step.
   */
  private async attemptOnce(run: CallRun, cause: AttemptCause): Promise<Step> {
    const {service, call, signal} = run;
    const {quarantine} = service;
    if (quarantine.size === 0) return this.placeAndSend(run, cause);
    const permission = await quarantine.waitForPermission(
      call,
      () => this.clock.now(),
      signal,
    );
    switch (permission.kind) {
      case 'clear':
        return this.placeAndSend(run, cause);
      case 'exclusive': {
        using owned = permission.lock;
        return await this.placeAndSend(run, cause);
      }
      case 'refused':
        return {kind: 'end', result: permission};
      default:
        throw new Error(`unexpected permission: ${permission satisfies never}`);
    }
  }

  private async placeAndSend(run: CallRun, cause: AttemptCause): Promise<Step> {
    const {service, call, signal, failedBy} = run;
    const now = this.clock.now();
    const placing = service.place(call, failedBy, now, signal);
    // Avoids an extra microtask for a call that need not wait.
    const placement = placing instanceof Promise ? await placing : placing;
    if (placement.kind === 'refused') return {kind: 'end', result: placement};
    const attempt = service.mayHedge(call)
      ? await this.sendHedged(run, placement, cause)
      : await this.send(run, placement, cause, signal);
    return nextStep(call, attempt);
  }

  private async send(
    run: CallRun,
    {server, slot}: Dispatch,
    cause: AttemptCause,
    signal: AbortSignal,
  ): Promise<Attempt> {
    const {service, call} = run;
    run.attempts += 1;
    const candidates = service.backendServers.length;
    this.log.dispatched(call, server, run.attempts, cause, candidates);
    const startedAt = this.clock.now();
    const attempt = await this.backend.send(
      server.cfg.address,
      call,
      call.deadline - startedAt,
      signal,
      silenceLimitMs(service, server, call),
    );
    const now = this.clock.now();
    if (isFailure(attempt)) run.failedBy.add(server.cfg.id);
    reportAttempt(service, server, call, attempt, startedAt, now);
    service.release(server, slot, now);
    return attempt;
  }

  /** Hedges the attempt if it is late; the first successful answer wins. */
  private async sendHedged(
    run: CallRun,
    placement: Dispatch,
    cause: AttemptCause,
  ): Promise<Attempt> {
    const {service, call, signal} = run;
    using first = this.cancellations.take(signal);
    const sent = this.sendCancellable(run, placement, cause, first);
    const {p95Ms} = service.latencies.of(call.contract.name);
    const delayMs = Math.max(MIN_HEDGE_DELAY_MS, p95Ms);
    // `return await`: disposal before the attempt ends would cancel it.
    if (await this.endsWithin(sent, delayMs)) return await sent;
    const hedgePlacement = this.placeHedge(run, placement.server);
    if (!hedgePlacement) return await sent;
    using second = this.cancellations.take(signal);
    const hedge = this.sendCancellable(run, hedgePlacement, 'hedge', second);
    const winner = await Promise.race([sent, hedge]);
    if (isSuccess(winner)) return winner;
    return decisiveAttempt(await sent, await hedge);
  }

  private async sendCancellable(
    run: CallRun,
    placement: Dispatch,
    cause: AttemptCause,
    cancellation: AttemptCancellation,
  ): Promise<Attempt> {
    const attempt = await this.send(run, placement, cause, cancellation.signal);
    cancellation.end();
    return attempt;
  }

  private placeHedge(
    run: CallRun,
    server: BackendServer,
  ): Dispatch | undefined {
    const {service, call, failedBy, signal} = run;
    if (signal.aborted || !service.hedgeBudget.hasToken) return undefined;
    const excluded = new Set([...failedBy, server.cfg.id]);
    const placement = service.tryPlace(call, excluded, this.clock.now());
    if (placement?.kind !== 'dispatch') return undefined;
    service.hedgeBudget.trySpend();
    return placement;
  }

  // One promise instead of `Promise.race`, because this runs for each call.
  private endsWithin(
    sent: Promise<Attempt>,
    delayMs: number,
  ): Promise<boolean> {
    return new Promise(resolve => {
      // After a pause of the process, an answer may have arrived but not been
      // read yet. The extra timer lets it be read before the attempt counts as
      // late.
      const onLate = () => void this.timers.set(0, () => resolve(false));
      const timer = this.timers.set(delayMs, onLate);
      void sent.then(() => {
        timer[Symbol.dispose]();
        resolve(true);
      });
    });
  }
}

function silenceLimitMs(
  service: Service,
  server: BackendServer,
  call: Call,
): number {
  const {isKnown, p95Ms} = service.latencies.of(call.contract.name);
  const slowMs = p95Ms * Math.max(1, server.slowness.multiple);
  const limit = isKnown
    ? Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * slowMs)
    : DEFAULT_SILENCE_MS;
  return call.contract.idempotent
    ? limit
    : limit * NON_IDEMPOTENT_SILENCE_FACTOR;
}

/** Whether there is a server that has not failed the call. */
function hasServerLeft({service, failedBy}: CallRun): boolean {
  return failedBy.size < service.backendServers.length;
}

function isNotRun(result: CallResult): boolean {
  return result.kind === 'refused' && result.outcome === 'not-run';
}

function isSuccess(attempt: Attempt): boolean {
  return attempt.kind === 'answered' && !isServerError(attempt);
}

/**
 * Returns the attempt that determines the result of a hedged call: a successful
 * one, else one that may have been executed. A hedge that was not sent must not
 * make the call count as not executed.
 */
function decisiveAttempt(first: Attempt, hedge: Attempt): Attempt {
  if (isSuccess(first) || isSuccess(hedge))
    return isSuccess(first) ? first : hedge;
  return mayHaveExecuted(first) ? first : hedge;
}

function mayHaveExecuted(attempt: Attempt): boolean {
  return attempt.kind !== 'shed' && attempt.kind !== 'not_sent';
}

function isFailure(attempt: Attempt): boolean {
  return attempt.kind === 'lost' || isServerError(attempt);
}

function nextStep(call: Call, attempt: Attempt): Step {
  const {idempotent} = call.contract;
  switch (attempt.kind) {
    case 'answered': {
      const result: CallResult = {
        kind: 'answered',
        answer: attempt.answer,
        replayed: false,
      };
      const retry = idempotent && isServerError(attempt);
      return retry ? {kind: 'retry', otherwise: result} : {kind: 'end', result};
    }
    case 'shed':
      return {kind: 'again'};
    case 'not_sent':
      return attempt.abandoned
        ? {kind: 'end', result: refusedNotRun(reasonOf(attempt.abandoned))}
        : {kind: 'again'};
    case 'lost': {
      const result = refusedOutcomeUnknown(RefusalReason.ConnectionLost);
      return idempotent
        ? {kind: 'retry', otherwise: result}
        : {kind: 'end', result};
    }
    case 'too_large':
      return {
        kind: 'end',
        result: refusedOutcomeUnknown(RefusalReason.AnswerNotKept),
      };
    case 'abandoned':
      return {
        kind: 'end',
        result: refusedOutcomeUnknown(reasonOf(attempt.cause)),
      };
    default:
      throw new Error(`unexpected attempt: ${attempt satisfies never}`);
  }
}

function reasonOf(cause: 'deadline' | 'caller_left'): RefusalReason {
  return cause === 'deadline'
    ? RefusalReason.DeadlinePassed
    : RefusalReason.CallerLeft;
}
