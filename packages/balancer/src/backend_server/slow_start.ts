/** Limits the available slots of a backend server that has just started. */

/** Time until all slots are available, milliseconds. */
const RAMP_UP_MS = 2_000;

/** Number of slots that are available while a server warms up. */
export class SlowStart {
  private startedAt = -Infinity;

  /** Starts the ramp-up from the beginning. */
  restart(now: number): void {
    this.startedAt = now;
  }

  /** Returns the available slots: at least one, and all after the ramp-up. */
  openSlots(slots: number, now: number): number {
    const elapsedMs = now - this.startedAt;
    if (elapsedMs >= RAMP_UP_MS) return slots;
    return Math.max(1, Math.floor((slots * elapsedMs) / RAMP_UP_MS));
  }

  /** Returns when the next slot opens; Infinity if all are open. */
  nextSlotAt(slots: number, now: number): number {
    const open = this.openSlots(slots, now);
    if (open >= slots) return Infinity;
    return this.startedAt + (RAMP_UP_MS * (open + 1)) / slots;
  }
}
