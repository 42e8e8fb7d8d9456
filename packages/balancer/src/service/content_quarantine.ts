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
export const CRASHES_TO_CONDEMN = 3;
/** First time for which content is condemned, milliseconds; it doubles. */
export const FIRST_CONDEMNATION_MS = 60_000;
/** Longest time for which content is condemned, milliseconds. */
const MAX_CONDEMNATION_MS = 3_600_000;
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
  readonly condemnedForMs: number;
}

/** What content may do. */
export type Standing =
  | {readonly kind: 'clear'}
  | {readonly kind: 'suspect'}
  | {readonly kind: 'condemned'; readonly until: number};

/** Whether a call may run with regard to its content. */
export type Entry =
  | {readonly kind: 'clear'}
  /** It is the only one of its content that runs; dispose of it afterwards. */
  | {readonly kind: 'turn'; readonly turn: Disposable}
  | Refused;

interface Content {
  crashes: number;
  lastCrash: number;
  lastServer: string;
  condemnedUntil: number;
  condemnations: number;
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
  standing(fingerprint: string, now: number): Standing {
    // The common case costs one look at an empty map.
    if (this.contents.size === 0) return CLEAR;
    const content = this.contents.get(fingerprint);
    if (!content) return CLEAR;
    if (now < content.condemnedUntil) {
      return {kind: 'condemned', until: content.condemnedUntil};
    }
    return {kind: 'suspect'};
  }

  /**
   * Waits until a call may run: at once if its content is clear, in turn if it
   * is suspect. Never rejects. `now` is asked again after each wait.
   */
  async enter(
    call: Call,
    clock: () => number,
    signal: AbortSignal,
  ): Promise<Entry> {
    for (;;) {
      const now = clock();
      if (signal.aborted) return refusedNotRun(RefusalReason.CallerLeft);
      if (now >= call.deadline)
        return refusedNotRun(RefusalReason.DeadlinePassed);
      const standing = this.standing(call.fingerprint, now);
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
          if (!content.running) return this.takeTurn(content);
          await this.waitForTurn(content, call.deadline - now, signal);
          break;
        }
        default:
          standing satisfies never;
      }
    }
  }

  /** Takes in that a server crashed while it ran this since `startedAt`. */
  noteCrash(
    fingerprint: string,
    server: string,
    startedAt: number,
    now: number,
  ): void {
    if (!this.count(fingerprint, server, startedAt, now)) return;
    this.emit({kind: 'crash', fingerprint, server});
  }

  /** Takes in that a request with this content got its answer. */
  succeeded(fingerprint: string): void {
    if (this.contents.size === 0 || !this.clear(fingerprint)) return;
    this.emit({kind: 'cleared', fingerprint});
  }

  /** Takes in what another instance saw. */
  absorb(report: ContentReport, now: number): void {
    switch (report.kind) {
      case 'crash':
        this.count(report.fingerprint, report.server, now - SAME_CRASH_MS, now);
        return;
      case 'cleared':
        this.clear(report.fingerprint);
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
      condemnedForMs: Math.max(0, content.condemnedUntil - now),
    }));
  }

  /** Takes over the counts of another instance where they are higher. */
  absorbCounts(counts: readonly CrashCount[], now: number): void {
    counts.forEach(({fingerprint, crashes, condemnedForMs}) => {
      const content = this.contentOf(fingerprint, now);
      content.crashes = Math.max(content.crashes, crashes);
      const until = condemnedForMs > 0 ? now + condemnedForMs : -Infinity;
      content.condemnedUntil = Math.max(content.condemnedUntil, until);
    });
  }

  /** Counts a crash; false if it was counted before. */
  private count(
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
    if (content.crashes >= CRASHES_TO_CONDEMN) condemn(content, now);
    return true;
  }

  private clear(fingerprint: string): boolean {
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
      condemnedUntil: -Infinity,
      condemnations: 0,
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
      this.clear(fingerprint);
    }
  }

  private takeTurn(content: Content): Entry {
    content.running = true;
    const leave = () => {
      content.running = false;
      wakeAll(content);
    };
    return {kind: 'turn', turn: {[Symbol.dispose]: leave}};
  }

  private async waitForTurn(
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

  private emit(report: ContentReport): void {
    this.listeners.forEach(listener => listener(report));
  }
}

function condemn(content: Content, now: number): void {
  const term = FIRST_CONDEMNATION_MS * 2 ** Math.min(content.condemnations, 8);
  content.condemnedUntil = now + Math.min(term, MAX_CONDEMNATION_MS);
  content.condemnations += 1;
  // Released, it is on its last trial: one more crash condemns it again.
  content.crashes = CRASHES_TO_CONDEMN - 1;
  wakeAll(content);
}

function wakeAll(content: Content): void {
  [...content.waiting].forEach(wake => wake());
}
