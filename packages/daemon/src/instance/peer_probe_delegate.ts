/** Has other instances of the cell probe backend servers for this one. */
import type {ProbeDelegate, ProbeReport} from '@ragworthall/balancer';
import type {ServiceId} from '@ragworthall/contracts';
import type {PeerConnection} from '../peer/index.js';

/** Timeout of a probe by a peer, round trip included, milliseconds. */
const PEER_PROBE_TIMEOUT_MS = 600;

/** Asks the linked instances in turn, starting with a different one each time. */
export class PeerProbeDelegate implements ProbeDelegate {
  private rotation = 0;

  constructor(private readonly linked: () => readonly PeerConnection[]) {}

  async probe(
    serviceId: ServiceId,
    backendServerId: string,
    signal: AbortSignal,
  ): Promise<ProbeReport | undefined> {
    const links = this.linked();
    this.rotation += 1;
    const rotatedLinks = links.map(
      (_, i) => links[(i + this.rotation) % links.length]!,
    );
    const req = {serviceId, backendServerId};
    for (const link of rotatedLinks) {
      const startedAt = performance.now();
      const reply = await link.probe(req, PEER_PROBE_TIMEOUT_MS, signal);
      switch (reply.kind) {
        case 'reached':
          return {load: reply.load, ageMs: performance.now() - startedAt};
        case 'unreachable':
          return undefined;
        case 'declined':
          break;
        default:
          reply satisfies never;
      }
      if (signal.aborted) return undefined;
    }
    return undefined;
  }
}
