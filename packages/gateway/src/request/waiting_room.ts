/**
 * Where requests for one service wait for a backend server. One task asks
 * servers for their load on behalf of all that wait, and sends the most urgent
 * request that a free server would answer in time.
 */
import type {
  Candidate,
  Clock,
  Seeker,
  SharedServer,
  SharedService,
} from '@ragworthall/balancer';
import type {Prober} from '../backend_server/prober.js';

/** Longest time for which a wave of questions is waited for, milliseconds. */
const WAVE_MS = 25;
/** Pause before servers are looked at again, milliseconds. */
const LOOK_MS = 12;
/** Waves of questions for a request that does not wait. */
const MAX_WAVES = 3;

/** A request in the room. */
interface Ticket {
  readonly seeker: Seeker;
  readonly left: AbortSignal;
  readonly resolve: (found: Candidate | undefined) => void;
}

/** The requests that wait for one service. */
export class WaitingRoom {
  private tickets: Ticket[] = [];
  private running = false;
  private wake: () => void = () => undefined;

  constructor(
    private readonly service: SharedService,
    private readonly prober: Prober,
    private readonly clock: Clock,
  ) {}

  /** Requests that wait. */
  get length(): number {
    return this.tickets.length;
  }

  /**
   * Returns the server for a request, with the request counted there; undefined
   * if none took it in time or its caller has left.
   */
  find(seeker: Seeker, left: AbortSignal): Promise<Candidate | undefined> {
    return new Promise(resolve => {
      this.tickets.push({seeker, left, resolve});
      if (this.running) this.wake();
      else void this.run();
    });
  }

  /** Returns a good server without waiting for one; undefined if there is none. */
  async findNow(seeker: Seeker): Promise<Candidate | undefined> {
    for (let wave = 0; wave < MAX_WAVES; wave++) {
      const now = this.clock.now();
      const good = this.service.goodFor(seeker, now);
      if (good) {
        good.server.recordSend(now);
        return good;
      }
      const place = this.service.place(seeker, now);
      if (place.kind !== 'ask') return undefined;
      const asked = this.ask(place.servers);
      if (asked.length === 0) return undefined;
      await this.firstOf(asked);
    }
    return undefined;
  }

  /** Notes that a server may have become free. */
  changed(): void {
    this.wake();
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.tickets.length > 0) {
      const now = this.clock.now();
      this.dismiss(now);
      const toAsk = this.placeAll(now);
      if (this.tickets.length === 0) break;
      const asked = this.ask(toAsk);
      await (asked.length > 0 ? this.firstOf(asked) : this.pause());
    }
    this.running = false;
  }

  /**
   * Sends off the requests that nobody waits for, that ran out of time, or that
   * are late while the service has no room for those that are not.
   */
  private dismiss(now: number): void {
    const {service} = this;
    const inTime = this.tickets.filter(ticket =>
      service.isReachable(ticket.seeker, now),
    ).length;
    const isOver = ({seeker, left}: Ticket) =>
      left.aborted ||
      now >= seeker.endsAt ||
      service.makesWay(seeker, inTime, now);
    this.tickets.filter(isOver).forEach(({resolve}) => resolve(undefined));
    this.tickets = this.tickets.filter(ticket => !isOver(ticket));
  }

  /** Places what can be placed; returns the servers to ask for the rest. */
  private placeAll(now: number): readonly SharedServer[] {
    const toAsk = new Set<SharedServer>();
    const survey = this.service.survey(now);
    const staying = this.inOrder(now).filter(ticket => {
      const place = this.service.place(ticket.seeker, now, survey);
      switch (place.kind) {
        case 'send':
          place.candidate.server.recordSend(now);
          survey.lookAgain(place.candidate.server);
          ticket.resolve(place.candidate);
          return false;
        case 'ask':
          place.servers.forEach(server => toAsk.add(server));
          return true;
        case 'wait':
          return true;
        default:
          return place satisfies never;
      }
    });
    this.tickets = staying;
    return [...toAsk];
  }

  /**
   * Those that can make their targets first, then the most urgent, then the
   * newest: under overload the oldest have the least chance to make it.
   */
  private inOrder(now: number): readonly Ticket[] {
    if (this.tickets.length < 2) return this.tickets;
    const keyed = this.tickets.map(ticket => ({
      ticket,
      late: this.service.isReachable(ticket.seeker, now) ? 0 : 1,
    }));
    return keyed
      .sort(
        (a, b) =>
          a.late - b.late ||
          a.ticket.seeker.route.urgency - b.ticket.seeker.route.urgency ||
          b.ticket.seeker.arrivedAt - a.ticket.seeker.arrivedAt,
      )
      .map(({ticket}) => ticket);
  }

  /** Asks servers, as far as there may be questions. */
  private ask(servers: readonly SharedServer[]): readonly Promise<void>[] {
    return servers.flatMap(
      server => this.prober.ask(this.service, server) ?? [],
    );
  }

  /** Resolves when a server has answered, or after the time of a wave. */
  private async firstOf(asked: readonly Promise<void>[]): Promise<void> {
    await this.until(WAVE_MS, done => {
      asked.forEach(answer => void answer.then(done));
    });
  }

  /** Waits until a server may have become free, or for the time of a look. */
  private async pause(): Promise<void> {
    await this.until(LOOK_MS, done => (this.wake = done));
  }

  private async until(
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

/** The waiting rooms of all services. */
export class WaitingRooms {
  private readonly rooms = new Map<SharedService, WaitingRoom>();

  constructor(
    private readonly prober: Prober,
    private readonly clock: Clock,
  ) {}

  /** The room of a service. */
  of(service: SharedService): WaitingRoom {
    const known = this.rooms.get(service);
    if (known) return known;
    const room = new WaitingRoom(service, this.prober, this.clock);
    this.rooms.set(service, room);
    return room;
  }
}
