/** Helpers for abort signals. */

/**
 * A signal that is never aborted, for work that continues when its caller
 * disconnects. Any number of calls may share it, because no listeners are added
 * to it; adding and removing listeners of an ordinary signal takes time linear
 * in their number.
 */
export const NEVER_ABORTED: AbortSignal = new AbortController().signal;

/** Adds a listener that is called when `signal` is aborted. */
export function onAbort(signal: AbortSignal, listener: () => void): void {
  if (signal !== NEVER_ABORTED) signal.addEventListener('abort', listener);
}

/** Removes a listener added by {@link onAbort}. */
export function offAbort(signal: AbortSignal, listener: () => void): void {
  if (signal !== NEVER_ABORTED) signal.removeEventListener('abort', listener);
}
