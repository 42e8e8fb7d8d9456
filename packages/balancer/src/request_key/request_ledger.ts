/**
 * Records the non-idempotent requests whose keys this incarnation issued. A
 * record is kept until its key has expired, so that a resent request always
 * finds either the running request or its result.
 */
import {Outcome, type ServiceId} from '@ragworthall/contracts';
import {type CallResult, RefusalReason, type Refused} from '../link/call.js';
import {KEY_LIFETIME_MS, type RequestKey} from './request_key.js';

/** Capacity of a ledger. */
export interface LedgerLimits {
  /** Maximum records of one member. */
  readonly recordsPerMember: number;
  /** Maximum bytes of one stored answer. */
  readonly answerBytes: number;
  /** Maximum bytes of all stored answers of one member. */
  readonly bytesPerMember: number;
}

/** Decision on a request with a key. */
export type Admission =
  /** The key is new: run the request, then call `settle` once. */
  | {readonly kind: 'run'; readonly record: LedgerRecord}
  /** The request is running or has run, with this result. */
  | {readonly kind: 'join'; readonly result: Promise<CallResult>}
  | Refused;

/** The record of one key. */
export class LedgerRecord {
  readonly result: Promise<CallResult>;
  /** Bytes of the stored answer. */
  answerSize = 0;
  private resolve!: (result: CallResult) => void;

  constructor(
    readonly id: string,
    readonly member: string,
    readonly fingerprint: string,
    /** Expiry of the key; requests with an expired key are refused. */
    readonly expiresAt: number,
  ) {
    this.result = new Promise(resolve => (this.resolve = resolve));
  }

  /** Delivers the result to all requests that joined the run. */
  publish(result: CallResult): void {
    this.resolve(result);
  }
}

interface MemberUsage {
  records: number;
  bytes: number;
  /**
   * Keys without a record that were issued up to this time are refused: their
   * requests may have been answered "not run" while the ledger was full, so no
   * record would prevent a delayed copy from running.
   */
  refuseIssuedUntil: number;
}

/**
 * Maximum clock skew, milliseconds. Other instances issue keys on behalf of this
 * one by their wall clocks, which may be ahead by this much.
 */
const MAX_CLOCK_SKEW_MS = 30_000;

/** Fingerprint recorded for a request whose body was not read. */
const UNREAD_CONTENT = '';

/** Retry delay returned to callers when the ledger is full, milliseconds. */
const LEDGER_FULL_RETRY_MS = 10_000;

/** Ensures that the request of each key runs at most once. */
export class RequestLedger {
  // Insertion order is close to expiry order, because prefixes are short-lived.
  private readonly records = new Map<string, LedgerRecord>();
  private readonly usage = new Map<string, MemberUsage>();

  constructor(
    private readonly limits: LedgerLimits,
    /** Start of this incarnation on the monotonic clock, milliseconds. */
    private readonly startedAt: number,
  ) {}

  /** Number of records. */
  get size(): number {
    return this.records.size;
  }

  /** Decides whether a request whose key this incarnation issued may run. */
  admit(
    key: RequestKey,
    keyText: string,
    serviceId: ServiceId,
    fingerprint: string,
    now: number,
  ): Admission {
    const issuedAt = this.startedAt + key.issuedAt;
    if (issuedAt > now + MAX_CLOCK_SKEW_MS) {
      // Not "not run": no record would prevent a copy of the request from running
      // once the key has become valid.
      return refusedOutcomeUnknown(RefusalReason.KeyMalformed);
    }
    const id = recordId(serviceId, keyText);
    const member = memberOf(serviceId);
    const known = this.records.get(id);
    if (known) return joinRun(known, fingerprint);
    if (now >= issuedAt + KEY_LIFETIME_MS) return refusedExpired();
    this.expire(now);
    const usage = this.usageOf(member);
    if (usage.records >= this.limits.recordsPerMember)
      usage.refuseIssuedUntil = now + MAX_CLOCK_SKEW_MS;
    if (issuedAt <= usage.refuseIssuedUntil) {
      return refusedNotRun(RefusalReason.LedgerFull, LEDGER_FULL_RETRY_MS);
    }
    return {
      kind: 'run',
      record: this.createRecord(id, member, fingerprint, issuedAt),
    };
  }

