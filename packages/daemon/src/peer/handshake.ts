/**
 * The handshake of a link. Each end identifies itself in a hello, then proves
 * that it knows the cell's secret by a MAC over both hellos. No other message
 * is accepted before that.
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

/**
 * The end of a link that sends. It is part of the MAC, so that an end cannot
 * return the proof that it received.
 */
export type LinkEnd = 'dialler' | 'acceptor';

type Hello = MessageOf<'hello'>;

/**
 * Performs the handshake; returns the other end's hello, or why the link is
 * refused.
 */
export async function performHandshake(
  socket: PeerSocket<PeerMessage>,
  ownEnd: LinkEnd,
  cell: Cell,
  secret: string,
): Promise<Result<Hello, LinkError>> {
  const timer = setTimeout(
    () => socket.end({kind: 'silent', limitMs: SETUP_TIMEOUT_MS}),
    SETUP_TIMEOUT_MS,
  );
  const result = await exchangeHellosAndProofs(socket, ownEnd, cell, secret);
  clearTimeout(timer);
  if (result.isErr()) socket.end(result.error);
  return result;
}

async function exchangeHellosAndProofs(
  socket: PeerSocket<PeerMessage>,
  ownEnd: LinkEnd,
  cell: Cell,
  secret: string,
): Promise<Result<Hello, LinkError>> {
  const ours = createHello(cell);
  socket.send(ours);
  const first = await socket.receive();
  if (!first) return err(socketError(socket));
  if (first.kind === 'unknown' || first.message.kind !== 'hello') {
    return err({kind: 'malformed', detail: 'no hello'});
  }
  const theirs = first.message;
  const refusal = refusalOf(theirs, cell);
  if (refusal) return err(refusal);
  const hellos = ownEnd === 'dialler' ? [ours, theirs] : [theirs, ours];
  const otherEnd = ownEnd === 'dialler' ? 'acceptor' : 'dialler';
  socket.send({kind: 'proof', mac: proofOf(secret, ownEnd, hellos)});
  const second = await socket.receive();
  if (!second) return err(socketError(socket));
  if (second.kind === 'unknown' || second.message.kind !== 'proof') {
    return err({kind: 'malformed', detail: 'no proof'});
  }
  const expected = proofOf(secret, otherEnd, hellos);
  if (!macsEqual(second.message.mac, expected)) {
    return err({kind: 'wrong_secret'});
  }
  return ok(theirs);
}

function createHello(cell: Cell): Hello {
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
  sender: LinkEnd,
  hellos: readonly Hello[],
): Uint8Array {
  const mac = createHmac('sha256', secret).update(sender);
  hellos.map(canonicalBytes).forEach(bytes => mac.update(bytes));
  return mac.digest();
}

/**
 * Encodes a hello with a fixed order of fields, so that both ends compute the
 * MAC over the same bytes.
 */
function canonicalBytes(hello: Hello): Uint8Array {
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

function macsEqual(a: Uint8Array, b: Uint8Array): boolean {
  return a.byteLength === b.byteLength && timingSafeEqual(a, b);
}

function socketError(socket: PeerSocket<PeerMessage>): LinkError {
  return socket.error ?? {kind: 'closed', code: 0};
}
