/** Waits for revisions to be in force wherever requests are served. */
import {Acceptance} from './acceptance.js';
import type {Cell} from './cell.js';

interface Waiter {
  readonly revision: number;
  readonly end: (isAccepted: boolean) => void;
  acceptance: Acceptance | undefined;
}

/** What the instance knows of itself when acceptance is judged. */
export interface OwnPart {
  readonly revision: number;
  readonly voting: boolean;
  readonly settled: boolean;
}

/** Keeps those who wait for acceptance, and the newest accepted revision. */
export class AcceptanceTracker {
  private acceptedRevision = 0;
  private readonly waiters = new Set<Waiter>();

  constructor(private readonly cell: Cell) {}

  /** Whether somebody waits. */
  get hasWaiters(): boolean {
    return this.waiters.size > 0;
  }

  /** Waits for a revision; resolves with false when the signal fires. */
  wait(revision: number, signal: AbortSignal): Promise<boolean> {
    if (revision <= this.acceptedRevision) return Promise.resolve(true);
    if (signal.aborted) return Promise.resolve(false);
    return new Promise(resolve => {
      const end = (isAccepted: boolean) => {
        this.waiters.delete(waiter);
        signal.removeEventListener('abort', giveUp);
        resolve(isAccepted);
      };
      const giveUp = () => end(false);
      const waiter: Waiter = {revision, acceptance: undefined, end};
      this.waiters.add(waiter);
      signal.addEventListener('abort', giveUp, {once: true});
    });
  }

  /** Judges anew; to be called when a peer's standing or the time changed. */
  update(own: OwnPart, now: number): void {
    this.waiters.forEach(waiter => this.judge(waiter, own, now));
  }

  private judge(waiter: Waiter, own: OwnPart, now: number): void {
    const {revision} = waiter;
    if (revision > this.acceptedRevision && own.revision < revision) return;
    waiter.acceptance ??= new Acceptance(revision, this.cell, now);
    const isKnown = revision <= this.acceptedRevision;
    if (!isKnown && waiter.acceptance.update(own, now).kind !== 'accepted') {
      return;
    }
    this.acceptedRevision = Math.max(this.acceptedRevision, revision);
    waiter.end(true);
  }
}
