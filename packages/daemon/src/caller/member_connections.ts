/**
 * Counts the open connections of each member. A connection counts towards the
 * member whose service it called last. While a member is over its share, each
 * of its connections is closed after its next answer, to make room for others.
 */
import type {MemberShare} from './caller_handler.js';

/** Group of all members without a share of their own. */
const OTHERS = '';

/** Compares the members' open connections with their shares. */
export class MemberConnections {
  private readonly limits: ReadonlyMap<string, number>;
  private readonly counts = new Map<string, number>();

  constructor(connections: number, shares: readonly MemberShare[]) {
    const shareSum = shares.reduce((sum, {share}) => sum + share, 0);
    this.limits = new Map([
      ...shares.map(({member, share}): [string, number] => [
        member,
        Math.floor(connections * share),
      ]),
      [OTHERS, Math.floor(connections * Math.max(0, 1 - shareSum))],
    ]);
  }

  /** Counts a connection towards `member` instead of `previous`. */
  move(previous: string | undefined, member: string): void {
    if (previous === member) return;
    if (previous !== undefined) this.remove(previous);
    const group = this.groupOf(member);
    this.counts.set(group, this.countOf(group) + 1);
  }

  /** Subtracts a closed connection of `member`. */
  remove(member: string): void {
    const group = this.groupOf(member);
    this.counts.set(group, this.countOf(group) - 1);
  }

  /** Whether a member's connections can stay open between requests. */
  mayKeepOpen(member: string): boolean {
    const group = this.groupOf(member);
    return this.countOf(group) <= this.limits.get(group)!;
  }

  private groupOf(member: string): string {
    return this.limits.has(member) ? member : OTHERS;
  }

  private countOf(group: string): number {
    return this.counts.get(group) ?? 0;
  }
}
