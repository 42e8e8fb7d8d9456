/**
 * A snapshot of the estimated cost of each server of a service. It is taken
 * once and used to place many requests.
 */
import type {SharedServer} from '../backend_server/shared_server.js';

/** Maximum number of servers asked for their load at the same time. */
const MAX_ASKED = 3;

/** A server and the expected cost of sending it one more request. */
export interface Candidate {
  readonly server: SharedServer;
  readonly cost: number;
}

/** Estimates for a server at the time of the snapshot. */
export interface ServerEstimate extends Candidate {
  /** Requests running or queued on the server. */
  readonly load: number;
  /** Expected duration of one more request, as a multiple of the baseline. */
  readonly latencyFactor: number;
  /** Whether the load report is recent enough to reflect the current state. */
  readonly isCurrent: boolean;
  /** Whether the load report is recent enough to base a decision on it. */
  readonly isKnown: boolean;
  /** Whether the server may be asked for its load now. */
  readonly mayAsk: boolean;
}

/** The servers that accept work, in ascending order of cost. */
export class ServerSnapshot {
  private readonly byCost: ServerEstimate[];
  // Cached for the common case that a request excludes no server: many requests
  // are placed between two changes.
  private allKnown: readonly ServerEstimate[] | undefined;
  private allToAsk: readonly SharedServer[] | undefined;

  constructor(
    servers: readonly SharedServer[],
    private readonly estimate: (server: SharedServer) => ServerEstimate,
  ) {
    this.byCost = servers.map(estimate);
    this.sortByCost();
  }

  /** All servers except the excluded ones, in ascending order of cost. */
  candidates(excluded: ReadonlySet<string>): readonly ServerEstimate[] {
    if (excluded.size === 0) return this.byCost;
    return this.byCost.filter(({server}) => !excluded.has(server.entry.id));
  }

  /** The server with the lowest cost; undefined if all are excluded. */
  best(excluded: ReadonlySet<string>): ServerEstimate | undefined {
    return this.byCost.find(({server}) => !excluded.has(server.entry.id));
  }

  /**
   * Servers with a report recent enough to base a decision on, in ascending
   * order of cost.
   */
  withKnownState(excluded: ReadonlySet<string>): readonly ServerEstimate[] {
    if (excluded.size > 0) return knownOf(this.candidates(excluded));
    return (this.allKnown ??= knownOf(this.byCost));
  }

  /** Servers to ask for their load, in ascending order of cost. */
  serversToAsk(excluded: ReadonlySet<string>): readonly SharedServer[] {
    if (excluded.size > 0) return toAskOf(this.candidates(excluded));
    return (this.allToAsk ??= toAskOf(this.byCost));
  }

  /**
   * Updates the estimate of a server after a request was sent to it; removes it
   * if it is not to be sent another one now.
   */
  refresh(server: SharedServer, now: number): void {
    const index = this.byCost.findIndex(entry => entry.server === server);
    if (index < 0) return;
    if (server.isOpen(now)) this.byCost[index] = this.estimate(server);
    else this.byCost.splice(index, 1);
    this.sortByCost();
  }

  private sortByCost(): void {
    this.byCost.sort((a, b) => a.cost - b.cost);
    this.allKnown = undefined;
    this.allToAsk = undefined;
  }
}

function knownOf(ranked: readonly ServerEstimate[]): readonly ServerEstimate[] {
  return ranked.filter(({isKnown}) => isKnown);
}

function toAskOf(ranked: readonly ServerEstimate[]): readonly SharedServer[] {
  return ranked
    .filter(({mayAsk}) => mayAsk)
    .slice(0, MAX_ASKED)
    .map(({server}) => server);
}
