/**
 * The members' shares of one instance's capacity: calls in flight, bytes that
 * these hold in memory, and retries. A part of the capacity is split into
 * shares, and the unused part of a share stays reserved for its member. All
 * members compete for the rest, so that none pushes another below its share.
 */
import {RefusalReason, type Refused} from '../link/call.js';
import {refusedNotRun} from '../request_key/request_ledger.js';

/** Capacity of an instance for simultaneous calls. */
export interface InstanceCapacity {
  readonly calls: number;
  /** Total size of the bodies of calls that have not ended. */
  readonly bytes: number;
}

/** Permission to hold a call; disposal releases its capacity. */
export interface Grant extends Disposable {
  readonly kind: 'granted';
}

/** Fraction of the capacity that is split into the members' shares. */
const RESERVED_FRACTION = 0.5;
/** Retry delay told to callers whose member's share is spent, milliseconds. */
const RETRY_AFTER_MS = 200;
/** Maximum number of retries that a member can accumulate. */
const MAX_SAVED_RETRIES = 20;
/** Time after which a member gains a retry, milliseconds. */
const RETRY_REFILL_MS = 100;

/** Capacity and retries used by one member. */
interface Usage {
  calls: number;
  bytes: number;
  /** Retries left, as of `refilledAt`. */
  retries: number;
  refilledAt: number;
}

/** Admits calls and retries of the members of one instance. */
export class MemberShares {
  private readonly usages = new Map<string, Usage>();
  private usedCalls = 0;
  private usedBytes = 0;
  /** Calls and bytes in use that fall within the members' shares. */
  private callsWithinShares = 0;
  private bytesWithinShares = 0;

  constructor(
    private readonly capacity: InstanceCapacity,
    members: readonly string[] = [],
  ) {
    members.forEach(member => this.usageOf(member, 0));
  }

  /** Sets the members that have services; others are dropped once idle. */
  reconfigure(members: ReadonlySet<string>, now: number): void {
    members.forEach(member => this.usageOf(member, now));
    [...this.usages]
      .filter(([member, usage]) => !members.has(member) && usage.calls === 0)
      .forEach(([member]) => this.usages.delete(member));
    this.recountWithinShares();
  }

  /** Number of calls of a member that have not ended. */
  callsOf(member: string): number {
    return this.usages.get(member)?.calls ?? 0;
  }

  /** Admits a call of a member with a body of this size, or refuses it. */
  admit(member: string, bytes: number, now: number): Grant | Refused {
    const usage = this.usageOf(member, now);
    if (!this.hasRoomForCall(usage) || !this.hasRoomForBytes(usage, bytes)) {
      return refusedNotRun(RefusalReason.MemberShareSpent, RETRY_AFTER_MS);
    }
    this.adjust(usage, 1, bytes);
    let isHeld = true;
    const release = () => {
      if (isHeld) this.adjust(usage, -1, -bytes);
      isHeld = false;
    };
    return {kind: 'granted', [Symbol.dispose]: release};
  }

  /** Spends a retry of a member; false if it has none left. */
  tryRetry(member: string, now: number): boolean {
    const usage = this.usageOf(member, now);
    const refilled = Math.max(0, now - usage.refilledAt) / RETRY_REFILL_MS;
    usage.retries = Math.min(MAX_SAVED_RETRIES, usage.retries + refilled);
    usage.refilledAt = now;
    if (usage.retries < 1) return false;
    usage.retries -= 1;
    return true;
  }

  private get shareCalls(): number {
    return Math.floor(
      (RESERVED_FRACTION * this.capacity.calls) / this.usages.size,
    );
  }

  private get shareBytes(): number {
    return Math.floor(
      (RESERVED_FRACTION * this.capacity.bytes) / this.usages.size,
    );
  }

  private hasRoomForCall(usage: Usage): boolean {
    if (usage.calls < this.shareCalls) return true;
    // The unused part of every share stays reserved for its member.
    const reserved =
      this.shareCalls * this.usages.size - this.callsWithinShares;
    return this.usedCalls + reserved < this.capacity.calls;
  }

  private hasRoomForBytes(usage: Usage, bytes: number): boolean {
    if (usage.bytes + bytes <= this.shareBytes) return true;
    // The rest of its own share is not reserved against the member itself.
    const ownUnused = Math.max(0, this.shareBytes - usage.bytes);
    const reserved =
      this.shareBytes * this.usages.size - this.bytesWithinShares - ownUnused;
    return this.usedBytes + bytes + reserved <= this.capacity.bytes;
  }

  private adjust(usage: Usage, calls: number, bytes: number): void {
    this.callsWithinShares -= Math.min(usage.calls, this.shareCalls);
    this.bytesWithinShares -= Math.min(usage.bytes, this.shareBytes);
    usage.calls += calls;
    usage.bytes += bytes;
    this.usedCalls += calls;
    this.usedBytes += bytes;
    this.callsWithinShares += Math.min(usage.calls, this.shareCalls);
    this.bytesWithinShares += Math.min(usage.bytes, this.shareBytes);
  }

  private usageOf(member: string, now: number): Usage {
    const known = this.usages.get(member);
    if (known) return known;
    const usage = {
      calls: 0,
      bytes: 0,
      retries: MAX_SAVED_RETRIES,
      refilledAt: now,
    };
    this.usages.set(member, usage);
    this.recountWithinShares();
    return usage;
  }

  // The size of a share depends on the number of members, which changes with
  // the configuration.
  private recountWithinShares(): void {
    const usages = [...this.usages.values()];
    this.callsWithinShares = usages
      .map(usage => Math.min(usage.calls, this.shareCalls))
      .reduce((sum, calls) => sum + calls, 0);
    this.bytesWithinShares = usages
      .map(usage => Math.min(usage.bytes, this.shareBytes))
      .reduce((sum, bytes) => sum + bytes, 0);
  }
}
