/**
 * The attempts of a call that race. Each can be cancelled without the other,
 * and both are when their caller leaves.
 */

import {offAbort, onAbort} from '../link/abort.js';

/** Why a loser is cancelled. Made once: an abort would make its own each time. */
const LOST_RACE = new Error('another attempt answered first');
/** Legs that are kept for use. */
const MAX_IDLE = 256;

/** One of the attempts; disposal cancels it if it still runs. */
export class AttemptCancellation implements Disposable {
  private readonly controller = new AbortController();
  private caller: AbortSignal | undefined;
  private ended = false;
  private readonly onAbort = () => this.controller.abort(LOST_RACE);

  constructor(private readonly onFree: (leg: AttemptCancellation) => void) {}

  /** Comes when the attempt is to be cancelled. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Begins an attempt for a caller. */
  begin(caller: AbortSignal): void {
    this.caller = caller;
    this.ended = false;
    if (caller.aborted) this.onAbort();
    else onAbort(caller, this.onAbort);
  }

  /** Takes in that the attempt has ended: there is nothing to cancel. */
  end(): void {
    this.ended = true;
  }

  [Symbol.dispose](): void {
    if (this.caller) offAbort(this.caller, this.onAbort);
    this.caller = undefined;
    if (!this.ended) this.onAbort();
    if (!this.signal.aborted) this.onFree(this);
  }
}

/**
 * Legs that are used again: creating a signal costs several times what the
 * rest of a decision does, and few are ever aborted.
 */
export class AttemptCancellationPool {
  private readonly idle: AttemptCancellation[] = [];
  private readonly recycle = (leg: AttemptCancellation): void => {
    if (this.idle.length < MAX_IDLE) this.idle.push(leg);
  };

  /** Returns a leg that has begun. */
  take(caller: AbortSignal): AttemptCancellation {
    const leg = this.idle.pop() ?? new AttemptCancellation(this.recycle);
    leg.begin(caller);
    return leg;
  }
}
