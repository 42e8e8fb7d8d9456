/**
 * The requests that are not idempotent and whose keys this incarnation issued.
 * A record stays until its key has expired, so that a resend finds either the
 * running request or its result, never an empty place.
 */
import {Outcome, type ServiceId} from '@ragworthall/contracts';
import {type CallResult, RefusalReason, type Refused} from '../link/call.js';
import {KEY_LIFETIME_MS, type RequestKey} from './request_key.js';

/** How much a ledger keeps. */
export interface LedgerLimits {
  /** Records of one member. */
  readonly recordsPerMember: number;
  /** Bytes of one kept answer. */
  readonly answerBytes: number;
  /** Bytes of all kept answers of one member. */
  readonly bytesPerMember: number;
}

/** Whether a request with this key may run. */
export type Admission =
  /** First sight of the key: run it, then call `settle` once. */
  | {readonly kind: 'run'; readonly record: LedgerRecord}
  /** It runs, or ran: the result is this. */
  | {readonly kind: 'join'; readonly result: Promise<CallResult>}
  | Refused;

/** The record of one key. */
export class LedgerRecord {
  readonly result: Promise<CallResult>;
  /** Bytes of the answer that is kept. */
  keptBytes = 0;
  private resolve!: (result: CallResult) => void;

  constructor(
    readonly id: string,
    readonly member: string,
    readonly fingerprint: string,
    /** Time after which the key is refused, so that nobody asks again. */
    readonly expiresAt: number,
  ) {
    this.result = new Promise(resolve => (this.resolve = resolve));
  }

  /** Publishes the result to all who joined. */
  publish(result: CallResult): void {
    this.resolve(result);
  }
}

interface MemberUse {
  records: number;
  bytes: number;
  /**
   * Keys issued up to this time and without a record are refused: a caller may
   * have been told "not run" without a record to hold a delayed copy back.
   */
  voidBefore: number;
}

/**
 * Other instances issue keys of this one by their wall clocks, which may be
 * ahead by this much, milliseconds.
 */
const MAX_SKEW_MS = 30_000;

/** Fingerprint of a request whose body was not read. */
const ANY_CONTENT = '';

/** Wait that a caller is told when the ledger is full, milliseconds. */
const RETRY_WHEN_FULL_MS = 10_000;

/** Keeps a record for each key until it has expired. */
export class RequestLedger {
  // Insertion order is close to the order of expiry: prefixes are short-lived.
  private readonly records = new Map<string, LedgerRecord>();
  private readonly use = new Map<string, MemberUse>();

  constructor(
    private readonly limits: LedgerLimits,
    /** Start of this incarnation on the monotonic clock, milliseconds. */
    private readonly startedAt: number,
  ) {}

  /** Number of records kept. */
  get size(): number {
    return this.records.size;
  }

  /** Decides whether a request whose key this incarnation issued may run. */
  admit(
    key: RequestKey,
    text: string,
    serviceId: ServiceId,
    fingerprint: string,
    now: number,
  ): Admission {
    const issuedAt = this.startedAt + key.issuedAt;
    if (issuedAt > now + MAX_SKEW_MS) {
      // No record holds a copy back that comes when the key has become valid.
      return refusedOutcomeUnknown(RefusalReason.KeyMalformed);
    }
    const id = recordId(serviceId, text);
    const member = memberOf(serviceId);
    const known = this.records.get(id);
    if (known) return joinRecord(known, fingerprint);
    if (now >= issuedAt + KEY_LIFETIME_MS) return expired();
    this.expire(now);
    const use = this.useOf(member);
    if (use.records >= this.limits.recordsPerMember)
      use.voidBefore = now + MAX_SKEW_MS;
    if (issuedAt <= use.voidBefore) {
      return refusedNotRun(RefusalReason.LedgerFull, RETRY_WHEN_FULL_MS);
    }
    return {kind: 'run', record: this.open(id, member, fingerprint, issuedAt)};
  }

  /**
   * Refuses a request whose body was not read, and keeps the refusal: a copy
   * of the request must not run after its caller was told "not run".
   */
  refuse(
    key: RequestKey,
    text: string,
    serviceId: ServiceId,
    refused: Refused,
    now: number,
  ): Refused {
    const known = this.records.get(recordId(serviceId, text));
    // The copy that came first runs or ran, or was refused itself.
    if (known) return refusedOutcomeUnknown(refused.reason);
    const admission = this.admit(key, text, serviceId, ANY_CONTENT, now);
    if (admission.kind === 'refused') return admission;
    if (admission.kind === 'join') return refusedOutcomeUnknown(refused.reason);
    this.settle(admission.record, refused);
    return refused;
  }

  /** Ends a run: keeps its result for resends and tells those who joined. */
  settle(record: LedgerRecord, result: CallResult): void {
    // "Not run" is kept too: a delayed copy of the request must not run after
    // its caller was told so.
    record.publish(this.kept(record, result));
  }

  /** Drops the records whose keys have expired. */
  expire(now: number): void {
    for (const record of this.records.values()) {
      if (record.expiresAt > now) break;
      this.remove(record);
    }
  }

  private open(
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
    this.useOf(member).records += 1;
    return record;
  }

  private kept(record: LedgerRecord, result: CallResult): CallResult {
    if (result.kind === 'refused') return result;
    const bytes = result.answer.body.byteLength;
    const use = this.useOf(record.member);
    const fits =
      bytes <= this.limits.answerBytes &&
      use.bytes + bytes <= this.limits.bytesPerMember;
    if (!fits) return refusedOutcomeUnknown(RefusalReason.AnswerNotKept);
    // A run may outlive its key; then nobody asks for its result again.
    if (this.records.has(record.id)) {
      use.bytes += bytes;
      record.keptBytes = bytes;
    }
    return {...result, replayed: true};
  }

  private remove(record: LedgerRecord): void {
    if (!this.records.delete(record.id)) return;
    const use = this.useOf(record.member);
    use.records -= 1;
    use.bytes -= record.keptBytes;
  }

  private useOf(member: string): MemberUse {
    const known = this.use.get(member);
    if (known) return known;
    const use = {records: 0, bytes: 0, voidBefore: -Infinity};
    this.use.set(member, use);
    return use;
  }
}

function recordId(serviceId: ServiceId, text: string): string {
  return `${serviceId} ${text}`;
}

function memberOf(serviceId: ServiceId): string {
  return serviceId.slice(0, serviceId.indexOf('/'));
}

function joinRecord(record: LedgerRecord, fingerprint: string): Admission {
  if (record.fingerprint !== fingerprint)
    return refusedNotRun(RefusalReason.KeyReused);
  return {kind: 'join', result: record.result};
}

function expired(): Refused {
  // Its record may be gone: whether it ran can no longer be told.
  return refusedOutcomeUnknown(RefusalReason.KeyExpired);
}

/** Returns a refusal of a call that no backend server ran. */
export function refusedNotRun(
  reason: RefusalReason,
  retryAfterMs?: number,
): Refused {
  return {kind: 'refused', outcome: Outcome.NotRun, reason, retryAfterMs};
}

/** Returns a refusal of a call that may have run. */
export function refusedOutcomeUnknown(reason: RefusalReason): Refused {
  return {kind: 'refused', outcome: Outcome.Unknown, reason};
}
