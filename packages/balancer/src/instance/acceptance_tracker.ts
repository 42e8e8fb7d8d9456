/** Waits until revisions are in force wherever requests are served. */
import {Acceptance} from './acceptance.js';
import type {Cell} from './cell.js';

/** A pending wait for the acceptance of a revision. */
interface Waiter {
  readonly revision: number;
  readonly settle: (isAccepted: boolean) => void;
  acceptance: Acceptance | undefined;
}

/** This instance's own contribution to the acceptance of a revision. */
export interface OwnVote {
  readonly revision: number;
  readonly voting: boolean;
  readonly settled: boolean;
}

/** Tracks the newest accepted revision and notifies those who wait for one. */
export class AcceptanceTracker {
  private acceptedRevision = 0;
  private readonly waiters = new Set<Waiter>();

  constructor(private readonly cell: Cell) {}

  /** Whether anyone waits for a revision to be accepted. */
  get hasWaiters(): boolean {
    return this.waiters.size > 0;
  }

  /** Resolves with true once a revision is accepted, with false on abort. */
  wait(revision: number, signal: AbortSignal): Promise<boolean> {
    if (revision <= this.acceptedRevision) return Promise.resolve(true);
    if (signal.aborted) return Promise.resolve(false);
    return new Promise(resolve => {
      const settle = (isAccepted: boolean) => {
        this.waiters.delete(waiter);
        signal.removeEventListener('abort', onAbort);
        resolve(isAccepted);
      };
      const onAbort = () => settle(false);
      const waiter: Waiter = {revision, acceptance: undefined, settle};
      this.waiters.add(waiter);
      signal.addEventListener('abort', onAbort, {once: true});
    });
  }

  /** Re-evaluates all waiters; call it when a peer's status or time changes. */
  update(own: OwnVote, now: number): void {
    this.waiters.forEach(waiter => this.evaluate(waiter, own, now));
  }

  private evaluate(waiter: Waiter, own: OwnVote, now: number): void {
    const {revision} = waiter;
    if (revision > this.acceptedRevision && own.revision < revision) return;
    waiter.acceptance ??= new Acceptance(revision, this.cell, now);
    const isKnown = revision <= this.acceptedRevision;
    if (!isKnown && waiter.acceptance.update(own, now).kind !== 'accepted') {
      return;
    }
    this.acceptedRevision = Math.max(this.acceptedRevision, revision);
    waiter.settle(true);
  }
}
