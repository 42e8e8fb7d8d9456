/**
 * Hands over serving confirmations of backend servers to their new owner, so
 * that it can use the servers before it has probed them.
 */
import {
  type BackendServer,
  type Clock,
  LeavingSource,
  type LeavingStatusReport,
  type Service,
  CONFIRMATION_TTL_MS,
} from '@ragworthall/balancer';
import {ServerState, type ServiceId} from '@ragworthall/contracts';

/** Limit of the confirmations that are stored until ownership moves here. */
const MAX_STORED = 50_000;

/** Sends confirmations to the other instances. */
export type ConfirmationSender = (confirmations: LeavingStatusReport[]) => void;

/** Sends, stores and applies serving confirmations. */
export class ServingConfirmationHandover {
  /** Times of confirmations by service and server, in order of receipt. */
  private readonly confirmedAt = new Map<string, number>();

  constructor(
    private readonly send: ConfirmationSender,
    private readonly clock: Clock,
  ) {}

  /** Sends the confirmations of servers that this instance no longer schedules. */
  sendFor(serviceId: ServiceId, servers: readonly BackendServer[]): void {
    const now = this.clock.now();
    const confirmations = servers
      .filter(server => server.isConfirmedServing(now))
      .map(server => ({
        kind: 'fresh' as const,
        serviceId,
        backendServerId: server.cfg.id,
        ageMs: now - (server.confirmedServingUntil - CONFIRMATION_TTL_MS),
      }));
    if (confirmations.length > 0) this.send(confirmations);
  }

  /** Stores a confirmation that another instance sent. */
  store(confirmation: Extract<LeavingStatusReport, {kind: 'fresh'}>): void {
    const key = `${confirmation.serviceId} ${confirmation.backendServerId}`;
    this.confirmedAt.delete(key);
    this.confirmedAt.set(key, this.clock.now() - confirmation.ageMs);
    this.dropExpired();
  }

  /** Applies the stored confirmations to the backend servers of a service. */
  applyTo(service: Service): void {
    if (this.confirmedAt.size === 0) return;
    const now = this.clock.now();
    service.backendServers.forEach(server => {
      const asOf = this.confirmedAt.get(`${service.id} ${server.cfg.id}`);
      if (asOf === undefined) return;
      const load = {state: ServerState.Serving};
      service.recordProbe(server, load, asOf, now, LeavingSource.Peer);
    });
  }

  private dropExpired(): void {
    const oldest = this.clock.now() - CONFIRMATION_TTL_MS;
    for (const [key, asOf] of this.confirmedAt) {
      if (asOf > oldest && this.confirmedAt.size <= MAX_STORED) return;
      this.confirmedAt.delete(key);
    }
  }
}
