/** Pauses of tasks. */
import {setTimeout as delay} from 'node:timers/promises';

/** Waits; ends early when the signal comes. */
export async function pause(ms: number, signal: AbortSignal): Promise<void> {
  // Rejects only when the signal ends the task, which its loop looks at.
  await delay(ms, undefined, {signal}).catch(() => undefined);
}

/** A pause that others may end. */
export class Rest {
  /** Ends the present pause. */
  wake: () => void = () => undefined;

  /** Waits until somebody wakes the task, the signal comes or time is over. */
  async take(ms: number, signal: AbortSignal): Promise<void> {
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
