/** Brings configuration from instance to instance over their links. */
import type {
  ReplicatedConfiguration,
  ServiceRecord,
  Snapshot,
} from '@ragworthall/balancer';
import type {ChangeRecord} from '@ragworthall/contracts';
import type {MessageOf} from './message.js';
import type {PeerConnection} from './peer_connection.js';

/** Time for a change to come by itself before it is asked for, milliseconds. */
const GRACE_MS = 50;
/** Time after which an unanswered question is asked again, milliseconds. */
const ASK_AGAIN_MS = 1_000;
/** Services in one part of a snapshot. */
const SERVICES_PER_PART = 20;

/** Asks for what is missing and gives what others miss. */
export class ConfigurationExchange implements Disposable {
  private timer: NodeJS.Timeout | undefined;
  private askedAt = -Infinity;
  private parts: MessageOf<'snapshot'>[] = [];

  constructor(private readonly keeper: ReplicatedConfiguration) {}

  /** A peer has this revision: asks for it unless it comes by itself. */
  seen(link: PeerConnection, revision: number, now: number): void {
    if (revision <= this.keeper.current().revision || this.timer) return;
    if (now - this.askedAt < ASK_AGAIN_MS) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      const own = this.keeper.current().revision;
      if (own >= revision) return;
      this.askedAt = now;
      link.send({kind: 'changes_wanted', from: own + 1});
    }, GRACE_MS);
  }

  /** Takes in a change; returns whether it was the next one. */
  takeChange(message: MessageOf<'change'>): boolean {
    const isNext = this.keeper.applyChange(message.record);
    if (isNext) this.askedAt = -Infinity;
    return isNext;
  }

  /** Takes in a part of a snapshot. */
  takePart(message: MessageOf<'snapshot'>): void {
    const isNext =
      message.part === this.parts.length &&
      this.parts.every(part => part.revision === message.revision);
    this.parts = isNext ? [...this.parts, message] : [];
    if (!isNext || this.parts.length < message.parts) return;
    const services: ServiceRecord[] = this.parts.flatMap(p => p.services);
    this.parts = [];
    this.askedAt = -Infinity;
    this.keeper.applySnapshot({revision: message.revision, services});
  }

  /** Sends a peer the changes that it lacks, or everything. */
  answer(link: PeerConnection, from: number): void {
    const changes = this.keeper.changesFrom(from);
    if (changes) changes.forEach(record => link.send(changeMessage(record)));
    else snapshotMessages(this.keeper.snapshot()).forEach(m => link.send(m));
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }
}

/** Returns the message of a change. */
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
