/**
 * Queue of the requests for one service that wait for a backend server. A single
 * task probes the load of servers on behalf of all waiting requests, and carries
 * out the decisions of `placementRound` about them.
 */
import {
  type Candidate,
  type Clock,
  DropReason,
  type PlacementRequest,
  placementRound,
  type SharedServer,
  type SharedService,
  type StopPlan,
  type WaitingRequest,
} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import type {Prober} from '../backend_server/prober.js';

/** Longest time to wait for the first answer of a round of probes, milliseconds. */
const PROBE_ROUND_MS = 25;
/** Delay before the servers are checked again, milliseconds. */
const RECHECK_MS = 12;
/** Rounds of probes for a request that does not wait. */
const MAX_PROBE_ROUNDS = 3;

/** How the wait of a request ended. */
export type QueueResult =
  /** The request is counted as in flight at the server. */
  | {readonly kind: 'placed'; readonly candidate: Candidate}
  | {readonly kind: 'dropped'; readonly why: DropReason}
  /** It need not wait here: the servers may be out of reach. */
  | {readonly kind: 'released'};

/** A request that waits for a server. */
class QueuedRequest implements WaitingRequest {
  constructor(
    readonly placement: PlacementRequest,
    private readonly callerGone: AbortSignal,
    readonly resolve: (result: QueueResult) => void,
  ) {}

  get isAbandoned(): boolean {
    return this.callerGone.aborted;
  }
}

/** The waiting requests of one service. */
export class RequestQueue {
  private requests: QueuedRequest[] = [];
  private running = false;
  private wake: () => void = () => undefined;

  constructor(
    private readonly service: SharedService,
    private readonly prober: Prober,
    private readonly clock: Clock,
    private readonly stopPlan: () => StopPlan | undefined,
    private readonly onError: (err: unknown) => void,
  ) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.requests.length;
  }

  /** Waits for a server. */
  find(
    placement: PlacementRequest,
    callerGone: AbortSignal,
  ): Promise<QueueResult> {
    this.service.recordArrival(placement);
    return new Promise(resolve => {
      this.requests.push(new QueuedRequest(placement, callerGone, resolve));
      if (this.running) this.wake();
      else void this.run().catch(err => this.fail(err));
    });
  }

  /** Returns a good server without queueing; undefined if there is none. */
  async findNow(placement: PlacementRequest): Promise<Candidate | undefined> {
    for (let round = 0; round < MAX_PROBE_ROUNDS; round++) {
      const now = this.clock.now();
      const good = this.service.findGoodServer(placement, now);
      if (good) {
        good.server.recordSend(now);
        return good;
      }
      const place = this.service.place(placement, now);
      if (place.kind !== 'ask') return undefined;
      const probes = this.probeAll(place.servers);
      if (probes.length === 0) return undefined;
      await this.firstReply(probes);
    }
    return undefined;
  }

  /**
   * Returns another server if the one found has further requests of this instance
   * and a good one with none is found soon.
   */
  async preferIdle(
    found: Candidate,
    placement: PlacementRequest,
  ): Promise<Candidate> {
    // The others may be being asked for their load by another request.
    for (let round = 0; round < MAX_PROBE_ROUNDS; round++) {
      if (found.server.inFlight <= 1) return found;
      const busy = this.service.servers
        .filter(({inFlight}) => inFlight > 0)
        .map(({entry}) => entry.id);
      const tried = new Set([...placement.tried, ...busy]);
      const idle = await this.findNow({...placement, tried});
      if (idle) {
        found.server.recordEnd();
        this.capacityChanged();
        return idle;
      }
      await delay(RECHECK_MS);
    }
    return found;
  }

  /** Checks the queue again, since a server may have become free. */
  capacityChanged(): void {
    this.wake();
  }

  /** Ends the wait of all requests, which may be served elsewhere. */
  release(): void {
    this.requests.splice(0).forEach(({resolve}) => resolve({kind: 'released'}));
  }

  /** Ends the requests that wait after an error, as not placed. */
  private fail(err: unknown): void {
    this.running = false;
    const why = DropReason.NoCapacity;
    this.requests
      .splice(0)
      .forEach(({resolve}) => resolve({kind: 'dropped', why}));
    this.onError(err);
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.requests.length > 0) {
      const {dropped, placed, waiting, toAsk} = placementRound(
        this.service,
        this.requests,
        this.clock.now(),
        this.stopPlan(),
      );
      this.requests = [...waiting];
      dropped.forEach(({request, why}) =>
        request.resolve({kind: 'dropped', why}),
      );
      placed.forEach(({request, candidate}) =>
        request.resolve({kind: 'placed', candidate}),
      );
      const probes = this.probeAll(toAsk);
      if (this.requests.length === 0) break;
      await (probes.length > 0
        ? this.firstReply(probes)
        : this.awaitCapacity());
    }
    this.running = false;
  }

  /** Probes servers, as far as the rate limit of probes permits. */
  private probeAll(servers: readonly SharedServer[]): readonly Promise<void>[] {
    return servers.flatMap(
      server => this.prober.probe(this.service, server) ?? [],
    );
  }

  /** Resolves when one of the probes has ended, or after {@link PROBE_ROUND_MS}. */
  private async firstReply(probes: readonly Promise<void>[]): Promise<void> {
    await this.waitFor(PROBE_ROUND_MS, done => {
      probes.forEach(probe => void probe.then(done));
    });
  }

  /** Waits until a server may have become free, at most {@link RECHECK_MS}. */
  private async awaitCapacity(): Promise<void> {
    await this.waitFor(RECHECK_MS, done => (this.wake = done));
  }

  private async waitFor(
    ms: number,
    start: (done: () => void) => void,
  ): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, ms);
      start(() => {
        clearTimeout(timer);
        resolve();
      });
    });
    this.wake = () => undefined;
  }
}

/** The request queues of all services. */
export class RequestQueues {
  private readonly queues = new Map<SharedService, RequestQueue>();

  constructor(
    private readonly prober: Prober,
    private readonly clock: Clock,
    private readonly stopPlan: () => StopPlan | undefined,
    private readonly onError: (err: unknown) => void,
  ) {}

  /** The queue of a service. */
  of(service: SharedService): RequestQueue {
    const known = this.queues.get(service);
    if (known) return known;
    const queue = new RequestQueue(
      service,
      this.prober,
      this.clock,
      this.stopPlan,
      this.onError,
    );
    this.queues.set(service, queue);
    return queue;
  }

  /** Ends the wait of all requests, which may be served elsewhere. */
  release(): void {
    this.queues.forEach(queue => queue.release());
  }
}
