/** A log of the actions taken in a run and their times. */

/** One action, such as the start or end of a fault. */
export interface LoggedEvent {
  /** On the callers' clock, milliseconds. */
  readonly at: number;
  readonly text: string;
}

/** Events in chronological order. */
export class EventLog {
  readonly events: LoggedEvent[] = [];

  /** Appends an event that happened now. */
  add(text: string): void {
    this.events.push({at: performance.now(), text});
  }

  /** Returns the events of an interval; bounds inclusive, milliseconds. */
  between(from: number, to: number): readonly LoggedEvent[] {
    return this.events.filter(({at}) => at >= from && at <= to);
  }
}
