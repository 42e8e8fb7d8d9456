/**
 * The shares of the members in one instance: calls in flight, bytes that they
 * hold in memory, and retries. A part of the capacity is split into shares,
 * and what a member does not use of its own stays free for it. All members use
 * the rest as it comes, so that none pushes another below its share.
 */
import {RefusalReason, type Refused} from '../link/call.js';
import {refusedNotRun} from '../request_key/request_ledger.js';

/** What an instance can hold at the same time. */
export interface InstanceCapacity {
  readonly calls: number;
  /** Bytes of the bodies of calls that have not ended. */
  readonly bytes: number;
}

/** Leave to hold a call; disposal gives its part back. */
export interface Grant extends Disposable {
  readonly kind: 'granted';
}

/** Part of the capacity that is split into the members' shares. */
const RESERVED = 0.5;
/** Wait that a caller is told when its member's share is spent, milliseconds. */
const RETRY_WHEN_SPENT_MS = 200;
/** Retries that a member may save up. */
const MAX_RETRIES = 20;
/** Time that one saved retry takes to grow, milliseconds. */
const RETRY_GROWTH_MS = 100;

/** What one member uses. */
interface Use {
  calls: number;
  bytes: number;
  retries: number;
  retriesAt: number;
}

/** The members of one instance. */
export class MemberShares {
  private readonly uses = new Map<string, Use>();
  private usedCalls = 0;
  private usedBytes = 0;
  /** Calls and bytes that members use of their own shares. */
  private ownCalls = 0;
  private ownBytes = 0;

  constructor(
    private readonly capacity: InstanceCapacity,
    members: readonly string[] = [],
  ) {
    members.forEach(member => this.useOf(member, 0));
  }

  /** Takes over the members that have services; others end with their calls. */
  reconfigure(members: ReadonlySet<string>, now: number): void {
    members.forEach(member => this.useOf(member, now));
    [...this.uses]
      .filter(([member, use]) => !members.has(member) && use.calls === 0)
      .forEach(([member]) => this.uses.delete(member));
    this.recount();
  }

  /** Calls of a member that have not ended. */
  callsOf(member: string): number {
    return this.uses.get(member)?.calls ?? 0;
  }

  /** Whether a member may hold one more call with this many bytes. */
  admit(member: string, bytes: number, now: number): Grant | Refused {
    const use = this.useOf(member, now);
    if (!this.hasCall(use) || !this.hasBytes(use, bytes)) {
      return refusedNotRun(RefusalReason.MemberShareSpent, RETRY_WHEN_SPENT_MS);
    }
    this.add(use, 1, bytes);
    let held = true;
    const giveBack = () => {
      if (held) this.add(use, -1, -bytes);
      held = false;
    };
    return {kind: 'granted', [Symbol.dispose]: giveBack};
  }

  /** Spends a retry of a member; false if it has none left. */
  tryRetry(member: string, now: number): boolean {
    const use = this.useOf(member, now);
    const grown = Math.max(0, now - use.retriesAt) / RETRY_GROWTH_MS;
    use.retries = Math.min(MAX_RETRIES, use.retries + grown);
    use.retriesAt = now;
    if (use.retries < 1) return false;
    use.retries -= 1;
    return true;
  }

  private get shareCalls(): number {
    return Math.floor((RESERVED * this.capacity.calls) / this.uses.size);
  }

  private get shareBytes(): number {
    return Math.floor((RESERVED * this.capacity.bytes) / this.uses.size);
  }

  private hasCall(use: Use): boolean {
    if (use.calls < this.shareCalls) return true;
    // What is reserved is each member's share that it does not use now.
    const reserved = this.shareCalls * this.uses.size - this.ownCalls;
    return this.usedCalls + reserved < this.capacity.calls;
  }

  private hasBytes(use: Use, bytes: number): boolean {
    if (use.bytes + bytes <= this.shareBytes) return true;
    const ownAfter = Math.max(0, this.shareBytes - use.bytes);
    const reserved =
      this.shareBytes * this.uses.size - this.ownBytes - ownAfter;
    return this.usedBytes + bytes + reserved <= this.capacity.bytes;
  }

  private add(use: Use, calls: number, bytes: number): void {
    this.ownCalls -= Math.min(use.calls, this.shareCalls);
    this.ownBytes -= Math.min(use.bytes, this.shareBytes);
    use.calls += calls;
    use.bytes += bytes;
    this.usedCalls += calls;
    this.usedBytes += bytes;
    this.ownCalls += Math.min(use.calls, this.shareCalls);
    this.ownBytes += Math.min(use.bytes, this.shareBytes);
  }

  private useOf(member: string, now: number): Use {
    const known = this.uses.get(member);
    if (known) return known;
    const use = {calls: 0, bytes: 0, retries: MAX_RETRIES, retriesAt: now};
    this.uses.set(member, use);
    this.recount();
    return use;
  }

  // The shares follow the number of members; they change with configuration.
  private recount(): void {
    const uses = [...this.uses.values()];
    this.ownCalls = uses
      .map(use => Math.min(use.calls, this.shareCalls))
      .reduce((sum, calls) => sum + calls, 0);
    this.ownBytes = uses
      .map(use => Math.min(use.bytes, this.shareBytes))
      .reduce((sum, bytes) => sum + bytes, 0);
  }
}
