/** The calls of one rank that wait at a service, by deadline. */
import TinyQueue from 'tinyqueue';
import type {WaitingCall} from './waiting_call.js';

/** Settled entries that may stay before the queue is rebuilt without them. */
const MAX_SETTLED = 64;
/** Entries that an estimate of the calls ahead looks at. */
const SAMPLE_SIZE = 16;

/** Waiting calls; settled ones are never returned nor counted. */
export class RankQueue {
  private heap = new TinyQueue<WaitingCall>([], byDeadline);
  private settled = 0;

  /** Calls that wait. */
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

  /** Takes out the call with the earliest deadline. */
  shift(): WaitingCall | undefined {
    return this.peek() && this.heap.pop();
  }

  /** Takes note that an entry was settled while it is in the queue. */
  onSettled(): void {
    this.settled += 1;
    if (this.settled <= MAX_SETTLED || this.settled < this.length) return;
    // Each rebuild is paid for by as many settled entries: O(1) for each.
    const live = this.heap.data.filter(waiting => !waiting.settled);
    this.heap = new TinyQueue(live, byDeadline);
    this.settled = 0;
  }

  /** Estimates the calls whose deadlines come before `deadline`, in O(1). */
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
