/** What this instance does for the others of its cell. */
import {
  type BackendLink,
  type Call,
  type CallResult,
  type Clock,
  type CrashCount,
  CRASHES_TO_QUARANTINE,
  FIRST_QUARANTINE_MS,
  type ForwardRole,
  LeavingSource,
  type PeerHandlers,
  type ProbeReply,
  type ProbeRequest,
  type ProbePermits,
  type ServerSign,
} from '@ragworthall/balancer';
import type {SignHandover} from './sign_handover.js';
import type {EntryInstance} from './entry_instance.js';

/** What the desk works with. */
export interface PeerDeskParts {
  /** The instance, which is built after its links. */
  readonly instance: () => EntryInstance;
  readonly backend: BackendLink;
  readonly rights: ProbePermits;
  /** Whether this instance holds its seat, whose right it uses. */
  readonly mayProbe: (now: number) => boolean;
  readonly clock: Clock;
  readonly handover: SignHandover;
}

/** Serves the other instances. */
export class PeerDesk implements PeerHandlers {
  constructor(private readonly parts: PeerDeskParts) {}

  forwarded(
    call: Call,
    role: ForwardRole,
    unusedFrom: string,
    signal: AbortSignal,
  ): Promise<CallResult> {
    return this.parts.instance().handleForwarded(call, role, signal);
  }

  /** Probes by this instance's own right, whoever schedules the server. */
  async probe(req: ProbeRequest, signal: AbortSignal): Promise<ProbeReply> {
    const {backend, rights, mayProbe, clock} = this.parts;
    const cfg = this.parts.instance().services.get(req.serviceId)?.cfg;
    const server = cfg?.backendServers.find(s => s.id === req.backendServerId);
    if (!cfg || !server) return {kind: 'declined'};
    const right = rights.forAddress(server.address, cfg.budgets);
    const now = clock.now();
    if (!mayProbe(now) || !right.tryAcquire(now)) return {kind: 'declined'};
    const result = await backend.probe(server.address, signal);
    right.release(clock.now());
    return result.kind === 'answered'
      ? {kind: 'reached', load: result.load}
      : {kind: 'unreachable', detail: result.kind};
  }

  signs(signs: readonly ServerSign[]): void {
    signs.forEach(sign => this.takeSign(sign));
  }

  crashCounts(counts: readonly CrashCount[]): void {
    const now = this.parts.clock.now();
    const {services} = this.parts.instance();
    counts.forEach(({serviceId, fingerprint, crashes, ageMs}) => {
      const quarantinedForMs =
        crashes >= CRASHES_TO_QUARANTINE ? FIRST_QUARANTINE_MS - ageMs : 0;
      const count = {fingerprint, crashes, quarantinedForMs};
      services
        .get(serviceId)
        ?.service.quarantine.mergeCrashCounts([count], now);
    });
  }

  private takeSign(sign: ServerSign): void {
    const {handover, clock, mayProbe} = this.parts;
    const entry = this.parts.instance().services.get(sign.serviceId);
    switch (sign.kind) {
      case 'fresh':
        // After a pause its age is not known: it may have waited here.
        if (!mayProbe(clock.now())) return;
        handover.take(sign);
        if (entry) handover.apply(entry.service);
        return;
      case 'leaving':
        entry?.service.markLeaving(
          sign.backendServerId,
          LeavingSource.Peer,
          clock.now(),
        );
        return;
      default:
        sign satisfies never;
    }
  }
}
