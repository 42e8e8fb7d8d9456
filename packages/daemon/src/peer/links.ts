/** The links of this instance: at most one to each other seat. */
import type {Cell} from '@ragworthall/balancer';
import type {LinkError} from './link_error.js';
import {performHandshake, type LinkEnd} from './handshake.js';
import {type LinkEvents, PeerConnection} from './peer_connection.js';
import type {PeerMessage} from './message.js';
import type {PeerSocket} from './peer_socket.js';

/** Receives the events of links. */
export interface LinkLog {
  linkOpened(link: PeerConnection): void;
  /** A link has ended. */
  linkEnded(link: PeerConnection, err: LinkError): void;
  /** A link was refused; `address` is set if this end dialled it. */
  linkRefused(err: LinkError, address: string | undefined): void;
}

/** The open links by the seat of the other instance. */
export class Links implements AsyncDisposable {
  private readonly bySeat = new Map<number, PeerConnection>();

  constructor(
    private readonly cell: Cell,
    private readonly secret: string,
    private readonly events: LinkEvents,
    private readonly log: LinkLog,
  ) {}

  /** The open links. */
  get all(): readonly PeerConnection[] {
    return [...this.bySeat.values()];
  }

  /** The link to an instance, if it is open. */
  toInstance(instance: string): PeerConnection | undefined {
    return this.all.find(link => link.instance === instance);
  }

  /** The link to the holder of a seat, if it is open. */
  toSeat(seat: number): PeerConnection | undefined {
    return this.bySeat.get(seat);
  }

  /**
   * Performs the handshake on a new socket and runs the link until it ends.
   * Returns whether the link was established, and why it ended.
   */
  async run(
    socket: PeerSocket<PeerMessage>,
    ownEnd: LinkEnd,
    address?: string,
  ): Promise<{readonly wasLinked: boolean; readonly err: LinkError}> {
    const handshake = await performHandshake(
      socket,
      ownEnd,
      this.cell,
      this.secret,
    );
    const hello = handshake.isOk() ? handshake.value : undefined;
    const refusal = handshake.isErr()
      ? handshake.error
      : this.refusalOf(hello!, ownEnd);
    if (!hello || refusal) return this.refuse(socket, refusal!, address);
    const isPreferred = this.isPreferred(hello.seat, ownEnd);
    const link = new PeerConnection(socket, hello, isPreferred, this.events);
    this.add(link);
    const err = await link.run();
    this.remove(link, err);
    return {wasLinked: true, err};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.all.map(link => link.close()));
  }

  /** Closes links to instances whose seat has a newer holder. */
  closeSuperseded(): void {
    this.all
      .filter(link => {
        const holder = this.cell.peer(link.peer.seat)?.holder;
        return holder !== undefined && holder.incarnation > link.incarnation;
      })
      .forEach(link => link.end({kind: 'superseded', seat: link.peer.seat}));
  }

  private refusalOf(
    hello: PeerConnection['peer'],
    ownEnd: LinkEnd,
  ): LinkError | undefined {
    const {seat, holder} = hello;
    if (!this.cell.recordHolder(seat, holder))
      return {kind: 'superseded', seat};
    const existing = this.bySeat.get(seat);
    const isDuplicate =
      existing !== undefined &&
      existing.incarnation === holder.incarnation &&
      existing.isPreferred &&
      !this.isPreferred(seat, ownEnd);
    return isDuplicate ? {kind: 'duplicate'} : undefined;
  }

  /**
   * Whether the end with the higher seat dialled. Of two links between the same
   * seats, both ends keep this one.
   */
  private isPreferred(seat: number, ownEnd: LinkEnd): boolean {
    return (ownEnd === 'dialler') === this.cell.identity.seat > seat;
  }

  private refuse(
    socket: PeerSocket<PeerMessage>,
    err: LinkError,
    address: string | undefined,
  ): {readonly wasLinked: boolean; readonly err: LinkError} {
    socket.end(err);
    this.log.linkRefused(err, address);
    return {wasLinked: false, err};
  }

  private add(link: PeerConnection): void {
    const {seat} = link.peer;
    const previous = this.bySeat.get(seat);
    this.bySeat.set(seat, link);
    // That the new link was accepted shows that the old one is no longer usable
    // or is not the preferred one.
    previous?.end({kind: 'duplicate'});
    const peer = this.cell.peer(seat)!;
    peer.isLinked = true;
    peer.lastHeardAt = this.events.clock.now();
    this.log.linkOpened(link);
  }

  private remove(link: PeerConnection, err: LinkError): void {
    const {seat} = link.peer;
    if (this.bySeat.get(seat) === link) {
      this.bySeat.delete(seat);
      const peer = this.cell.peer(seat)!;
      if (peer.holder?.incarnation === link.incarnation) peer.isLinked = false;
    }
    this.log.linkEnded(link, err);
  }
}
