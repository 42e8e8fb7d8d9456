import {
  type Call,
  Cell,
  type CallResult,
  incarnationOf,
  RefusalReason,
  refusedOutcomeUnknown,
} from '@ragworthall/balancer';
import {
  MemoryTable,
  type TableFault,
} from '@ragworthall/balancer/dist/platform/memory_table.js';
import {serviceSchema} from '@ragworthall/contracts';
import test from 'ava';
import {once} from 'node:events';
import {WebSocket} from 'ws';
import {shakeHands} from './handshake.js';
import {PEER_CODEC} from './message.js';
import {PeerSocket} from './peer_socket.js';
import {CLOCK, TestInstance, until} from './peers.test_support.js';

const NEVER = new AbortController().signal;
const SECRET = 'the secret of the test';
const SERVICE = serviceSchema.parse({
  member: 'm',
  name: 's',
  backendServers: Array.from({length: 8}, (unused, i) => ({
    id: `b${i}`,
    address: `127.0.0.1:${9000 + i}`,
    failureDomain: 'd0',
    slots: 2,
  })),
  contracts: [
    {
      name: 'read',
      method: 'GET',
      path: '/x',
      rank: 2,
      idempotent: true,
      deadlineMs: 1000,
      targetMs: 100,
    },
  ],
  owners: 2,
});
/** An address on which no other test listens, so that a port stays free. */
const ALONE = '127.0.0.83';
const PUT = {
  operationId: 'op1',
  by: 'm',
  baseRevision: 0,
  changes: [{kind: 'put', service: SERVICE}],
} as const;

function callWith(body: Uint8Array): Call {
  return {
    id: 'c1',
    serviceId: 'm/s',
    contract: SERVICE.contracts[0]!,
    rank: 2,
    method: 'GET',
    path: '/x',
    headers: ['a', 'b'],
    body,
    deadline: CLOCK.now() + 5_000,
    retriesLeft: 1,
    depth: 0,
    fingerprint: 'f',
  };
}

function startAll(table: MemoryTable, fault?: () => TableFault) {
  const start = (seat: number) =>
    TestInstance.start({seat, seats: 3, table: table.client(fault)});
  return Promise.all([0, 1, 2].map(start));
}

async function disposeAll(all: readonly AsyncDisposable[]): Promise<void> {
  await Promise.all(all.map(one => one[Symbol.asyncDispose]()));
}

/** Shakes hands as the holder of seat 2, and is then as the test wants. */
async function dialAsStranger(address: string, secret = SECRET) {
  const identity = {
    id: 'i2',
    incarnation: incarnationOf(Date.now(), 'x'),
    failureDomain: 'd2',
    cell: 'test',
    seat: 2,
    seats: 3,
    startedAt: 0,
  };
  const cell = new Cell(identity, {
    instance: 'i2',
    incarnation: identity.incarnation,
    failureDomain: 'd2',
    peerAddress: '127.0.0.1:1',
    callerUrl: '',
  });
  const socket = await PeerSocket.dial(address, PEER_CODEC, 65_536, NEVER);
  const shaken = await shakeHands(socket, 'dialler', cell, secret);
  return {socket, shaken};
}

test('a change is in force at all instances, and a new one learns it', async t => {
  const table = new MemoryTable();
  let fault: TableFault = 'none';
  const all = await startAll(table, () => fault);
  await until(() => all.every(i => i.peers.standing(CLOCK.now()).settled));
  const outcome = await all[1]!.keeper.submit(PUT, NEVER);
  t.deepEqual(outcome, {kind: 'accepted', revision: 1});
  t.true(all.every(i => i.keeper.current().revision === 1));
  fault = 'down';
  await all.pop()![Symbol.asyncDispose]();
  const seeds = all.map(i => i.peers.address);
  const down = table.client(() => fault);
  const late = await TestInstance.start({
    seat: 2,
    seats: 3,
    table: down,
    seeds,
  });
  await until(() => late.peers.mayServe(CLOCK.now()));
  t.is(late.keeper.current().revision, 1);
  await disposeAll([...all, late]);
});

test('each backend server has one owner, and a lost owner is replaced', async t => {
  const all = await startAll(new MemoryTable());
  await until(() => all.every(i => i.peers.standing(CLOCK.now()).settled));
  await all[0]!.keeper.submit(PUT, NEVER);
  const isCovered = (instances: readonly TestInstance[]) =>
    SERVICE.backendServers.every(({id}) => {
      const own = instances.filter(i =>
        i.peers.ownership('m/s', CLOCK.now()).isOwn(id),
      );
      return own.length === 1;
    });
  await until(() => isCovered(all));
  const {owners} = all[0]!.peers.ownership('m/s', CLOCK.now());
  t.is(owners.length, 2);
  const lost = all.find(i => i.peers.membership.identity.id === owners[0])!;
  await lost.peers[Symbol.asyncDispose]();
  const rest = all.filter(i => i !== lost);
  await until(() => isCovered(rest));
  const addresses = rest[0]!.peers.addresses('m/s', CLOCK.now());
  t.is(addresses.length, 2);
  await disposeAll(all);
});

