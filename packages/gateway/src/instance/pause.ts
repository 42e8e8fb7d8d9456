/** Abortable pauses of background tasks. */
import {setTimeout as delay} from 'node:timers/promises';

/** Waits for `ms`, or until the signal is aborted. */
export async function pause(ms: number, signal: AbortSignal): Promise<void> {
  // Rejects only if the signal is aborted, which the calling loop checks itself.
  await delay(ms, undefined, {signal}).catch(() => undefined);
}

/** A pause that can be ended early. */
export class WakeablePause {
  /** Ends the current pause. */
  wake: () => void = () => undefined;

  /** Waits for `ms`, or until `wake` is called or the signal is aborted. */
  async wait(ms: number, signal: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      const end = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, ms);
      signal.addEventListener('abort', end);
      this.wake = end;
    });
  }
}
