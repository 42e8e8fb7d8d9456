/**
 * Recognises requests that crash backend servers, by their content. Content
 * that was in flight when a server crashed is suspect until a request with it
 * succeeds. Suspects run one at a time and never share a server, so that each
 * further crash points to one of them; after a few crashes without a success
 * the content is condemned for a time.
 */
import {offAbort, onAbort} from '../link/abort.js';
import {type Call, RefusalReason, type Refused} from '../link/call.js';
import {type Timers} from '../link/clock.js';
import {refusedNotRun} from '../request_key/request_ledger.js';

/** Crashes without a success between them that condemn. */
export const CRASHES_TO_QUARANTINE = 3;
/** First time for which content is condemned, milliseconds; it doubles. */
export const FIRST_QUARANTINE_MS = 60_000;
/** Longest time for which content is condemned, milliseconds. */
const MAX_QUARANTINE_MS = 3_600_000;
/** Reports of two instances on a server within this are one crash, milliseconds. */
const SAME_CRASH_MS = 100;
/** Time without a crash after which content is forgotten, milliseconds. */
const FORGET_AFTER_MS = 7_200_000;
/** Contents that are kept; the one whose crash is longest ago goes first. */
const MAX_CONTENTS = 10_000;

/** News about content, for other instances. */
export type ContentReport =
  | {
      readonly kind: 'crash';
      readonly fingerprint: string;
      /** The server that crashed. */
      readonly server: string;
    }
  /** A request with it succeeded. */
  | {readonly kind: 'cleared'; readonly fingerprint: string};

/** The crashes of one content, for an instance that joins. */
export interface CrashCount {
  readonly fingerprint: string;
  readonly crashes: number;
  /** Time until it may run again, milliseconds; 0 if it is not condemned. */
  readonly quarantinedForMs: number;
}

/** What content may do. */
export type ContentStatus =
  | {readonly kind: 'clear'}
  | {readonly kind: 'suspect'}
  | {readonly kind: 'condemned'; readonly until: number};

/** Whether a call may run with regard to its content. */
export type RunPermission =
  | {readonly kind: 'clear'}
  /** It is the only one of its content that runs; dispose of it afterwards. */
  | {readonly kind: 'turn'; readonly turn: Disposable}
  | Refused;

interface Content {
  crashes: number;
  lastCrash: number;
  lastServer: string;
  quarantinedUntil: number;
  quarantineCount: number;
  running: boolean;
  /** Calls that wait for their turn. */
  readonly waiting: Set<() => void>;
}

const CLEAR: {readonly kind: 'clear'} = {kind: 'clear'};

/** The suspected and condemned contents of one service. */
export class ContentQuarantine {
  // In the order of the latest crash.
  private readonly contents = new Map<string, Content>();
  private readonly listeners = new Set<(report: ContentReport) => void>();

  constructor(private readonly timers: Timers) {}

  /** Contents that are not clear. */
  get size(): number {
    return this.contents.size;
  }

  /** Calls `listener` with what this instance saw. */
  onReport(listener: (report: ContentReport) => void): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** What content may do at `now`. */
  statusOf(fingerprint: string, now: number): ContentStatus {
    // The common case costs one look at an empty map.
    if (this.contents.size === 0) return CLEAR;
    const content = this.contents.get(fingerprint);
    if (!content) return CLEAR;
    if (now < content.quarantinedUntil) {
      return {kind: 'condemned', until: content.quarantinedUntil};
    }
    return {kind: 'suspect'};
  }

  /**
   * Waits until a call may run: at once if its content is clear, in turn if it
   * is suspect. Never rejects. `now` is asked again after each wait.
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
      const standing = this.statusOf(call.fingerprint, now);
      switch (standing.kind) {
        case 'clear':
          return CLEAR;
        case 'condemned':
          return refusedNotRun(
            RefusalReason.ContentQuarantined,
            Math.ceil(standing.until - now),
          );
        case 'suspect': {
          const content = this.contents.get(call.fingerprint)!;
          if (!content.running) return this.lock(content);
          await this.waitForRelease(content, call.deadline - now, signal);
          break;
        }
        default:
          standing satisfies never;
      }
    }
  }

  /** Takes in that a server crashed while it ran this since `startedAt`. */
  recordCrash(
    fingerprint: string,
    server: string,
    startedAt: number,
    now: number,
  ): void {
    if (!this.countCrash(fingerprint, server, startedAt, now)) return;
    this.notifyListeners({kind: 'crash', fingerprint, server});
  }

