/** Handles the requests and messages of the other instances of the cell. */
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
  type LeavingStatusReport,
} from '@ragworthall/balancer';
import type {ServingConfirmationHandover} from './serving_confirmation_handover.js';
import type {EntryInstance} from './entry_instance.js';

/** Dependencies of a {@link PeerRequestHandler}. */
export interface PeerRequestHandlerOptions {
  /** Returns the instance, which is created after its links. */
  readonly instance: () => EntryInstance;
  readonly backend: BackendLink;
  readonly probePermits: ProbePermits;
  /** Whether this instance holds its seat and may use its probe permits. */
  readonly mayProbe: (now: number) => boolean;
  readonly clock: Clock;
  readonly handover: ServingConfirmationHandover;
}

/** Runs calls and probes for the other instances and applies their reports. */
export class PeerRequestHandler implements PeerHandlers {
  constructor(private readonly options: PeerRequestHandlerOptions) {}

  runForwarded(
    call: Call,
    role: ForwardRole,
    unusedFrom: string,
    signal: AbortSignal,
  ): Promise<CallResult> {
    return this.options.instance().handleForwarded(call, role, signal);
  }

  /** Probes within this instance's own permits, whichever instance owns the server. */
  async probe(req: ProbeRequest, signal: AbortSignal): Promise<ProbeReply> {
    const {backend, probePermits, mayProbe, clock} = this.options;
    const cfg = this.options.instance().services.get(req.serviceId)?.cfg;
    const server = cfg?.backendServers.find(s => s.id === req.backendServerId);
    if (!cfg || !server) return {kind: 'declined'};
    const permit = probePermits.forAddress(server.address, cfg.budgets);
    const now = clock.now();
    if (!mayProbe(now) || !permit.tryAcquire(now)) return {kind: 'declined'};
    const result = await backend.probe(server.address, signal);
    permit.release(clock.now());
    return result.kind === 'answered'
      ? {kind: 'reached', load: result.load}
      : {kind: 'unreachable', detail: result.kind};
  }

  recordLeavingStatus(reports: readonly LeavingStatusReport[]): void {
    reports.forEach(report => this.applyLeavingStatus(report));
  }

  recordCrashCounts(counts: readonly CrashCount[]): void {
    const now = this.options.clock.now();
    const {services} = this.options.instance();
    counts.forEach(({serviceId, fingerprint, crashes, ageMs}) => {
      const quarantinedForMs =
        crashes >= CRASHES_TO_QUARANTINE ? FIRST_QUARANTINE_MS - ageMs : 0;
      const count = {fingerprint, crashes, quarantinedForMs};
      services
        .get(serviceId)
        ?.service.quarantine.mergeCrashCounts([count], now);
    });
  }

  private applyLeavingStatus(report: LeavingStatusReport): void {
    const {handover, clock, mayProbe} = this.options;
    const entry = this.options.instance().services.get(report.serviceId);
    switch (report.kind) {
      case 'fresh':
        // After a pause of this process the age of the confirmation is not
        // known: the message may have waited in a buffer.
        if (!mayProbe(clock.now())) return;
        handover.store(report);
        if (entry) handover.applyTo(entry.service);
        return;
      case 'leaving':
        entry?.service.markLeaving(
          report.backendServerId,
          LeavingSource.Peer,
          clock.now(),
        );
        return;
      default:
        report satisfies never;
    }
  }
}
