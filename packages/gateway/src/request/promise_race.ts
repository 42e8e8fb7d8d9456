/** Helpers that wait for the first of several promises. */
import {setTimeout as delay} from 'node:timers/promises';

/** Resolves with the value of `pending`, or with undefined after `ms`. */
export async function orTimeout<T>(
  pending: Promise<T>,
  ms: number,
): Promise<T | undefined> {
  const timerAbort = new AbortController();
  const timer = delay(ms, undefined, {signal: timerAbort.signal}).catch(
    () => undefined,
  );
  const first = await Promise.race([pending, timer]);
  timerAbort.abort();
  return first;
}

/** Resolves with the first defined value, or with undefined if there is none. */
export async function firstDefined<T>(
  pending: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise(resolve => {
    let open = pending.length;
    pending.forEach(promise => {
      void promise.then(value => {
        open -= 1;
        if (value !== undefined || open === 0) resolve(value);
      });
    });
  });
}
