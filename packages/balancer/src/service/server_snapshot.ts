/** What is known of a service's servers at one moment, for many requests. */
import type {SharedServer} from '../backend_server/shared_server.js';

/** Servers that are asked at the same time. */
const MAX_ASKED = 3;

/** A server and the expected cost of one more request there. */
export interface Candidate {
  readonly server: SharedServer;
  readonly cost: number;
}

/** A server as it was found. */
export interface ServerEstimate extends Candidate {
  /** Requests that run or wait there. */
  readonly load: number;
  /** Expected time of one more request, in usual times. */
  readonly slowdown: number;
  /** Whether its report is young enough to count as its state. */
  readonly isCurrent: boolean;
  /** Whether its report is young enough to act upon. */
  readonly isKnown: boolean;
  readonly mayAsk: boolean;
}

/** The servers that take work, the cheapest first. */
export class ServerSnapshot {
  private readonly byCost: ServerEstimate[];
  // Most requests exclude no server, and many look before anything changes.
  private allKnown: readonly ServerEstimate[] | undefined;
  private allToAsk: readonly SharedServer[] | undefined;

  constructor(
    servers: readonly SharedServer[],
    private readonly estimate: (server: SharedServer) => ServerEstimate,
  ) {
    this.byCost = servers.map(estimate);
    this.sortByCost();
  }

  /** All servers but the excluded ones, the cheapest first. */
  candidates(excluded: ReadonlySet<string>): readonly ServerEstimate[] {
    if (excluded.size === 0) return this.byCost;
    return this.byCost.filter(({server}) => !excluded.has(server.entry.id));
  }

  /** The cheapest server; undefined if there is none. */
  best(excluded: ReadonlySet<string>): ServerEstimate | undefined {
    return this.byCost.find(({server}) => !excluded.has(server.entry.id));
  }

  /** Servers whose state is known. */
  withKnownState(excluded: ReadonlySet<string>): readonly ServerEstimate[] {
    if (excluded.size > 0) return knownOf(this.candidates(excluded));
    return (this.allKnown ??= knownOf(this.byCost));
  }

  /** Servers to ask for their load, those that look best first. */
  serversToAsk(excluded: ReadonlySet<string>): readonly SharedServer[] {
    if (excluded.size > 0) return toAskOf(this.candidates(excluded));
    return (this.allToAsk ??= toAskOf(this.byCost));
  }

  /** Looks at a server again, after a request was sent there. */
  refresh(server: SharedServer): void {
    const at = this.byCost.findIndex(found => found.server === server);
    if (at < 0) return;
    this.byCost[at] = this.estimate(server);
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
