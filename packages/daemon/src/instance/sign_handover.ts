/**
 * Hands over signs that backend servers are not leaving when their scheduling
 * moves, so that the new owner can use them before it has probed them.
 */
import {
  type BackendServer,
  type Clock,
  LeavingSource,
  type ServerSign,
  type Service,
  CONFIRMATION_TTL_MS,
} from '@ragworthall/balancer';
import {ServerState, type ServiceId} from '@ragworthall/contracts';

/** Signs that are kept until their servers' scheduling arrives here. */
const MAX_KEPT = 50_000;

/** Sends signs to the other instances. */
export type SignSender = (signs: ServerSign[]) => void;

/** Gives and takes signs. */
export class SignHandover {
  /** Times of signs, by service and server; the newest last. */
  private readonly kept = new Map<string, number>();

  constructor(
    private readonly send: SignSender,
    private readonly clock: Clock,
  ) {}

  /** Tells the others of servers that this instance schedules no longer. */
  give(serviceId: ServiceId, servers: readonly BackendServer[]): void {
    const now = this.clock.now();
    const signs = servers
      .filter(server => server.isConfirmedServing(now))
      .map(server => ({
        kind: 'fresh' as const,
        serviceId,
        backendServerId: server.cfg.id,
        ageMs: now - (server.confirmedServingUntil - CONFIRMATION_TTL_MS),
      }));
    if (signs.length > 0) this.send(signs);
  }

  /** Keeps a sign that another instance gave. */
  take(sign: Extract<ServerSign, {kind: 'fresh'}>): void {
    const key = `${sign.serviceId} ${sign.backendServerId}`;
    this.kept.delete(key);
    this.kept.set(key, this.clock.now() - sign.ageMs);
    this.dropOld();
  }

  /** Shows a service the signs that were kept for its servers. */
  apply(service: Service): void {
    if (this.kept.size === 0) return;
    const now = this.clock.now();
    service.backendServers.forEach(server => {
      const asOf = this.kept.get(`${service.id} ${server.cfg.id}`);
      if (asOf === undefined) return;
      const load = {state: ServerState.Serving};
      service.recordProbe(server, load, asOf, now, LeavingSource.Peer);
    });
  }

  private dropOld(): void {
    const oldest = this.clock.now() - CONFIRMATION_TTL_MS;
    for (const [key, asOf] of this.kept) {
      if (asOf > oldest && this.kept.size <= MAX_KEPT) return;
      this.kept.delete(key);
    }
  }
}
