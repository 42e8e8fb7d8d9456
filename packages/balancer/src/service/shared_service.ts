/** A service whose backend servers all instances send to. */
import type {Random} from '../link/random.js';
import type {ServiceTerms} from '../route/route.js';
import {
  type ServerEntry,
  SharedServer,
} from '../backend_server/shared_server.js';
import {SendBudget, type SendBudgetTerms} from './send_budget.js';

/** Expected cost up to which a server is taken without looking further. */
const GOOD_COST = 1.35;
/** Age up to which a report counts as current, milliseconds. */
const CURRENT_MS = 40;
/** Factor on the cost of servers in other failure domains. */
const DISTANCE_COST = 1.04;
/** Size of the random part of a comparison, so that equal servers take turns. */
const TIE_COST = 0.02;
/** Requests that may wait at one server, in multiples of its slots. */
const MAX_QUEUED_PER_SLOT = 1;
/** Weight of the newest sample in the usual time. */
const SAMPLE_WEIGHT = 0.1;
/** Cost of a suspect server: any other goes first. */
const SUSPECT_COST = 1_000;

/** A server and the expected cost of one more request there. */
export interface Candidate {
  readonly server: SharedServer;
  readonly cost: number;
}

/** Whether a candidate's report is young enough to send without asking. */
export function isCurrent({server}: Candidate, now: number): boolean {
  return server.reportAge(now) <= CURRENT_MS;
}

/** Whether a candidate needs no better one. */
export function isGood({cost}: Candidate): boolean {
  return cost <= GOOD_COST;
}

/** Backend servers of one service, as this instance knows them. */
export class SharedService {
  readonly budget: SendBudget;
  /** Whether its servers report their load. */
  reportsLoad: boolean | undefined;
  private readonly byId = new Map<string, SharedServer>();
  /** Usual time of a request on an idle server, by route, milliseconds. */
  private readonly usualMs = new Map<string, number>();

  constructor(
    readonly name: string,
    private readonly failureDomain: string,
    private readonly random: Random,
    budget: SendBudgetTerms,
    public terms: ServiceTerms | undefined,
  ) {
    this.budget = new SendBudget(budget);
  }

  /** All its servers, those that leave too. */
  get servers(): readonly SharedServer[] {
    return [...this.byId.values()];
  }

  /** Adds or replaces a server. */
  put(server: SharedServer): void {
    this.byId.set(server.entry.id, server);
  }

  /** Takes a server out. */
  remove(id: string): void {
    this.byId.delete(id);
  }

  /** Servers that may take a request, the cheapest first. */
  candidates(excluded: ReadonlySet<string>, now: number): Candidate[] {
    return this.servers
      .filter(server => server.takesWork && !excluded.has(server.entry.id))
      .map(server => ({server, cost: this.costOf(server, now)}))
      .sort((a, b) => a.cost - b.cost);
  }

  /** Whether a server has room for one more request. */
  hasRoom(server: SharedServer): boolean {
    return server.load < server.slots * (1 + MAX_QUEUED_PER_SLOT);
  }

  /** Takes in how long a request took at a server of this slowness. */
  took(route: string, ms: number, cost: number): void {
    const sample = ms / Math.max(1, cost);
    const known = this.usualMs.get(route);
    const usual =
      known === undefined ? sample : known + SAMPLE_WEIGHT * (sample - known);
    this.usualMs.set(route, usual);
  }

  /** Usual time of a route's requests on an idle server; undefined at first. */
  usual(route: string): number | undefined {
    return this.usualMs.get(route);
  }

  private costOf(server: SharedServer, now: number): number {
    const near = server.entry.failureDomain === this.failureDomain;
    const tie = 1 + (TIE_COST * this.random.below(1_024)) / 1_024;
    const suspect = server.isSuspect(now) ? SUSPECT_COST : 1;
    const distance = near ? 1 : DISTANCE_COST;
    return server.expectedCost(now) * distance * tie * suspect;
  }
}

/** Returns whether an entry is news about a server process that is known. */
export function isNewer(entry: ServerEntry, known: ServerEntry): boolean {
  if (entry.startedAt !== known.startedAt) {
    return entry.startedAt > known.startedAt;
  }
  return entry.sequence >= known.sequence;
}
