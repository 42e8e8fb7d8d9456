/** Priority queue of the waiting calls of one rank, ordered by deadline. */
import TinyQueue from 'tinyqueue';
import type {WaitingCall} from './waiting_call.js';

/**
 * Number of settled entries that the heap may hold before it is rebuilt without
 * them.
 */
const MAX_SETTLED = 64;
/** Number of entries sampled to estimate the calls ahead. */
const SAMPLE_SIZE = 16;

/**
 * Waiting calls. Settled ones may remain in the heap but are never returned or
 * counted.
 */
export class RankQueue {
  private heap = new TinyQueue<WaitingCall>([], byDeadline);
  private settled = 0;

  /** Number of waiting calls. */
  get length(): number {
    return this.heap.length - this.settled;
  }

  /** Adds a call. */
  push(waiting: WaitingCall): void {
    this.heap.push(waiting);
  }

  /** Returns the call with the earliest deadline. */
  peek(): WaitingCall | undefined {
    let head = this.heap.peek();
    while (head?.settled) {
      this.heap.pop();
      this.settled -= 1;
      head = this.heap.peek();
    }
    return head;
  }

  /** Removes and returns the call with the earliest deadline. */
  shift(): WaitingCall | undefined {
    return this.peek() && this.heap.pop();
  }

  /** Must be called when a call in the queue was settled. */
  onSettled(): void {
    this.settled += 1;
    if (this.settled <= MAX_SETTLED || this.settled < this.length) return;
    // A rebuild follows at least as many settled entries: O(1) amortized.
    const live = this.heap.data.filter(waiting => !waiting.settled);
    this.heap = new TinyQueue(live, byDeadline);
    this.settled = 0;
  }

  /**
   * Estimates in O(1) how many waiting calls have a deadline up to `deadline`.
   */
  aheadOf(deadline: number): number {
    const {data} = this.heap;
    const {length} = data;
    if (length === 0) return 0;
    const sampled = Math.min(length, SAMPLE_SIZE);
    let ahead = 0;
    for (let i = 0; i < sampled; i++) {
      const entry = data[Math.floor((i * length) / sampled)]!;
      if (!entry.settled && entry.call.deadline <= deadline) ahead += 1;
    }
    return (ahead * length) / sampled;
  }
}

function byDeadline(a: WaitingCall, b: WaitingCall): number {
  return a.call.deadline - b.call.deadline;
}
