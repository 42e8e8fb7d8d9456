/**
 * Detects requests that crash backend servers, by their content. Content that
 * was in flight when a server crashed is suspect until a request with it
 * succeeds. Requests with suspect content run one at a time and never share a
 * server, so that each further crash can be attributed to one content. After a
 * few crashes without a success, the content is quarantined for some time.
 */
import {RunLock} from '../content/run_lock.js';
import {type Call, RefusalReason, type Refused} from '../link/call.js';
import {type Timers} from '../link/clock.js';
import {refusedNotRun} from '../request_key/request_ledger.js';

/** Number of crashes without a success after which content is quarantined. */
export const CRASHES_TO_QUARANTINE = 3;
/**
 * Duration of the first quarantine of a content, milliseconds; it doubles each
 * time.
 */
export const FIRST_QUARANTINE_MS = 60_000;
/** Maximum duration of a quarantine, milliseconds. */
const MAX_QUARANTINE_MS = 3_600_000;
/**
 * Time within which reports of several instances about the same server count as
 * one crash, milliseconds.
 */
const SAME_CRASH_MS = 100;
/** Time without a crash after which content is dropped, milliseconds. */
const CONTENT_LIFETIME_MS = 7_200_000;
/**
 * Maximum number of contents kept. The one with the oldest crash is dropped
 * first.
 */
const MAX_CONTENTS = 10_000;

/** An observation about content that is shared with other instances. */
export type ContentReport =
  | {
      readonly kind: 'crash';
      readonly fingerprint: string;
      /** The server that crashed. */
      readonly server: string;
    }
  /** A request with this content succeeded. */
  | {readonly kind: 'cleared'; readonly fingerprint: string};

/** The crash count of one content, sent to an instance that joins. */
export interface CrashCount {
  readonly fingerprint: string;
  readonly crashes: number;
  /**
   * Remaining time of its quarantine, milliseconds; 0 if it is not quarantined.
   */
  readonly quarantinedForMs: number;
}

/** Status of a content. */
export type ContentStatus =
  | {readonly kind: 'clear'}
  | {readonly kind: 'suspect'}
  | {readonly kind: 'quarantined'; readonly until: number};

/** Whether a call may run, based on the status of its content. */
export type RunPermission =
  | {readonly kind: 'clear'}
  /**
   * The call holds the lock of its content, which must be disposed of after the
   * run.
   */
  | {readonly kind: 'exclusive'; readonly lock: Disposable}
  | Refused;

interface Content {
  crashes: number;
  lastCrash: number;
  lastServer: string;
  quarantinedUntil: number;
  quarantineCount: number;
  /** Held by the call that runs. */
  readonly lock: RunLock;
}

const CLEAR: {readonly kind: 'clear'} = {kind: 'clear'};

/** The suspect and quarantined contents of one service. */
export class ContentQuarantine {
  // Ordered by time of the latest crash, oldest first.
  private readonly contents = new Map<string, Content>();
  private readonly listeners = new Set<(report: ContentReport) => void>();

  constructor(private readonly timers: Timers) {}

  /** Number of contents that are suspect or quarantined. */
  get size(): number {
    return this.contents.size;
  }

  /** Calls `listener` with the observations of this instance. */
  onReport(listener: (report: ContentReport) => void): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** Returns the status of a content at `now`. */
  statusOf(fingerprint: string, now: number): ContentStatus {
    // The common case is fast: there are no suspect contents.
    if (this.contents.size === 0) return CLEAR;
    const content = this.contents.get(fingerprint);
    if (!content) return CLEAR;
    if (now < content.quarantinedUntil) {
      return {kind: 'quarantined', until: content.quarantinedUntil};
    }
    return {kind: 'suspect'};
  }

  /**
   * Waits until a call may run: not at all if its content is clear, and until
   * it holds the lock of its content if that is suspect. Never rejects. `clock`
   * is read again after each wait.
   */
  async waitForPermission(
    call: Call,
    clock: () => number,
    signal: AbortSignal,
  ): Promise<RunPermission> {
    for (;;) {
      const now = clock();
      if (signal.aborted) return refusedNotRun(RefusalReason.CallerLeft);
      if (now >= call.deadline)
        return refusedNotRun(RefusalReason.DeadlinePassed);
      const status = this.statusOf(call.fingerprint, now);
      switch (status.kind) {
        case 'clear':
          return CLEAR;
        case 'quarantined':
          return refusedNotRun(
            RefusalReason.ContentQuarantined,
            Math.ceil(status.until - now),
          );
        case 'suspect': {
          const {lock} = this.contents.get(call.fingerprint)!;
          const held = lock.tryTake();
          if (held) return {kind: 'exclusive', lock: held};
          await lock.wait(call.deadline - now, signal);
          break;
        }
        default:
          status satisfies never;
      }
    }
  }

