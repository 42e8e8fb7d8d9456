/**
 * Divides what a backend server takes from all instances together among them.
 * An instance with a share may send one request at any moment, however small its
 * share is: with many instances only a few have a share in each server.
 */
import {rankByHash} from './ownership.js';

/** Instances that share a limit of less than one request per second. */
const MIN_SHARERS = 4;
/** Number of instances that is assumed while the fleet is unknown. */
const ASSUMED_INSTANCES = 512;

interface KnownShare {
  readonly instances: readonly string[];
  readonly sharers: number;
  readonly share: number;
}

/** The shares of one instance in the limits of backend servers. */
export class LimitShares {
  private readonly known = new Map<string, KnownShare>();

  /** @param instances Returns the ids of the known instances; empty if unknown. */
  constructor(
    private readonly self: string,
    private readonly instances: () => readonly string[],
  ) {}

  /** Returns this instance's share in a limit of a server, 0 to 1. */
  shareOf(server: string, perS: number): number {
    const instances = this.instances();
    if (instances.length === 0) return 1 / ASSUMED_INSTANCES;
    const sharers = MIN_SHARERS + Math.floor(perS);
    const known = this.known.get(server);
    if (known?.instances === instances && known.sharers === sharers) {
      return known.share;
    }
    const share = this.compute(instances, server, sharers);
    this.known.set(server, {instances, sharers, share});
    return share;
  }

  /** Forgets a server that is gone. */
  forget(server: string): void {
    this.known.delete(server);
  }

  private compute(
    instances: readonly string[],
    server: string,
    sharers: number,
  ): number {
    const all = [...new Set([...instances, this.self])];
    const chosen = rankByHash(all, server).slice(0, sharers);
    return chosen.includes(this.self) ? 1 / chosen.length : 0;
  }
}