test('a forwarded call has the result of the other instance', async t => {
  const table = new MemoryTable().client();
  let seen: Call | undefined;
  let end = (unusedResult: CallResult) => {};
  const forwarded = (call: Call) => {
    seen = call;
    return new Promise<CallResult>(resolve => (end = resolve));
  };
  const a = await TestInstance.start({seat: 0, seats: 2, table, forwarded});
  const b = await TestInstance.start({seat: 1, seats: 2, table});
  await until(() => b.peers.linkTo('i0') !== undefined);
  const link = b.peers.linkTo('i0')!;
  const call = callWith(Buffer.from('body'));
  const first = link.forward(call, 'owner', 5_000, NEVER);
  await until(() => seen !== undefined);
  t.deepEqual({...seen, deadline: 0}, {...call, deadline: 0, key: undefined});
  const result = refusedOutcomeUnknown(RefusalReason.ConnectionLost);
  end(result);
  t.like(await first, {kind: 'result', result: {reason: result.reason}});
  const second = link.forward(call, 'owner', 5_000, NEVER);
  await a.peers[Symbol.asyncDispose]();
  t.is((await second).kind, 'lost');
  t.is((await link.forward(call, 'owner', 9, NEVER)).kind, 'not_sent');
  await disposeAll([a, b]);
});

test('a message over the limit ends the link', async t => {
  const table = new MemoryTable().client();
  const a = await TestInstance.start({seat: 0, seats: 2, table});
  const b = await TestInstance.start({seat: 1, seats: 2, table});
  await until(() => b.peers.linkTo('i0') !== undefined);
  const link = b.peers.linkTo('i0')!;
  const call = callWith(new Uint8Array(8_000_000));
  t.is((await link.forward(call, 'owner', 5_000, NEVER)).kind, 'lost');
  await until(() => a.refusals.some(err => err.kind === 'too_large'));
  await until(() => b.peers.linkTo('i0') !== undefined);
  t.pass();
  await disposeAll([a, b]);
});

test('a stranger without the secret is refused', async t => {
  const table = new MemoryTable().client();
  await using a = await TestInstance.start({seat: 0, seats: 3, table});
  const {shaken} = await dialAsStranger(a.peers.address, 'another secret');
  t.true(shaken.isErr());
  await until(() => a.refusals.some(err => err.kind === 'wrong_secret'));
  t.is(a.peers.linkTo('i2'), undefined);
});

test('what is no message ends the connection', async t => {
  const table = new MemoryTable().client();
  await using a = await TestInstance.start({seat: 0, seats: 3, table});
  const ws = new WebSocket(`ws://${a.peers.address}`);
  await once(ws, 'open');
  ws.send(Buffer.from([0xc1, 0xff]));
  await once(ws, 'close');
  t.is(a.refusals[0]?.kind, 'malformed');
});

test('a message of a later version is ignored', async t => {
  const table = new MemoryTable().client();
  await using a = await TestInstance.start({seat: 0, seats: 3, table});
  const {socket} = await dialAsStranger(a.peers.address);
  await until(() => a.peers.linkTo('i2') !== undefined);
  socket.send({kind: 'of a later version'} as never);
  await until(() => a.ignored.length > 0);
  t.deepEqual(a.ignored, ['of a later version']);
  t.not(a.peers.linkTo('i2'), undefined);
  socket[Symbol.dispose]();
});

test('a link that has gone silent is given up', async t => {
  const table = new MemoryTable().client();
  await using a = await TestInstance.start({seat: 0, seats: 3, table});
  const {socket} = await dialAsStranger(a.peers.address);
  await until(() => a.peers.linkTo('i2') !== undefined);
  await until(() => a.peers.linkTo('i2') === undefined);
  t.is(a.refusals[0]?.kind, 'silent');
  socket[Symbol.dispose]();
});

test('an address is dialled again until an instance is there', async t => {
  const table = new MemoryTable();
  const first = await TestInstance.start({
    seat: 0,
    seats: 2,
    table: table.client(),
    host: ALONE,
  });
  const seeds = [first.peers.address];
  await first[Symbol.asyncDispose]();
  const down = table.client(() => 'down');
  const b = await TestInstance.start({seat: 1, seats: 2, table: down, seeds});
  await until(() => b.refusals.length >= 2);
  t.true(b.refusals.every(err => err.kind === 'unreachable'));
  const port = Number(seeds[0]!.split(':')[1]);
  const a = await TestInstance.start({
    seat: 0,
    seats: 2,
    table: down,
    host: ALONE,
    port,
  });
  await until(() => b.peers.linkTo('i0') !== undefined);
  await disposeAll([a, b]);
});
