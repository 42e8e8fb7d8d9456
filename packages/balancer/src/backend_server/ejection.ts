/**
 * Ejects a failing backend server for a period that doubles each time, then
 * readmits it after a single successful trial request. The decision depends on
 * errors and not on latency, because a server that fails fast would otherwise
 * attract requests.
 */

/** Consecutive failures that cause an ejection. */
const MAX_FAILURES = 3;
/** Error rate that causes an ejection. */
const MAX_ERROR_RATE = 0.5;
/** Minimum number of samples before the error rate is considered. */
const MIN_SAMPLES = 8;
/** Weight of the latest sample in the moving average of the error rate. */
const SAMPLE_WEIGHT = 0.1;
/** Duration of the first ejection, milliseconds; doubles with each further one. */
const FIRST_EJECTION_MS = 500;
/** Maximum duration of an ejection, milliseconds. */
const MAX_EJECTION_MS = 30_000;
/** Duration of the ejection after a failed connection attempt, milliseconds. */
const UNREACHABLE_EJECTION_MS = 100;
/** Consecutive answers after which the duration of an ejection is reset. */
const ANSWERS_TO_RESET_BACKOFF = 50;

/** Whether a server is in service, ejected or on trial. */
export type EjectionState =
  | {readonly kind: 'in_service'}
  | {readonly kind: 'ejected'; readonly until: number}
  /** A single request is allowed; its result readmits or ejects the server. */
  | {readonly kind: 'on_trial'};

const IN_SERVICE: EjectionState = {kind: 'in_service'};
const ON_TRIAL: EjectionState = {kind: 'on_trial'};

/** Tracks the errors of one server and decides when it is ejected. */
export class Ejection {
  private state: EjectionState = IN_SERVICE;
  private errorRate = 0;
  private samples = 0;
  private consecutiveFailures = 0;
  private consecutiveAnswers = 0;
  private ejections = 0;

  /** Returns the state at `now`. */
  stateAt(now: number): EjectionState {
    if (this.state.kind === 'ejected' && now >= this.state.until) {
      this.state = ON_TRIAL;
    }
    return this.state;
  }

  /** Records a successful answer; returns whether it ended a trial. */
  recordSuccess(now: number): boolean {
    this.consecutiveFailures = 0;
    this.consecutiveAnswers += 1;
    if (this.consecutiveAnswers >= ANSWERS_TO_RESET_BACKOFF) this.ejections = 0;
    this.recordSample(0);
    // Answers to requests sent before the ejection do not end it.
    if (this.stateAt(now).kind !== 'on_trial') return false;
    this.state = IN_SERVICE;
    this.errorRate = 0;
    this.samples = 0;
    return true;
  }

  /** Records an error answer or a lost connection. */
  recordFailure(now: number): void {
    this.consecutiveAnswers = 0;
    this.consecutiveFailures += 1;
    this.recordSample(1);
    switch (this.stateAt(now).kind) {
      case 'ejected':
        return;
      case 'on_trial':
        this.eject(now);
        return;
      case 'in_service':
        if (this.exceedsErrorLimits()) this.eject(now);
        return;
      default:
        throw new Error('unexpected ejection state');
    }
  }

  /** Records a failed connection attempt; the server did not run the request. */
  recordUnreachable(now: number): void {
    this.recordFailure(now);
    if (this.stateAt(now).kind === 'in_service') {
      this.state = {kind: 'ejected', until: now + UNREACHABLE_EJECTION_MS};
    }
  }

  private exceedsErrorLimits(): boolean {
    const isRateExceeded =
      this.samples >= MIN_SAMPLES && this.errorRate >= MAX_ERROR_RATE;
    return isRateExceeded || this.consecutiveFailures >= MAX_FAILURES;
  }

  private recordSample(sample: number): void {
    this.samples += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.samples);
    this.errorRate += weight * (sample - this.errorRate);
  }

  private eject(now: number): void {
    const backoff = FIRST_EJECTION_MS * 2 ** Math.min(this.ejections, 16);
    this.ejections += 1;
    this.state = {
      kind: 'ejected',
      until: now + Math.min(backoff, MAX_EJECTION_MS),
    };
  }
}
