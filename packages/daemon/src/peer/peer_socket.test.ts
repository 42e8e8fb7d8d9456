import test from 'ava';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {PEER_CODEC} from './message.js';
import {PeerSocket} from './peer_socket.js';

const NEVER = new AbortController().signal;
const MAX_BYTES = 1_024;

/** An address at which nothing listens any longer. */
async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
}

test('a socket to an address that refuses ends, and reads to its end', async t => {
  const address = await freeAddress();
  using socket = await PeerSocket.dial(address, PEER_CODEC, MAX_BYTES, NEVER);
  t.is(await socket.receive(), undefined);
  t.deepEqual(socket.error, {kind: 'unreachable', detail: 'ECONNREFUSED'});
});

test('a socket that is reset while it is read ends', async t => {
  const server = createServer(s => s.resetAndDestroy()).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  using socket = await PeerSocket.dial(address, PEER_CODEC, MAX_BYTES, NEVER);
  t.is(await socket.receive(), undefined);
  t.is(socket.error?.kind, 'unreachable');
  server.close();
});
