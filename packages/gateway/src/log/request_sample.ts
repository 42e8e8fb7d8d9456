/**
 * Which requests are logged while there are too many: chosen by their ids, so
 * that all lines of a request are there or none, at every instance.
 */
import {createHash} from 'node:crypto';

const SECOND_MS = 1_000;
/** Largest value of the part of a hash that decides, plus one. */
const HASHES = 2 ** 32;

/** A share of the requests, by how many there were in the second before. */
export class RequestSample {
  private second = -1;
  private requests = 0;
  private share = 1;

  /** @param perSecond Requests in a second that are logged at most. */
  constructor(private readonly perSecond: number) {}

  /** Counts a request; returns whether its lines are written. */
  takes(id: string, now: number): boolean {
    const second = Math.floor(now / SECOND_MS);
    if (second !== this.second) {
      const before = second === this.second + 1 ? this.requests : 0;
      this.share = Math.min(1, this.perSecond / Math.max(1, before));
      this.second = second;
      this.requests = 0;
    }
    this.requests += 1;
    return this.share === 1 || hashOf(id) < this.share * HASHES;
  }
}

function hashOf(id: string): number {
  return createHash('sha1').update(id).digest().readUInt32BE();
}
