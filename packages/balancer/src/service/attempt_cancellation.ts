/**
 * Cancels the attempts of a hedged call. Each attempt can be cancelled on its
 * own, and all of them are cancelled when the caller disconnects.
 */

import {offAbort, onAbort} from '../link/abort.js';

/**
 * Abort reason of every cancelled attempt. Shared, because `abort()` without a
 * reason creates a new error each time.
 */
const CANCEL_REASON = new Error('another attempt answered first');
/** Maximum number of unused objects in the pool. */
const MAX_IDLE = 256;

/**
 * Cancellation of one attempt. Disposal cancels the attempt if it is still
 * running.
 */
export class AttemptCancellation implements Disposable {
  private readonly controller = new AbortController();
  private caller: AbortSignal | undefined;
  private ended = false;
  private readonly onAbort = () => this.controller.abort(CANCEL_REASON);

  constructor(
    private readonly onFree: (cancellation: AttemptCancellation) => void,
  ) {}

  /** Aborted when the attempt is cancelled. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Starts tracking an attempt for the caller with this signal. */
  begin(caller: AbortSignal): void {
    this.caller = caller;
    this.ended = false;
    if (caller.aborted) this.onAbort();
    else onAbort(caller, this.onAbort);
  }

  /** Records that the attempt has ended and need not be cancelled. */
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
 * Reuses cancellation objects whose signal was not aborted. Creating an abort
 * signal costs several times as much as the rest of a dispatch decision, and
 * few are ever aborted.
 */
export class AttemptCancellationPool {
  private readonly idle: AttemptCancellation[] = [];
  private readonly recycle = (cancellation: AttemptCancellation): void => {
    if (this.idle.length < MAX_IDLE) this.idle.push(cancellation);
  };

  /** Returns a cancellation that has begun for this caller. */
  take(caller: AbortSignal): AttemptCancellation {
    const cancellation =
      this.idle.pop() ?? new AttemptCancellation(this.recycle);
    cancellation.begin(caller);
    return cancellation;
  }
}
