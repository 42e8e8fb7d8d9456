/**
 * The run of one call at the instance that schedules its service: place it,
 * send it, and decide by what became of the attempt whether to try again.
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

/** Most attempts of one call that no backend server ran. */
const MAX_NOT_RUN_ATTEMPTS = 8;
/** Wait that a caller is told after the last of them, milliseconds. */
const RETRY_NOT_RUN_MS = 100;
/** Silence that makes a connection suspect, in 95th percentiles of latency. */
const SILENCE_FACTOR = 8;
/** Least silence that makes a connection suspect, milliseconds. */
const MIN_SILENCE_MS = 1_000;
/** The same while the latency is not known, milliseconds. */
const DEFAULT_SILENCE_MS = 5_000;
/** Factor for calls that cannot be sent again: their outcome is at stake. */
const NON_IDEMPOTENT_SILENCE_FACTOR = 4;

/**
 * Least wait before a rival is sent, milliseconds: a new connection costs 1 ms,
 * and this process may be late by a few itself.
 */
const MIN_HEDGE_DELAY_MS = 5;

/** Why an attempt is made. */
export type AttemptCause =
  | 'first'
  /** The one before was not run. */
  | 'not_run'
  /** The one before failed. */
  | 'retry'
  /** The one before is late. */
  | 'hedge';

/** Where the lines of routing decisions go. */
export interface DecisionLog {
  /** A call was sent to a backend server. */
  dispatched(
    call: Call,
    server: BackendServer,
    attempt: number,
    cause: AttemptCause,
    /** Backend servers that it was chosen from. */
    candidates: number,
  ): void;
  /** A call ended. */
  ended(call: Call, result: CallResult, attempts: number): void;
}

/** What the next step of a run is after an attempt. */
type Step =
  | {readonly kind: 'end'; readonly result: CallResult}
  /** No server ran it: try again. */
  | {readonly kind: 'again'}
  /** A server may have run it: try again if a retry is left. */
  | {readonly kind: 'retry'; readonly otherwise: CallResult};

type Dispatch = Extract<Placement, {kind: 'dispatch'}>;

/** The facts of one run that its steps share. */
interface CallRun {
  readonly service: Service;
  /** The call with the retries that are left to the calls below it. */
  call: Call;
  readonly signal: AbortSignal;
  /** Servers that failed it. */
  readonly failedBy: Set<string>;
  attempts: number;
}

/** The retries that members may make. */
export interface MemberRetries {
  /** Spends a retry of a member; false if it has none left. */
  tryRetry(member: string, now: number): boolean;
}

/** Runs calls on the backend servers of services. */
export class CallRunner {
  private readonly cancellations = new AttemptCancellationPool();

  constructor(
    private readonly backend: BackendLink,
    private readonly log: DecisionLog,
    private readonly clock: Clock,
    private readonly timers: Timers = PROCESS_TIMERS,
    private readonly memberRetries: MemberRetries = {tryRetry: () => true},
  ) {}

  /** Runs one call to its end. Never rejects. */
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
    let last: CallResult = refusedNotRun(
      RefusalReason.QueueFull,
      RETRY_NOT_RUN_MS,
    );
    for (let notRunAttempts = 0; notRunAttempts < MAX_NOT_RUN_ATTEMPTS;) {
      const step = await this.attemptOnce(run, cause);
      switch (step.kind) {
        case 'end':
          // A retry that found no place does not hide what happened before.
          return cause === 'retry' && isNotRun(step.result)
            ? last
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
          last = step.otherwise;
          cause = 'retry';
          break;
        default:
          step satisfies never;
      }
    }
    return last;
  }

  /** Spends a retry of the service's budget and one of its member's. */
  private spendRetry(service: Service): boolean {
    const {member} = service.config;
    return (
      service.retryBudget.trySpend() &&
      this.memberRetries.tryRetry(member, this.clock.now())
    );
  }

  /** One attempt, from the wait for a slot to the decision what comes next. */
  private async attemptOnce(run: CallRun, cause: AttemptCause): Promise<Step> {
    const {service, call, signal} = run;
    const {quarantine} = service;
    if (quarantine.size === 0) return this.placeAndSend(run, cause);
    const entry = await quarantine.waitForPermission(
      call,
      () => this.clock.now(),
      signal,
    );
    switch (entry.kind) {
      case 'clear':
        return this.placeAndSend(run, cause);
      case 'turn': {
        using owned = entry.turn;
        return await this.placeAndSend(run, cause);
      }
      case 'refused':
        return {kind: 'end', result: entry};
      default:
        throw new Error(`unexpected entry: ${entry satisfies never}`);
    }
  }

  private async placeAndSend(run: CallRun, cause: AttemptCause): Promise<Step> {
    const {service, call, signal, failedBy} = run;
    const now = this.clock.now();
    const placing = service.place(call, failedBy, now, signal);
    // No turn of the event loop for a call that need not wait.
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

  /** Sends a second attempt if the first is late; the first good answer wins. */
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
    // Awaited: a leg that is disposed of before its end cancels the attempt.
    if (await this.endsWithin(sent, delayMs)) return await sent;
    const other = this.placeHedge(run, placement.server);
    if (!other) return await sent;
    using second = this.cancellations.take(signal);
    const hedge = this.sendCancellable(run, other, 'hedge', second);
    const winner = await Promise.race([sent, hedge]);
    if (isGood(winner)) return winner;
    return decisiveAttempt(await sent, await hedge);
  }

  private async sendCancellable(
    run: CallRun,
    placement: Dispatch,
    cause: AttemptCause,
    leg: AttemptCancellation,
  ): Promise<Attempt> {
    const attempt = await this.send(run, placement, cause, leg.signal);
    leg.end();
    return attempt;
  }

  private placeHedge(
    run: CallRun,
    server: BackendServer,
  ): Dispatch | undefined {
    const {service, call, failedBy, signal} = run;
    if (signal.aborted || !service.hedgeBudget.hasToken) return undefined;
    const excluded = new Set([...failedBy, server.cfg.id]);
    const placed = service.tryPlace(call, excluded, this.clock.now());
    if (placed?.kind !== 'dispatch') return undefined;
    service.hedgeBudget.trySpend();
    return placed;
  }

  // One promise of its own in place of a race of two: this runs for each call.
  private endsWithin(
    sent: Promise<Attempt>,
    delayMs: number,
  ): Promise<boolean> {
    return new Promise(resolve => {
      // After a pause of the process an answer may lie unread: it comes first.
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

/** Whether there is a server left that has not failed the call. */
function hasServerLeft({service, failedBy}: CallRun): boolean {
  return failedBy.size < service.backendServers.length;
}

function isNotRun(result: CallResult): boolean {
  return result.kind === 'refused' && result.outcome === 'not-run';
}

function isGood(attempt: Attempt): boolean {
  return attempt.kind === 'answered' && !isServerError(attempt);
}

/**
 * Returns the attempt that tells what became of a call whose first answer was
 * not good: the good one, or else one that may have run. A rival that was not
 * sent must not have the call told as not run.
 */
function decisiveAttempt(first: Attempt, rival: Attempt): Attempt {
  if (isGood(first) || isGood(rival)) return isGood(first) ? first : rival;
  return mayHaveRun(first) ? first : rival;
}

function mayHaveRun(attempt: Attempt): boolean {
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
