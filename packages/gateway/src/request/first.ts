/** What ends first of several things that are waited for. */
import {setTimeout as delay} from 'node:timers/promises';

/** Resolves with what ends first: a promise, or a time as undefined. */
export async function sooner<T>(
  pending: Promise<T>,
  ms: number,
): Promise<T | undefined> {
  const over = new AbortController();
  const timer = delay(ms, undefined, {signal: over.signal}).catch(
    () => undefined,
  );
  const first = await Promise.race([pending, timer]);
  over.abort();
  return first;
}

/** Resolves with the first defined value; undefined when there is none. */
export async function firstDefined<T>(
  pending: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise(resolve => {
    let open = pending.length;
    pending.forEach(one => {
      void one.then(value => {
        open -= 1;
        if (value !== undefined || open === 0) resolve(value);
      });
    });
  });
}