  /**
   * Refuses a request whose body was not read, and records the refusal: a copy
   * of the request must not run after its caller was told "not run".
   */
  refuse(
    key: RequestKey,
    keyText: string,
    serviceId: ServiceId,
    refused: Refused,
    now: number,
  ): Refused {
    const known = this.records.get(recordId(serviceId, keyText));
    // An earlier copy is running, has run or was itself refused.
    if (known) return refusedOutcomeUnknown(refused.reason);
    const admission = this.admit(key, keyText, serviceId, UNREAD_CONTENT, now);
    if (admission.kind === 'refused') return admission;
    if (admission.kind === 'join') return refusedOutcomeUnknown(refused.reason);
    this.settle(admission.record, refused);
    return refused;
  }

  /** Ends a run: stores its result for resends and delivers it to joined requests. */
  settle(record: LedgerRecord, result: CallResult): void {
    // A "not run" result is stored too: a delayed copy of the request must not
    // run after its caller was told so.
    record.publish(this.storeAnswer(record, result));
  }

  /** Removes the records whose keys have expired. */
  expire(now: number): void {
    for (const record of this.records.values()) {
      if (record.expiresAt > now) break;
      this.removeRecord(record);
    }
  }

  private createRecord(
    id: string,
    member: string,
    fingerprint: string,
    issuedAt: number,
  ): LedgerRecord {
    const record = new LedgerRecord(
      id,
      member,
      fingerprint,
      issuedAt + KEY_LIFETIME_MS,
    );
    this.records.set(id, record);
    this.usageOf(member).records += 1;
    return record;
  }

  private storeAnswer(record: LedgerRecord, result: CallResult): CallResult {
    if (result.kind === 'refused') return result;
    const bytes = result.answer.body.byteLength;
    const usage = this.usageOf(record.member);
    const fits =
      bytes <= this.limits.answerBytes &&
      usage.bytes + bytes <= this.limits.bytesPerMember;
    if (!fits) return refusedOutcomeUnknown(RefusalReason.AnswerNotKept);
    // The key may expire during the run; its result is then never requested again.
    if (this.records.has(record.id)) {
      usage.bytes += bytes;
      record.answerSize = bytes;
    }
    return {...result, replayed: true};
  }

  private removeRecord(record: LedgerRecord): void {
    if (!this.records.delete(record.id)) return;
    const usage = this.usageOf(record.member);
    usage.records -= 1;
    usage.bytes -= record.answerSize;
  }

  private usageOf(member: string): MemberUsage {
    const known = this.usage.get(member);
    if (known) return known;
    const usage = {records: 0, bytes: 0, refuseIssuedUntil: -Infinity};
    this.usage.set(member, usage);
    return usage;
  }
}

function recordId(serviceId: ServiceId, keyText: string): string {
  return `${serviceId} ${keyText}`;
}

function memberOf(serviceId: ServiceId): string {
  return serviceId.slice(0, serviceId.indexOf('/'));
}

function joinRun(record: LedgerRecord, fingerprint: string): Admission {
  if (record.fingerprint !== fingerprint)
    return refusedNotRun(RefusalReason.KeyReused);
  return {kind: 'join', result: record.result};
}

function refusedExpired(): Refused {
  // The record may have been removed, so it is unknown whether the request ran.
  return refusedOutcomeUnknown(RefusalReason.KeyExpired);
}

/** Creates a refusal of a call that no backend server ran. */
export function refusedNotRun(
  reason: RefusalReason,
  retryAfterMs?: number,
): Refused {
  return {kind: 'refused', outcome: Outcome.NotRun, reason, retryAfterMs};
}

/** Creates a refusal of a call that may have run. */
export function refusedOutcomeUnknown(reason: RefusalReason): Refused {
  return {kind: 'refused', outcome: Outcome.Unknown, reason};
}
