/**
 * The shares of a service's slots that are kept for each rank. A rank earns
 * credit in slot-milliseconds while it has waiting calls and pays with each
 * dispatch; a rank that can pay for a call goes before more urgent ones.
 */
import {type Floors, Rank, RANKS} from '@ragworthall/contracts';

/** Most credit of a rank, in calls: what may delay urgent work at once. */
const MAX_CREDIT_CALLS = 2;

/** Returns the share of the slots that is kept for a rank. */
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

/** Credits of the ranks of one service. */
export class RankFloors {
  private floors: Floors;
  /** Slot-milliseconds by rank; a plain array, as each dispatch reads it. */
  private readonly credit = [0, 0, 0, 0];
  private accruedAt: number | undefined;

  constructor(floors: Floors) {
    this.floors = floors;
  }

  /** Takes over changed shares. */
  reconfigure(floors: Floors): void {
    this.floors = floors;
  }

  /**
   * Adds what the ranks with waiting calls earned since the last call.
   * `callMs` is the mean time of a call, `slots` the slots in use or free.
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
      const earned = floorOf(this.floors, rank) * slots * elapsedMs;
      const limit = MAX_CREDIT_CALLS * callMs;
      this.credit[rank] = Math.min(limit, this.credit[rank]! + earned);
    });
  }

  /** Whether the rank's credit pays for a call of `callMs`. */
  hasCreditFor(rank: Rank, callMs: number): boolean {
    return floorOf(this.floors, rank) > 0 && this.credit[rank]! >= callMs;
  }

  /** Charges a rank for a dispatched call. */
  charge(rank: Rank, callMs: number): void {
    this.credit[rank] = Math.max(0, this.credit[rank]! - callMs);
  }
}
