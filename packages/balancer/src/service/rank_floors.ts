/**
 * Guarantees each rank a minimum share of a service's slots (its floor), with
 * credit-based scheduling. A rank accrues credit in slot-milliseconds while it
 * has waiting calls and is charged for each dispatch. A rank with enough credit
 * for a call is served before more urgent ranks.
 */
import {type Floors, Rank, RANKS} from '@ragworthall/contracts';

/**
 * Maximum credit of a rank, in calls. It bounds how long urgent work can be
 * delayed.
 */
const MAX_CREDIT_CALLS = 2;

/** Returns the share of the slots that is guaranteed to a rank. */
export function floorOf(floors: Floors, rank: Rank): number {
  switch (rank) {
    case Rank.Urgent:
      return floors.urgent;
    case Rank.Live:
      return floors.live;
    case Rank.Bulk:
      return floors.bulk;
    default:
      throw new Error(`unexpected rank: ${rank satisfies never}`);
  }
}

/** Credits of all ranks of one service. */
export class RankFloors {
  private floors: Floors;
  /**
   * Slot-milliseconds by rank; a plain array because each dispatch reads it.
   */
  private readonly credit = [0, 0, 0, 0];
  private accruedAt: number | undefined;

  constructor(floors: Floors) {
    this.floors = floors;
  }

  /** Applies changed floors. */
  reconfigure(floors: Floors): void {
    this.floors = floors;
  }

  /**
   * Adds the credit that ranks with waiting calls have accrued since the last
   * invocation. `callMs` is the mean duration of a call, `slots` the number of
   * all slots, in use or free.
   */
  accrue(
    now: number,
    slots: number,
    callMs: number,
    hasWaiting: (rank: Rank) => boolean,
  ): void {
    const elapsedMs = Math.max(0, now - (this.accruedAt ?? now));
    this.accruedAt = now;
    RANKS.forEach(rank => {
      if (!hasWaiting(rank)) return;
      const accrued = floorOf(this.floors, rank) * slots * elapsedMs;
      const limit = MAX_CREDIT_CALLS * callMs;
      this.credit[rank] = Math.min(limit, this.credit[rank]! + accrued);
    });
  }

  /** Whether the rank has a floor and enough credit for a call of `callMs`. */
  covers(rank: Rank, callMs: number): boolean {
    return floorOf(this.floors, rank) > 0 && this.credit[rank]! >= callMs;
  }

  /** Charges a rank for a dispatched call of `callMs`. */
  charge(rank: Rank, callMs: number): void {
    this.credit[rank] = Math.max(0, this.credit[rank]! - callMs);
  }
}
