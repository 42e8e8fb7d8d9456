/** The links of this instance, at most one for each other seat. */
import type {Cell} from '@ragworthall/balancer';
import type {LinkError} from './link_error.js';
import {shakeHands, type LinkEnd} from './handshake.js';
import {type LinkEvents, PeerConnection} from './peer_connection.js';
import type {PeerMessage} from './message.js';
import type {PeerSocket} from './peer_socket.js';

/** What happens to links, for the log and the fleet. */
export interface LinkLog {
  linked(link: PeerConnection): void;
  /** A link has ended. */
  ended(link: PeerConnection, err: LinkError): void;
  /** A link was refused; `address` is where it led, if this end dialled. */
  refused(err: LinkError, address: string | undefined): void;
}

/** Holds the links by seat. */
export class Links implements Disposable {
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

  /** The link to an instance, if there is one. */
  to(instance: string): PeerConnection | undefined {
    return this.all.find(link => link.instance === instance);
  }

  /** The link to the holder of a seat, if there is one. */
  at(seat: number): PeerConnection | undefined {
    return this.bySeat.get(seat);
  }

  /**
   * Shakes hands on a new socket and runs the link to its end. Returns whether
   * it came to a link, and why it ended.
   */
  async run(
    socket: PeerSocket<PeerMessage>,
    own: LinkEnd,
    address?: string,
  ): Promise<{readonly wasLinked: boolean; readonly err: LinkError}> {
    const shaken = await shakeHands(socket, own, this.cell, this.secret);
    const hello = shaken.isOk() ? shaken.value : undefined;
    const refusal = shaken.isErr() ? shaken.error : this.refusalOf(hello!, own);
    if (!hello || refusal) return this.refuse(socket, refusal!, address);
    const isPreferred = this.isPreferred(hello.seat, own);
    const link = new PeerConnection(socket, hello, isPreferred, this.events);
    this.add(link);
    const err = await link.run();
    this.remove(link, err);
    return {wasLinked: true, err};
  }

  [Symbol.dispose](): void {
    this.all.forEach(link => link[Symbol.dispose]());
  }

  /** Closes links whose instance no longer holds its seat. */
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
    own: LinkEnd,
  ): LinkError | undefined {
    const {seat, holder} = hello;
    if (!this.cell.recordHolder(seat, holder))
      return {kind: 'superseded', seat};
    const known = this.bySeat.get(seat);
    const isDuplicate =
      known !== undefined &&
      known.incarnation === holder.incarnation &&
      known.isPreferred &&
      !this.isPreferred(seat, own);
    return isDuplicate ? {kind: 'duplicate'} : undefined;
  }

  /** Of two links between two seats, both ends keep the same one. */
  private isPreferred(seat: number, own: LinkEnd): boolean {
    return (own === 'dialler') === this.cell.identity.seat > seat;
  }

  private refuse(
    socket: PeerSocket<PeerMessage>,
    err: LinkError,
    address: string | undefined,
  ): {readonly wasLinked: boolean; readonly err: LinkError} {
    socket.end(err);
    this.log.refused(err, address);
    return {wasLinked: false, err};
  }

  private add(link: PeerConnection): void {
    const {seat} = link.peer;
    const before = this.bySeat.get(seat);
    this.bySeat.set(seat, link);
    // The newer one is proof that the older one is of no use any more.
    before?.end({kind: 'duplicate'});
    const peer = this.cell.peer(seat)!;
    peer.isLinked = true;
    peer.lastHeardAt = this.events.clock.now();
    this.log.linked(link);
  }

  private remove(link: PeerConnection, err: LinkError): void {
    const {seat} = link.peer;
    if (this.bySeat.get(seat) === link) {
      this.bySeat.delete(seat);
      const peer = this.cell.peer(seat)!;
      if (peer.holder?.incarnation === link.incarnation) peer.isLinked = false;
    }
    this.log.ended(link, err);
  }
}
