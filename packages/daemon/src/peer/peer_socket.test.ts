import test from 'ava';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {PEER_CODEC} from './message.js';
import {PeerSocket} from './peer_socket.js';

const NEVER_ABORTED = new AbortController().signal;
const MAX_BYTES = 1_024;

/** Returns an address on which nothing listens, since its server was closed. */
async function unusedAddress(): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
}

test('a refused connection ends the socket, and receive() resolves', async t => {
  const address = await unusedAddress();
  using socket = await PeerSocket.dial(
    address,
    PEER_CODEC,
    MAX_BYTES,
    NEVER_ABORTED,
  );
  t.is(await socket.receive(), undefined);
  t.deepEqual(socket.error, {kind: 'unreachable', detail: 'ECONNREFUSED'});
});

test('a connection reset during receive() ends the socket', async t => {
  const server = createServer(s => s.resetAndDestroy()).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  using socket = await PeerSocket.dial(
    address,
    PEER_CODEC,
    MAX_BYTES,
    NEVER_ABORTED,
  );
  t.is(await socket.receive(), undefined);
  t.is(socket.error?.kind, 'unreachable');
  server.close();
});
