/** The waiting calls of a service, with one queue per rank. */
import {type Rank, RANKS} from '@ragworthall/contracts';
import {RankQueue} from './rank_queue.js';
import type {Placement} from './waiting_call.js';

/** The queues of a service, indexed by rank. */
export class RankQueues {
  /** Index 0 is unused: ranks start at 1. */
  private readonly queues = [new RankQueue(), ...RANKS.map(newQueue)];

  /** Returns the queue of a rank. */
  of(rank: Rank): RankQueue {
    return this.queues[rank]!;
  }

  /** Number of waiting calls of all ranks. */
  get length(): number {
    // Unrolled: this is read several times per call.
    const [, urgent, live, bulk] = this.queues;
    return urgent!.length + live!.length + bulk!.length;
  }

  /** Number of waiting calls of `rank` and of all more urgent ranks. */
  lengthUpTo(rank: Rank): number {
    // A plain loop for speed: this runs for each call that has waited.
    let length = 0;
    for (let i = 1; i <= rank; i++) length += this.queues[i]!.length;
    return length;
  }

  /** Earliest deadline of all waiting calls; Infinity if there are none. */
  get earliestDeadline(): number {
    return Math.min(
      ...RANKS.map(rank => this.of(rank).peek()?.call.deadline ?? Infinity),
    );
  }

  /** Settles all waiting calls with `placement`. */
  refuseAll(placement: Placement): void {
    this.queues.forEach(queue => {
      let head = queue.shift();
      while (head) {
        head.settle(placement);
        head = queue.shift();
      }
    });
  }
}

function newQueue(): RankQueue {
  return new RankQueue();
}
