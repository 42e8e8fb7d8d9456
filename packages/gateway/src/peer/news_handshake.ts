/**
 * The start of a link for news: its ends prove to each other that they are
 * instances. The listener names itself, the source proves itself and asks for the
 * listener's proof. Builds before the proofs send and get none.
 */
import {
  type PeerSocket,
  settlesWithin,
  SETUP_TIMEOUT_MS,
} from '@ragworthall/daemon';
import {
  createNonce,
  type InstanceKeys,
  isProved,
  ProofKind,
  prove,
} from './instance_keys.js';
import {NEWS_FORMAT, type NewsMessage} from './news_message.js';

/** The message by which an instance subscribes. */
export type ListenMessage = Extract<NewsMessage, {kind: 'listen'}>;

/**
 * Subscribes to a source; resolves with whether it has proved itself. The socket
 * has ended if not.
 *
 * @param key Key of the source; undefined if its build is one before the proofs.
 */
export async function subscribe(
  socket: PeerSocket<NewsMessage>,
  listener: {readonly instance: string; readonly givesRows: boolean},
  key: string | undefined,
): Promise<boolean> {
  const format = NEWS_FORMAT;
  const listen = {kind: 'listen', format, ...listener} as const;
  if (key === undefined) return socket.send(listen);
  const nonce = createNonce();
  if (!socket.send({...listen, nonce})) return false;
  // The source may have to read its key first.
  const challenge = await receiveInTime(socket, 2 * SETUP_TIMEOUT_MS);
  if (!challenge) return false;
  if (challenge.kind !== 'challenge') return endUnproven(socket);
  const fields = [listener.instance, nonce, challenge.nonce];
  if (!isProved(key, ProofKind.Source, fields, challenge.proof)) {
    return endUnproven(socket);
  }
  const proof = prove(key, ProofKind.Listener, fields);
  return socket.send({kind: 'proof', format, proof});
}

/**
 * Receives the subscription of another instance; undefined if the other end has
 * not proved itself. The socket has ended then.
 *
 * @param acceptsUnproven Whether it may be of a build before the proofs.
 */
export async function acceptListener(
  socket: PeerSocket<NewsMessage>,
  keys: InstanceKeys,
  acceptsUnproven: boolean,
): Promise<ListenMessage | undefined> {
  const listen = await receiveInTime(socket);
  if (!listen) return undefined;
  const isProven =
    listen.kind === 'listen' &&
    (listen.nonce === undefined
      ? acceptsUnproven
      : await challengeListener(socket, keys, listen.instance, listen.nonce));
  if (isProven) return listen;
  endUnproven(socket);
  return undefined;
}

async function challengeListener(
  socket: PeerSocket<NewsMessage>,
  keys: InstanceKeys,
  instance: string,
  nonce: string,
): Promise<boolean> {
  // After a restart the listener knows the key that this instance has yet to read.
  if (!(await settlesWithin(keys.settled, SETUP_TIMEOUT_MS))) {
    // Nothing is known of the listener.
    socket.end({kind: 'disposed'});
    return false;
  }
  const own = createNonce();
  const fields = [instance, nonce, own];
  socket.send({
    kind: 'challenge',
    format: NEWS_FORMAT,
    nonce: own,
    proof: prove(keys.current, ProofKind.Source, fields),
  });
  const answer = await receiveInTime(socket);
  return (
    answer?.kind === 'proof' &&
    keys.accepts(ProofKind.Listener, fields, answer.proof)
  );
}

/** Waits for the next message; undefined if none that is known comes in time. */
async function receiveInTime(
  socket: PeerSocket<NewsMessage>,
  limitMs = SETUP_TIMEOUT_MS,
): Promise<NewsMessage | undefined> {
  const timer = setTimeout(
    () => socket.end({kind: 'silent', limitMs}),
    limitMs,
  );
  let received = await socket.receive();
  while (received?.kind === 'unknown') received = await socket.receive();
  clearTimeout(timer);
  return received?.message;
}

function endUnproven(socket: PeerSocket<NewsMessage>): false {
  socket.end({kind: 'unproven'});
  return false;
}
