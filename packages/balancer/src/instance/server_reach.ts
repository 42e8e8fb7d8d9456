/**
 * Decides whether this instance is cut off from the backend servers: all of its
 * connections to them hang, are reset, or live on while new ones are refused.
 * Failures of several servers raise the suspicion; fresh connections to others
 * decide, since single servers fail every day.
 */
import type {Random} from '../link/random.js';

/** Servers whose failures raise the suspicion; all, if there are fewer. */
const MIN_FAILED_SERVERS = 3;
/** Time for which a failure counts, milliseconds. */
const FAILURE_VALID_MS = 1_500;
/** Servers that are asked in one check. */
const SERVERS_PER_CHECK = 4;
/** Checks in a row with the same result that change the verdict. */
const CHECKS_TO_CHANGE = 2;
/** Interval of checks while suspicious or cut off, milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Interval of checks after one that reached a server, milliseconds. */
const CALM_INTERVAL_MS = 1_500;
/** Time for which a response shows that open connections live on, milliseconds. */
const RESPONSE_VALID_MS = 500;

/** Change of the verdict by a check. */
export type ReachChange = 'cut_off' | 'reached' | undefined;

/** What one instance believes of its way to the servers. */
export class ServerReach {
  private readonly failedAt = new Map<string, number>();
  private respondedAt = -Infinity;
  private nextCheckAt = -Infinity;
  private cutOff = false;
  /** Checks in a row that contradict the verdict. */
  private contradictions = 0;

  constructor(private readonly random: Random) {}

  /** Whether no new connection to any server succeeds. */
  get isCutOff(): boolean {
    return this.cutOff;
  }

  /** Whether no server can be reached, not even on open connections. */
  reachesNothing(now: number): boolean {
    return this.cutOff && now - this.respondedAt > RESPONSE_VALID_MS;
  }

  /** Records a response of any server. */
  recordResponse(now: number): void {
    this.respondedAt = now;
  }

  /** Records that a server refused a connection or did not respond. */
  recordFailure(server: string, now: number): void {
    this.failedAt.delete(server);
    this.failedAt.set(server, now);
  }

  /**
   * Returns the servers to ask now; none if there is no need.
   *
   * @param knownServers Returns the servers that may be asked; costly.
   */
  serversToCheck(
    knownServers: () => readonly string[],
    now: number,
  ): readonly string[] {
    const isCalm = !this.cutOff && this.failedAt.size === 0;
    if (isCalm || now < this.nextCheckAt) return [];
    this.nextCheckAt = now + CHECK_INTERVAL_MS;
    const known = knownServers();
    if (known.length === 0) return [];
    this.failedAt.forEach((at, id) => {
      if (now - at > FAILURE_VALID_MS) this.failedAt.delete(id);
    });
    const minFailed = Math.min(MIN_FAILED_SERVERS, known.length);
    if (!this.cutOff && this.failedAt.size < minFailed) return [];
    const sound = known.filter(id => !this.failedAt.has(id));
    const preferred = [...this.shuffled(sound), ...this.shuffled(known)];
    return [...new Set(preferred)].slice(0, SERVERS_PER_CHECK);
  }

  /** Takes in how many of the servers in a check responded. */
  recordCheck(responded: number, now: number): ReachChange {
    const contradicts = this.cutOff ? responded > 0 : responded === 0;
    this.contradictions = contradicts ? this.contradictions + 1 : 0;
    if (!this.cutOff && responded > 0) {
      this.nextCheckAt = now + CALM_INTERVAL_MS;
      this.failedAt.clear();
    }
    if (this.contradictions < CHECKS_TO_CHANGE) return undefined;
    this.cutOff = !this.cutOff;
    this.contradictions = 0;
    this.failedAt.clear();
    return this.cutOff ? 'cut_off' : 'reached';
  }

  private shuffled(ids: readonly string[]): readonly string[] {
    return ids
      .map(id => ({
        id,
        order: this.random.nextInt(ids.length * ids.length + 1),
      }))
      .sort((a, b) => a.order - b.order)
      .map(({id}) => id);
  }
}
