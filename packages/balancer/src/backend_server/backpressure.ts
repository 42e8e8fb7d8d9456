/**
 * What is believed of a backend server from its statements, and when it may be
 * sent the next request. Each instance keeps to its share of a limit, so that
 * the sum over all instances keeps to the limit without coordination.
 */
import type {
  ServerStatement,
  StatementChange,
  StatementsOfMessage,
} from './server_statement.js';

/** Part of a second's requests that may be sent at once. */
const BURST_S = 0.5;
const MS_PER_S = 1_000;

/** Returns the share of this instance in a limit of requests per second, 0 to 1. */
export type ShareOfLimit = (perS: number) => number;

/** Share of an instance that is alone. */
export const WHOLE_LIMIT: ShareOfLimit = () => 1;

/** The believed statements of one server process. */
export class Backpressure {
  private limitPerS: number | undefined;
  private leaving = false;
  private restUntil = -Infinity;
  private tokens = 0;
  private refilledAt = -Infinity;
  private lastSendAt = -Infinity;

  constructor(private readonly shareOf: ShareOfLimit) {}

  /** Whether the server has announced that it leaves. */
  get isLeaving(): boolean {
    return this.leaving;
  }

  /** Whether it has named a limit that is in force. */
  get isLimited(): boolean {
    return this.limitPerS !== undefined;
  }

  /** Whether the server wants nothing from this instance now, probes included. */
  wantsNothing(now: number): boolean {
    return this.leaving || this.isResting(now);
  }

  /** Whether the server has asked for a time without messages that is not over. */
  isResting(now: number): boolean {
    return now < this.restUntil;
  }

  /** Time between two requests of this instance, milliseconds; 0 without a limit. */
  get sendIntervalMs(): number {
    return this.isLimited ? MS_PER_S / this.ratePerS : 0;
  }

  /**
   * Takes in the statements of one message; returns what has changed. A limit
   * holds until a message, of whatever kind, does not name it any more.
   */
  record(
    message: StatementsOfMessage,
    now: number,
  ): readonly StatementChange[] {
    const {statements, isLimitUnreadable} = message;
    const changes = statements.flatMap(s => this.apply(s, now));
    const namesLimit = statements.some(({kind}) => kind === 'limit');
    if (namesLimit || isLimitUnreadable) return changes;
    return [...changes, ...this.endLimit()];
  }

  /** Records that a request is sent. */
  recordSend(now: number): void {
    this.lastSendAt = now;
    if (!this.isLimited) return;
    this.refill(now);
    this.tokens -= 1;
  }

  /** Time from which a request may be sent, milliseconds; Infinity if never. */
  nextSendAt(now: number): number {
    if (this.leaving) return Infinity;
    return Math.max(this.restUntil, this.limitOpensAt(now));
  }

  private apply(
    statement: ServerStatement,
    now: number,
  ): readonly StatementChange[] {
    switch (statement.kind) {
      case 'limit':
        return this.applyLimit(statement.perS, now);
      case 'leaving': {
        const before = this.leaving;
        this.leaving = true;
        return before ? [] : [{statement: 'leaving', before, after: true}];
      }
      case 'rest': {
        const until = now + statement.ms;
        const before = this.restUntil > now ? this.restUntil : undefined;
        if (before !== undefined && before >= until) return [];
        this.restUntil = until;
        return [{statement: 'rest', before, after: until}];
      }
      default:
        return statement satisfies never;
    }
  }

  private applyLimit(perS: number, now: number): readonly StatementChange[] {
    const before = this.limitPerS;
    if (before === perS) return [];
    if (before === undefined) {
      // As if the limit had been in force since the last request.
      this.tokens = 0;
      this.refilledAt = this.lastSendAt;
    } else {
      this.refill(now);
    }
    this.limitPerS = perS;
    return [{statement: 'limit', before, after: perS}];
  }

  private endLimit(): readonly StatementChange[] {
    const before = this.limitPerS;
    if (before === undefined) return [];
    this.limitPerS = undefined;
    return [{statement: 'limit', before, after: undefined}];
  }

  private limitOpensAt(now: number): number {
    if (!this.isLimited) return -Infinity;
    this.refill(now);
    return this.tokens >= 1
      ? now
      : now + (1 - this.tokens) * this.sendIntervalMs;
  }

  private refill(now: number): void {
    const elapsedS = Math.max(0, now - this.refilledAt) / MS_PER_S;
    const {ratePerS} = this;
    const burst = Math.max(1, BURST_S * ratePerS);
    // Without a share nothing accrues, however long the time.
    const accrued = ratePerS > 0 ? elapsedS * ratePerS : 0;
    this.tokens = Math.min(burst, this.tokens + accrued);
    this.refilledAt = now;
  }

  /** Requests per second that this instance may send. */
  private get ratePerS(): number {
    const perS = this.limitPerS ?? 0;
    return perS * this.shareOf(perS);
  }
}
