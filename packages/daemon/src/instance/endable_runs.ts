/** Runs of calls that go on when their callers disconnect, until a stop ends them. */
import {NEVER_ABORTED, offAbort, onAbort} from '@ragworthall/balancer';

/** One run; disposal removes it. */
export interface EndableRun extends Disposable {
  /** Aborted when no time is left for the run. */
  readonly signal: AbortSignal;
}

/** The runs in flight that a stop can end. */
export class EndableRuns {
  private readonly controllers = new Set<AbortController>();

  /** @param signal Also ends the run when it is aborted. */
  open(signal: AbortSignal = NEVER_ABORTED): EndableRun {
    const controller = new AbortController();
    const onAborted = () => controller.abort();
    this.controllers.add(controller);
    onAbort(signal, onAborted);
    return {
      signal: controller.signal,
      [Symbol.dispose]: () => {
        offAbort(signal, onAborted);
        this.controllers.delete(controller);
      },
    };
  }

  endAll(): void {
    this.controllers.forEach(controller => controller.abort());
  }
}
