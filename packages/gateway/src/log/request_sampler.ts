/**
 * Selects the requests that are logged under high load. The choice is made by a
 * hash of the request id, so either all lines of a request are written or none,
 * at every instance.
 */
import {createHash} from 'node:crypto';

const SECOND_MS = 1_000;
/** Number of values of the 32-bit hash that decides. */
const HASH_RANGE = 2 ** 32;

/** Samples a share of the requests that depends on the count of the previous second. */
export class RequestSampler {
  private second = -1;
  private requestsThisSecond = 0;
  private share = 1;

  /** @param perSecond Approximate limit on the sampled requests per second. */
  constructor(private readonly perSecond: number) {}

  /** Counts a request; returns whether it is sampled. */
  sample(id: string, now: number): boolean {
    const second = Math.floor(now / SECOND_MS);
    if (second !== this.second) {
      const previous = second === this.second + 1 ? this.requestsThisSecond : 0;
      this.share = Math.min(1, this.perSecond / Math.max(1, previous));
      this.second = second;
      this.requestsThisSecond = 0;
    }
    this.requestsThisSecond += 1;
    return this.share === 1 || hashOf(id) < this.share * HASH_RANGE;
  }
}

function hashOf(id: string): number {
  return createHash('sha1').update(id).digest().readUInt32BE();
}