  /** Takes in that a request with this content got its answer. */
  succeeded(fingerprint: string): void {
    if (this.contents.size === 0 || !this.remove(fingerprint)) return;
    this.notifyListeners({kind: 'cleared', fingerprint});
  }

  /** Takes in what another instance saw. */
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

  /** The counts of all contents, for an instance that joins. */
  crashCounts(now: number): readonly CrashCount[] {
    return [...this.contents].map(([fingerprint, content]) => ({
      fingerprint,
      crashes: content.crashes,
      quarantinedForMs: Math.max(0, content.quarantinedUntil - now),
    }));
  }

  /** Takes over the counts of another instance where they are higher. */
  mergeCrashCounts(counts: readonly CrashCount[], now: number): void {
    counts.forEach(
      ({fingerprint, crashes, quarantinedForMs: quarantinedForMs}) => {
        const content = this.contentOf(fingerprint, now);
        content.crashes = Math.max(content.crashes, crashes);
        const until = quarantinedForMs > 0 ? now + quarantinedForMs : -Infinity;
        content.quarantinedUntil = Math.max(content.quarantinedUntil, until);
      },
    );
  }

  /** Counts a crash; false if it was counted before. */
  private countCrash(
    fingerprint: string,
    server: string,
    startedAt: number,
    now: number,
  ): boolean {
    const content = this.contentOf(fingerprint, now);
    // What was running when the server crashed belongs to that crash.
    const sameCrash =
      content.crashes > 0 &&
      content.lastServer === server &&
      startedAt <= content.lastCrash;
    if (sameCrash) return false;
    content.crashes += 1;
    content.lastCrash = now;
    content.lastServer = server;
    // The newest crash goes to the end of the map.
    this.contents.delete(fingerprint);
    this.contents.set(fingerprint, content);
    if (content.crashes >= CRASHES_TO_QUARANTINE) quarantine(content, now);
    return true;
  }

  private remove(fingerprint: string): boolean {
    const content = this.contents.get(fingerprint);
    if (!content) return false;
    this.contents.delete(fingerprint);
    wakeAll(content);
    return true;
  }

  private contentOf(fingerprint: string, now: number): Content {
    const known = this.contents.get(fingerprint);
    if (known) return known;
    this.forgetOld(now);
    const content: Content = {
      crashes: 0,
      lastCrash: now,
      lastServer: '',
      quarantinedUntil: -Infinity,
      quarantineCount: 0,
      running: false,
      waiting: new Set(),
    };
    this.contents.set(fingerprint, content);
    return content;
  }

  private forgetOld(now: number): void {
    for (const [fingerprint, content] of this.contents) {
      const isOld = now - content.lastCrash > FORGET_AFTER_MS;
      if (!isOld && this.contents.size < MAX_CONTENTS) return;
      this.remove(fingerprint);
    }
  }

  private lock(content: Content): RunPermission {
    content.running = true;
    const leave = () => {
      content.running = false;
      wakeAll(content);
    };
    return {kind: 'turn', turn: {[Symbol.dispose]: leave}};
  }

  private async waitForRelease(
    content: Content,
    timeLeftMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = this.timers.set(timeLeftMs, () => wake());
      const wake = () => {
        timer[Symbol.dispose]();
        offAbort(signal, wake);
        content.waiting.delete(wake);
        resolve();
      };
      content.waiting.add(wake);
      onAbort(signal, wake);
    });
  }

  private notifyListeners(report: ContentReport): void {
    this.listeners.forEach(listener => listener(report));
  }
}

function quarantine(content: Content, now: number): void {
  const term = FIRST_QUARANTINE_MS * 2 ** Math.min(content.quarantineCount, 8);
  content.quarantinedUntil = now + Math.min(term, MAX_QUARANTINE_MS);
  content.quarantineCount += 1;
  // Released, it is on its last trial: one more crash condemns it again.
  content.crashes = CRASHES_TO_QUARANTINE - 1;
  wakeAll(content);
}

function wakeAll(content: Content): void {
  [...content.waiting].forEach(wake => wake());
}
