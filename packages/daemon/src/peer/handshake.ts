/**
 * The handshake of a link: each end says who it is, and proves over both
 * hellos that it knows the cell's secret, before anything else is read.
 */
import type {Cell} from '@ragworthall/balancer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {LinkError} from './link_error.js';
import {
  encode,
  type MessageOf,
  type PeerMessage,
  PROTOCOL_VERSION,
} from './message.js';
import {type PeerSocket, SETUP_TIMEOUT_MS} from './peer_socket.js';

const NONCE_BYTES = 32;

/** Which end of a link speaks; keeps a proof from being sent back. */
export type LinkEnd = 'dialler' | 'acceptor';

type Hello = MessageOf<'hello'>;

/** Shakes hands; returns what the other end said, or why the link is refused. */
export async function shakeHands(
  socket: PeerSocket<PeerMessage>,
  own: LinkEnd,
  cell: Cell,
  secret: string,
): Promise<Result<Hello, LinkError>> {
  const timer = setTimeout(
    () => socket.end({kind: 'silent', limitMs: SETUP_TIMEOUT_MS}),
    SETUP_TIMEOUT_MS,
  );
  const shaken = await exchange(socket, own, cell, secret);
  clearTimeout(timer);
  if (shaken.isErr()) socket.end(shaken.error);
  return shaken;
}

async function exchange(
  socket: PeerSocket<PeerMessage>,
  own: LinkEnd,
  cell: Cell,
  secret: string,
): Promise<Result<Hello, LinkError>> {
  const ours = helloOf(cell);
  socket.send(ours);
  const first = await socket.receive();
  if (!first) return err(endOf(socket));
  if (first.kind === 'unknown' || first.message.kind !== 'hello') {
    return err({kind: 'malformed', detail: 'no hello'});
  }
  const theirs = first.message;
  const refusal = refusalOf(theirs, cell);
  if (refusal) return err(refusal);
  const hellos = own === 'dialler' ? [ours, theirs] : [theirs, ours];
  const other = own === 'dialler' ? 'acceptor' : 'dialler';
  socket.send({kind: 'proof', mac: proofOf(secret, own, hellos)});
  const second = await socket.receive();
  if (!second) return err(endOf(socket));
  if (second.kind === 'unknown' || second.message.kind !== 'proof') {
    return err({kind: 'malformed', detail: 'no proof'});
  }
  const expected = proofOf(secret, other, hellos);
  if (!isEqual(second.message.mac, expected)) {
    return err({kind: 'wrong_secret'});
  }
  return ok(theirs);
}

function helloOf(cell: Cell): Hello {
  const {identity, self} = cell;
  return {
    kind: 'hello',
    version: PROTOCOL_VERSION,
    cell: identity.cell,
    seat: identity.seat,
    seats: identity.seats,
    holder: self,
    nonce: randomBytes(NONCE_BYTES),
  };
}

function refusalOf(hello: Hello, cell: Cell): LinkError | undefined {
  const {identity, self} = cell;
  const {version, seat, seats} = hello;
  if (version !== PROTOCOL_VERSION) return {kind: 'wrong_version', version};
  if (hello.cell !== identity.cell || seats !== identity.seats) {
    return {kind: 'wrong_cell', cell: hello.cell, seats};
  }
  if (hello.holder.incarnation === self.incarnation) {
    return {kind: 'own_address'};
  }
  if (!cell.peer(seat)) return {kind: 'wrong_seat', seat};
  return undefined;
}

function proofOf(
  secret: string,
  from: LinkEnd,
  hellos: readonly Hello[],
): Uint8Array {
  const mac = createHmac('sha256', secret).update(from);
  hellos.map(canonical).forEach(bytes => mac.update(bytes));
  return mac.digest();
}

/** The same bytes at both ends, whatever the order of the fields was. */
function canonical(hello: Hello): Uint8Array {
  const {version, cell, seat, seats, holder, nonce} = hello;
  const {instance, incarnation, failureDomain, peerAddress, callerUrl} = holder;
  return encode({
    kind: 'hello',
    version,
    cell,
    seat,
    seats,
    holder: {instance, incarnation, failureDomain, peerAddress, callerUrl},
    nonce,
  });
}

function isEqual(a: Uint8Array, b: Uint8Array): boolean {
  return a.byteLength === b.byteLength && timingSafeEqual(a, b);
}

function endOf(socket: PeerSocket<PeerMessage>): LinkError {
  return socket.error ?? {kind: 'closed', code: 0};
}
