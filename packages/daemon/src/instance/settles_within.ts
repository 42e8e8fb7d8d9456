/** Waits with a time limit. */

/** Returns whether a promise settles within a time, milliseconds. Never rejects. */
export function settlesWithin(
  promise: Promise<unknown>,
  ms: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(false), ms);
    const onSettled = () => {
      clearTimeout(timer);
      resolve(true);
    };
    promise.then(onSettled, onSettled);
  });
}
