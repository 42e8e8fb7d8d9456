/**
 * What is known of a request content under which backend servers ended. All
 * instances share one record for each content; a change is a function of the
 * record as it is, so that it can be applied again after another instance's.
 */

/** Ends of servers, one after the other, from which a content is refused. */
export const ENDS_TO_REFUSE = 3;

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
/**
 * Durations of the refusals of one content, milliseconds. After each, one request
 * of the whole fleet is let through; the last one repeats.
 */
const REFUSAL_MS = [
  MINUTE_MS / 2,
  2 * MINUTE_MS,
  10 * MINUTE_MS,
  24 * HOUR_MS,
] as const;
/** Time after which a suspect content is forgotten, milliseconds. */
const SUSPECT_LIFETIME_MS = 2 * HOUR_MS;
/** Time after which a content that was refused is forgotten, milliseconds. */
const REFUSED_LIFETIME_MS = 24 * HOUR_MS;

/** The only run of a content at this time. */
export interface RunClaim {
  /** Id of the instance that runs it. */
  readonly by: string;
  /** When the claim lapses, Unix milliseconds. */
  readonly until: number;
}

/** The record of one content. */
export interface CrashRecord {
  /** Ends of servers, each under a request sent after the one before was known. */
  readonly ends: number;
  /** Time of the last end, Unix milliseconds. */
  readonly endedAt: number;
  /** Until when the content is refused, Unix milliseconds; 0 if it never was. */
  readonly refusedUntil: number;
  /** How often it was refused for some time. */
  readonly refusals: number;
  readonly claim?: RunClaim | undefined;
}

/** A change of a record. Times are Unix milliseconds. */
export type ContentChange =
  /**
   * A server ended under a request that was sent when `knownEnds` ends were
   * known. Several servers may end at once for another reason, each with a copy
   * of a harmless content: these count as one end.
   */
  | {
      readonly kind: 'ended';
      readonly knownEnds: number;
      readonly at: number;
      /** The instance whose claimed run it was; undefined for any other run. */
      readonly claimedBy?: string;
    }
  /** A server answered a request with the content. */
  | {readonly kind: 'answered'}
  | {readonly kind: 'claimed'; readonly claim: RunClaim; readonly at: number}
  /** A run that was claimed showed nothing. */
  | {readonly kind: 'released'; readonly by: string}
  /** What an instance knows from a store that has lost it. */
  | {readonly kind: 'known'; readonly record: CrashRecord}
  /** The record is dropped if its time is over. */
  | {readonly kind: 'aged'; readonly at: number};

/** What follows from a record for requests with the content. */
export type ContentStatus =
  | {readonly kind: 'clear'}
  /** One request of the fleet at a time may be sent. */
  | {readonly kind: 'suspect'}
  /** The same, after a refusal: a failure refuses it for longer. */
  | {readonly kind: 'trial'}
  /** Another instance runs one. */
  | {readonly kind: 'claimed'; readonly forMs: number}
  | {readonly kind: 'refused'; readonly forMs: number};

const CLEAR: ContentStatus = {kind: 'clear'};
const SUSPECT: ContentStatus = {kind: 'suspect'};
const TRIAL: ContentStatus = {kind: 'trial'};

/** Returns the record after a change; undefined if the content is clear. */
export function changedRecord(
  record: CrashRecord | undefined,
  change: ContentChange,
): CrashRecord | undefined {
  switch (change.kind) {
    case 'ended':
      return withEnd(record, change);
    case 'answered':
      return undefined;
    case 'claimed': {
      if (!record) return undefined;
      // Refused in advance: this instance may end before it can tell.
      const claimed =
        record.refusals > 0 ? refusedFrom(record, change.at) : record;
      return {...claimed, claim: change.claim};
    }
    case 'released':
      return record?.claim?.by === change.by
        ? {...record, claim: undefined}
        : record;
    case 'known':
      return merged(record, change.record);
    case 'aged':
      return record && change.at < expiryOf(record) ? record : undefined;
    default:
      return change satisfies never;
  }
}

/**
 * Returns what holds for requests with a content.
 *
 * @param self Id of this instance.
 * @param at Unix milliseconds.
 */
export function contentStatus(
  record: CrashRecord | undefined,
  self: string,
  at: number,
): ContentStatus {
  if (!record || at >= expiryOf(record)) return CLEAR;
  const {refusals, refusedUntil, claim} = record;
  if (at < refusedUntil) return {kind: 'refused', forMs: refusedUntil - at};
  if (claim && claim.by !== self && at < claim.until) {
    return {kind: 'claimed', forMs: claim.until - at};
  }
  return refusals > 0 ? TRIAL : SUSPECT;
}

function withEnd(
  record: CrashRecord | undefined,
  {knownEnds, at, claimedBy}: Extract<ContentChange, {kind: 'ended'}>,
): CrashRecord {
  const known = record ?? NO_ENDS;
  // An end that is noticed late says nothing of the run that is claimed meanwhile.
  const endsClaim = claimedBy !== undefined && known.claim?.by === claimedBy;
  if (known.ends > knownEnds && !endsClaim) return known;
  const ended = {
    ...known,
    ends: Math.max(known.ends, knownEnds + 1),
    endedAt: Math.max(known.endedAt, at),
    claim: endsClaim ? undefined : known.claim,
  };
  const isFirstRefusal = known.refusals === 0 && ended.ends >= ENDS_TO_REFUSE;
  return isFirstRefusal ? refusedFrom(ended, at) : ended;
}

/** Returns a record with all that either says; the first if the other adds nothing. */
function merged(
  record: CrashRecord | undefined,
  known: CrashRecord,
): CrashRecord {
  // Its claim was given by the store as it was before.
  if (!record) return {...known, claim: undefined};
  const addsNothing =
    known.ends <= record.ends &&
    known.refusals <= record.refusals &&
    known.refusedUntil <= record.refusedUntil;
  if (addsNothing) return record;
  return {
    ends: Math.max(record.ends, known.ends),
    endedAt: Math.max(record.endedAt, known.endedAt),
    refusedUntil: Math.max(record.refusedUntil, known.refusedUntil),
    refusals: Math.max(record.refusals, known.refusals),
    claim: record.claim,
  };
}

const NO_ENDS: CrashRecord = {
  ends: 0,
  endedAt: 0,
  refusedUntil: 0,
  refusals: 0,
};

function refusedFrom(record: CrashRecord, at: number): CrashRecord {
  const {refusals} = record;
  const forMs = REFUSAL_MS[Math.min(refusals, REFUSAL_MS.length - 1)]!;
  return {...record, refusedUntil: at + forMs, refusals: refusals + 1};
}

/** When a record is forgotten, Unix milliseconds. */
function expiryOf({endedAt, refusedUntil, refusals}: CrashRecord): number {
  return refusals === 0
    ? endedAt + SUSPECT_LIFETIME_MS
    : Math.max(endedAt, refusedUntil) + REFUSED_LIFETIME_MS;
}
