/**
 * Decides whether this instance is cut off from the backend servers: all of its
 * connections to them hang, are reset, or live on while new ones are refused.
 * Failures of several servers raise the suspicion; fresh connections to others
 * decide, since single servers fail every day. An instance that has just started
 * is suspect until it has reached a server.
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

/** What an instance believes of its way to the servers. */
export const ReachState = {
  Reached: 'reached',
  /** Several servers have failed at once, or none has responded yet. */
  Suspected: 'suspected',
  /** No new connection to any server succeeds. */
  CutOff: 'cut_off',
} as const;

/** One of the values of {@link ReachState}. */
export type ReachState = (typeof ReachState)[keyof typeof ReachState];

/** What became of the fresh connections of one check. */
export interface ReachCheck {
  /** Servers that responded. */
  readonly responded: number;
  /** Servers that neither responded in time nor refused the connection. */
  readonly late: number;
}

/** The way of one instance to the servers. */
export class ServerReach {
  private readonly failedAt = new Map<string, number>();
  /** Servers that have failed since any server responded. */
  private readonly failedSinceResponse = new Set<string>();
  private respondedAt = -Infinity;
  private nextCheckAt = -Infinity;
  /** When the servers of the current check were chosen. */
  private checkedAt = -Infinity;
  private current: ReachState = ReachState.Suspected;
  private minFailed = MIN_FAILED_SERVERS;
  /** Checks in a row that contradict the verdict. */
  private contradictions = 0;

  constructor(private readonly random: Random) {}

  get state(): ReachState {
    return this.current;
  }

  /** Whether no new connection to any server succeeds. */
  get isCutOff(): boolean {
    return this.current === ReachState.CutOff;
  }

  /**
   * Whether nothing suggests that a server still responds, not even on an open
   * connection.
   */
  isSilent(now: number): boolean {
    if (this.current === ReachState.Reached) return false;
    return (
      this.failedSinceResponse.size >= this.minFailed ||
      now - this.respondedAt > RESPONSE_VALID_MS
    );
  }

  /** Records a response of any server. */
  recordResponse(now: number): void {
    this.respondedAt = now;
    this.failedSinceResponse.clear();
  }

  /** Records that a server refused a connection or did not respond. */
  recordFailure(server: string, now: number): void {
    this.failedAt.delete(server);
    this.failedAt.set(server, now);
    this.failedSinceResponse.add(server);
  }

  /** Records that a server was added, which may be in reach though all others failed. */
  recordServerAdded(): void {
    if (this.current !== ReachState.CutOff) return;
    this.change(ReachState.Suspected);
    this.nextCheckAt = -Infinity;
  }

  /**
   * Returns the servers to ask now; none if there is no need. If there are any,
   * the instance is suspect from now on.
   *
   * @param knownServers Returns the servers that may be asked; costly.
   */
  serversToCheck(
    knownServers: () => readonly string[],
    now: number,
  ): readonly string[] {
    const isReached = this.current === ReachState.Reached;
    const isCalm = isReached && this.failedAt.size === 0;
    if (isCalm || now < this.nextCheckAt) return [];
    this.nextCheckAt = now + CHECK_INTERVAL_MS;
    this.checkedAt = now;
    const known = knownServers();
    if (known.length === 0) return [];
    this.failedAt.forEach((at, id) => {
      if (now - at > FAILURE_VALID_MS) this.failedAt.delete(id);
    });
    this.minFailed = Math.min(MIN_FAILED_SERVERS, known.length);
    if (isReached && this.failedAt.size < this.minFailed) return [];
    if (isReached) this.current = ReachState.Suspected;
    const sound = known.filter(id => !this.failedAt.has(id));
    const preferred = [...this.shuffled(sound), ...this.shuffled(known)];
    return [...new Set(preferred)].slice(0, SERVERS_PER_CHECK);
  }

  /** Takes in what became of the servers in a check. */
  recordCheck({responded, late}: ReachCheck, now: number): void {
    switch (this.current) {
      case ReachState.Reached:
        return;
      case ReachState.Suspected:
        // Where others respond meanwhile, or this process, is slow.
        if (responded === 0 && late > 0 && this.respondedAt > this.checkedAt)
          return;
        if (responded === 0) return this.contradict(ReachState.CutOff);
        this.nextCheckAt = now + CALM_INTERVAL_MS;
        return this.change(ReachState.Reached);
      case ReachState.CutOff:
        if (responded > 0) return this.contradict(ReachState.Reached);
        this.contradictions = 0;
        return;
      default:
        this.current satisfies never;
    }
  }

  private contradict(next: ReachState): void {
    this.contradictions += 1;
    if (this.contradictions >= CHECKS_TO_CHANGE) this.change(next);
  }

  private change(next: ReachState): void {
    this.current = next;
    this.contradictions = 0;
    this.failedAt.clear();
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