  /**
   * Records that a server crashed while it ran a request started at
   * `startedAt`.
   */
  recordCrash(
    fingerprint: string,
    server: string,
    startedAt: number,
    now: number,
  ): void {
    if (!this.countCrash(fingerprint, server, startedAt, now)) return;
    this.notifyListeners({kind: 'crash', fingerprint, server});
  }

  /** Records that a request with this content was answered. */
  recordSuccess(fingerprint: string): void {
    if (this.contents.size === 0 || !this.remove(fingerprint)) return;
    this.notifyListeners({kind: 'cleared', fingerprint});
  }

  /** Applies an observation of another instance. */
  applyReport(report: ContentReport, now: number): void {
    switch (report.kind) {
      case 'crash':
        this.countCrash(
          report.fingerprint,
          report.server,
          now - SAME_CRASH_MS,
          now,
        );
        return;
      case 'cleared':
        this.remove(report.fingerprint);
        return;
      default:
        report satisfies never;
    }
  }

  /** Returns the crash counts of all contents, for an instance that joins. */
  crashCounts(now: number): readonly CrashCount[] {
    return [...this.contents].map(([fingerprint, content]) => ({
      fingerprint,
      crashes: content.crashes,
      quarantinedForMs: Math.max(0, content.quarantinedUntil - now),
    }));
  }

  /** Merges the counts of another instance; the higher count wins. */
  mergeCrashCounts(counts: readonly CrashCount[], now: number): void {
    counts.forEach(({fingerprint, crashes, quarantinedForMs}) => {
      const content = this.contentOf(fingerprint, now);
      content.crashes = Math.max(content.crashes, crashes);
      const until = quarantinedForMs > 0 ? now + quarantinedForMs : -Infinity;
      content.quarantinedUntil = Math.max(content.quarantinedUntil, until);
    });
  }

  /** Counts a crash; returns false if it was already counted. */
  private countCrash(
    fingerprint: string,
    server: string,
    startedAt: number,
    now: number,
  ): boolean {
    const content = this.contentOf(fingerprint, now);
    // A request that was running when the server crashed belongs to that crash.
    const sameCrash =
      content.crashes > 0 &&
      content.lastServer === server &&
      startedAt <= content.lastCrash;
    if (sameCrash) return false;
    content.crashes += 1;
    content.lastCrash = now;
    content.lastServer = server;
    // Reinserted to keep the map ordered by latest crash.
    this.contents.delete(fingerprint);
    this.contents.set(fingerprint, content);
    if (content.crashes >= CRASHES_TO_QUARANTINE) quarantine(content, now);
    return true;
  }

  private remove(fingerprint: string): boolean {
    const content = this.contents.get(fingerprint);
    if (!content) return false;
    this.contents.delete(fingerprint);
    content.lock.wakeAll();
    return true;
  }

  private contentOf(fingerprint: string, now: number): Content {
    const known = this.contents.get(fingerprint);
    if (known) return known;
    this.dropExpired(now);
    const content: Content = {
      crashes: 0,
      lastCrash: now,
      lastServer: '',
      quarantinedUntil: -Infinity,
      quarantineCount: 0,
      lock: new RunLock(this.timers),
    };
    this.contents.set(fingerprint, content);
    return content;
  }

  private dropExpired(now: number): void {
    for (const [fingerprint, content] of this.contents) {
      const isExpired = now - content.lastCrash > CONTENT_LIFETIME_MS;
      if (!isExpired && this.contents.size < MAX_CONTENTS) return;
      this.remove(fingerprint);
    }
  }

  private notifyListeners(report: ContentReport): void {
    this.listeners.forEach(listener => listener(report));
  }
}

function quarantine(content: Content, now: number): void {
  const durationMs =
    FIRST_QUARANTINE_MS * 2 ** Math.min(content.quarantineCount, 8);
  content.quarantinedUntil = now + Math.min(durationMs, MAX_QUARANTINE_MS);
  content.quarantineCount += 1;
  // After the release, one more crash quarantines the content again.
  content.crashes = CRASHES_TO_QUARANTINE - 1;
  content.lock.wakeAll();
}
