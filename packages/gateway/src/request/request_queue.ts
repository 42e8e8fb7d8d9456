/**
 * Queue of the requests for one service that wait for a backend server. A single
 * task probes the load of servers on behalf of all waiting requests, and places
 * the most urgent request that a free server can answer in time.
 */
import type {
  Candidate,
  Clock,
  PlacementRequest,
  SharedServer,
  SharedService,
} from '@ragworthall/balancer';
import type {Prober} from '../backend_server/prober.js';

/** Longest time to wait for the first answer of a round of probes, milliseconds. */
const PROBE_ROUND_MS = 25;
/** Delay before the servers are checked again, milliseconds. */
const RECHECK_MS = 12;
/** Rounds of probes for a request that does not wait. */
const MAX_PROBE_ROUNDS = 3;

/** A request that waits for a server. */
interface QueuedRequest {
  readonly placement: PlacementRequest;
  readonly callerGone: AbortSignal;
  readonly resolve: (found: Candidate | undefined) => void;
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
    private readonly onError: (err: unknown) => void,
  ) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.requests.length;
  }

  /**
   * Waits for a server and counts the request as in flight there; resolves with
   * undefined if none was free in time or the caller has disconnected.
   */
  find(
    placement: PlacementRequest,
    callerGone: AbortSignal,
  ): Promise<Candidate | undefined> {
    return new Promise(resolve => {
      this.requests.push({placement, callerGone, resolve});
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

  /** Checks the queue again, since a server may have become free. */
  capacityChanged(): void {
    this.wake();
  }

  /** Ends the requests that wait after an error, as not placed. */
  private fail(err: unknown): void {
    this.running = false;
    this.requests.splice(0).forEach(({resolve}) => resolve(undefined));
    this.onError(err);
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.requests.length > 0) {
      const now = this.clock.now();
      this.dropHopeless(now);
      const toProbe = this.placeAll(now);
      if (this.requests.length === 0) break;
      const probes = this.probeAll(toProbe);
      await (probes.length > 0
        ? this.firstReply(probes)
        : this.awaitCapacity());
    }
    this.running = false;
  }

  /**
   * Drops requests whose caller has disconnected, whose deadline has passed, or
   * which will miss their target while too many others can still meet theirs.
   */
  private dropHopeless(now: number): void {
    const {service} = this;
    const inTime = this.requests.filter(request =>
      service.canMeetTarget(request.placement, now),
    ).length;
    const isHopeless = ({placement, callerGone}: QueuedRequest) =>
      callerGone.aborted ||
      now >= placement.endsAt ||
      service.shouldShed(placement, inTime, now);
    this.requests.filter(isHopeless).forEach(({resolve}) => resolve(undefined));
    this.requests = this.requests.filter(request => !isHopeless(request));
  }

  /** Assigns servers to requests; returns the servers to probe for the others. */
  private placeAll(now: number): readonly SharedServer[] {
    const toProbe = new Set<SharedServer>();
    const snapshot = this.service.snapshot(now);
    const stillWaiting = this.sortedByUrgency(now).filter(request => {
      const place = this.service.place(request.placement, now, snapshot);
      switch (place.kind) {
        case 'send':
          place.candidate.server.recordSend(now);
          snapshot.refresh(place.candidate.server);
          request.resolve(place.candidate);
          return false;
        case 'ask':
          place.servers.forEach(server => toProbe.add(server));
          return true;
        case 'wait':
          return true;
        default:
          return place satisfies never;
      }
    });
    this.requests = stillWaiting;
    return [...toProbe];
  }

  /**
   * Orders requests that can meet their target first, then by urgency, then the
   * newest first: under overload the oldest are the least likely to succeed.
   */
  private sortedByUrgency(now: number): readonly QueuedRequest[] {
    if (this.requests.length < 2) return this.requests;
    const ranked = this.requests.map(request => ({
      request,
      missesTarget: this.service.canMeetTarget(request.placement, now) ? 0 : 1,
    }));
    return ranked
      .sort(
        (a, b) =>
          a.missesTarget - b.missesTarget ||
          a.request.placement.route.urgency -
            b.request.placement.route.urgency ||
          b.request.placement.arrivedAt - a.request.placement.arrivedAt,
      )
      .map(({request}) => request);
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
      this.onError,
    );
    this.queues.set(service, queue);
    return queue;
  }
}
