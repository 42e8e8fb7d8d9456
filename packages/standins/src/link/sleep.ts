/** A delay that can be aborted. */

/**
 * Waits until the time has passed or the signal is aborted.
 *
 * @param ms Delay in milliseconds.
 * @returns True after the full delay, false if the signal was aborted first.
 */
export function sleep(ms: number, signal: AbortSignal): Promise<boolean> {
  if (signal.aborted) return Promise.resolve(false);
  return new Promise(resolve => {
    const onAbort = (): void => {
      clearTimeout(timer);
      resolve(false);
    };
    const timer = setTimeout(() => {
      signal.removeEventListener('abort', onAbort);
      resolve(true);
    }, ms);
    signal.addEventListener('abort', onAbort, {once: true});
  });
}
