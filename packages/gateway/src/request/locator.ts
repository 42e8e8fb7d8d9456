/** Finds the backend server for a request, asking servers for their load where that pays. */
import {
  type Candidate,
  type Clock,
  isCurrent,
  isGood,
  type Route,
  type SharedServer,
  type SharedService,
} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import type {Prober} from '../backend_server/prober.js';

/** Servers that are asked at the same time. */
const WAVE = 3;
/** Time for which a wave is waited for, milliseconds. */
const WAVE_MS = 25;
/** Pause before servers without room are asked again, milliseconds. */
const ROOM_PAUSE_MS = 30;
/** Part of the target for which a request waits for room. */
const ROOM_PATIENCE = 0.6;

/** Chooses backend servers. */
export class Locator {
  constructor(
    private readonly prober: Prober,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns the server for a request; undefined if none has room in time.
   *
   * @param excluded Servers that the request was sent to before.
   */
  async locate(
    service: SharedService,
    route: Route,
    excluded: ReadonlySet<string>,
    arrivedAt: number,
    left: AbortSignal,
  ): Promise<SharedServer | undefined> {
    const until = arrivedAt + route.targetMs * ROOM_PATIENCE;
    for (;;) {
      const found = await this.search(service, excluded);
      if (found) return found;
      if (left.aborted || this.clock.now() >= until) return undefined;
      await delay(ROOM_PAUSE_MS);
    }
  }

  private async search(
    service: SharedService,
    excluded: ReadonlySet<string>,
  ): Promise<SharedServer | undefined> {
    const asked = new Set<SharedServer>();
    for (;;) {
      const now = this.clock.now();
      const candidates = service.candidates(excluded, now);
      const best = candidates[0];
      if (!best) return undefined;
      if (isCurrent(best, now) && isGood(best)) return best.server;
      const wave = candidates
        .filter(c => !asked.has(c.server) && !isCurrent(c, now))
        .slice(0, WAVE);
      if (wave.length === 0) return roomy(service, candidates);
      wave.forEach(({server}) => asked.add(server));
      await this.askWave(service, wave);
    }
  }

  /** Resolves when one of the wave turned out good, or all have answered. */
  private async askWave(
    service: SharedService,
    wave: readonly Candidate[],
  ): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, WAVE_MS);
      const end = () => {
        clearTimeout(timer);
        resolve();
      };
      let open = wave.length;
      const answered = (server: SharedServer) => {
        open -= 1;
        const now = this.clock.now();
        const candidate = {server, cost: server.expectedCost(now)};
        const found = isCurrent(candidate, now) && isGood(candidate);
        if (open === 0 || found) end();
      };
      wave.forEach(({server}) => {
        void this.prober.ask(service, server).then(() => answered(server));
      });
    });
  }
}

function roomy(
  service: SharedService,
  candidates: readonly Candidate[],
): SharedServer | undefined {
  return candidates.find(({server}) => service.hasRoom(server))?.server;
}
