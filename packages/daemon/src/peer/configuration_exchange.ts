/** Exchange of configuration changes and snapshots between instances. */
import type {
  ReplicatedConfiguration,
  ServiceRecord,
  Snapshot,
} from '@ragworthall/balancer';
import type {ChangeRecord} from '@ragworthall/contracts';
import type {MessageOf} from './message.js';
import type {PeerConnection} from './peer_connection.js';

/**
 * Delay before a missing change is requested, milliseconds, so that it can
 * arrive unrequested.
 */
const REQUEST_DELAY_MS = 50;
/** Time after which an unanswered request may be repeated, milliseconds. */
const REQUEST_RETRY_MS = 1_000;
/** Number of services in one part of a snapshot. */
const SERVICES_PER_PART = 20;

/** Requests missing changes from peers and answers their requests. */
export class ConfigurationExchange implements Disposable {
  private requestTimer: NodeJS.Timeout | undefined;
  private requestedAt = -Infinity;
  private receivedParts: MessageOf<'snapshot'>[] = [];

  constructor(private readonly configuration: ReplicatedConfiguration) {}

  /**
   * Requests the missing changes from a peer that has a newer revision, unless
   * they arrive first.
   */
  requestIfBehind(link: PeerConnection, revision: number, now: number): void {
    if (revision <= this.configuration.current().revision || this.requestTimer)
      return;
    if (now - this.requestedAt < REQUEST_RETRY_MS) return;
    this.requestTimer = setTimeout(() => {
      this.requestTimer = undefined;
      const own = this.configuration.current().revision;
      if (own >= revision) return;
      this.requestedAt = now;
      link.send({kind: 'changes_wanted', from: own + 1});
    }, REQUEST_DELAY_MS);
  }

  /** Applies a change; returns whether it was the next one. */
  applyChange(message: MessageOf<'change'>): boolean {
    const isNext = this.configuration.applyChange(message.record);
    if (isNext) this.requestedAt = -Infinity;
    return isNext;
  }

  /** Adds a part of a snapshot; applies the snapshot once it is complete. */
  applySnapshotPart(message: MessageOf<'snapshot'>): void {
    const isNext =
      message.part === this.receivedParts.length &&
      this.receivedParts.every(part => part.revision === message.revision);
    this.receivedParts = isNext ? [...this.receivedParts, message] : [];
    if (!isNext || this.receivedParts.length < message.parts) return;
    const services: ServiceRecord[] = this.receivedParts.flatMap(
      p => p.services,
    );
    this.receivedParts = [];
    this.requestedAt = -Infinity;
    this.configuration.applySnapshot({revision: message.revision, services});
  }

  /** Sends a peer the changes from a revision on, or else a snapshot. */
  sendChanges(link: PeerConnection, from: number): void {
    const changes = this.configuration.changesFrom(from);
    if (changes) changes.forEach(record => link.send(changeMessage(record)));
    else
      snapshotMessages(this.configuration.snapshot()).forEach(m =>
        link.send(m),
      );
  }

  [Symbol.dispose](): void {
    clearTimeout(this.requestTimer);
  }
}

/** Creates the message that carries a change. */
export function changeMessage(record: ChangeRecord): MessageOf<'change'> {
  // The types differ in `readonly` only.
  return {kind: 'change', record: record as MessageOf<'change'>['record']};
}

function snapshotMessages(snapshot: Snapshot): MessageOf<'snapshot'>[] {
  const {revision, services} = snapshot;
  const parts = Math.max(1, Math.ceil(services.length / SERVICES_PER_PART));
  return Array.from({length: parts}, (unused, part) => ({
    kind: 'snapshot',
    revision,
    part,
    parts,
    services: services.slice(
      part * SERVICES_PER_PART,
      (part + 1) * SERVICES_PER_PART,
    ),
  }));
}
