/** Source of the current time; pure functions take the time as an argument. */

/** Monotonic clock, in milliseconds. */
export interface Clock {
  now(): number;
}
