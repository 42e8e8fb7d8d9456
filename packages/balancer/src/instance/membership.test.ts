import test from 'ava';
import fc from 'fast-check';
import {CellWorld} from './cell_simulation.test_support.js';

const SEATS = 3;

/** What may happen; `p` and `q` choose processes. */
type Step =
  | {readonly kind: 'rounds'; readonly count: number}
  | {readonly kind: 'advance'; readonly ms: number}
  | {readonly kind: 'heal'}
  | {
      readonly kind:
        | 'renew'
        | 'beat'
        | 'change'
        | 'pause'
        | 'resume'
        | 'slow'
        | 'release'
        | 'restart'
        | 'duplicate';
      readonly p: number;
    }
  | {readonly kind: 'suspend'; readonly p: number; readonly ms: number}
  | {
      readonly kind: 'link' | 'cut' | 'receive';
      readonly p: number;
      readonly q: number;
    }
  | {
      readonly kind: 'fault';
      readonly p: number;
      readonly fault: 'none' | 'down' | 'answers_lost' | 'stale';
    };

const who = fc.nat({max: 11});
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('rounds' as const),
      count: fc.integer({min: 1, max: 18}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.integer({min: 1, max: 4500}),
    }),
  },
  {weight: 4, arbitrary: fc.constant({kind: 'heal'} as const)},
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        ...(['change', 'change', 'change', 'change'] as const),
        ...(['renew', 'beat', 'pause', 'resume'] as const),
        ...(['slow', 'release', 'restart', 'duplicate'] as const),
      ),
      p: who,
    }),
  },
  fc.record({
    kind: fc.constant('suspend' as const),
    p: who,
    ms: fc.integer({min: 1, max: 6000}),
  }),
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constantFrom(...(['link', 'cut', 'receive'] as const)),
      p: who,
      q: who,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('fault' as const),
      p: who,
      fault: fc.constantFrom(
        ...(['none', 'down', 'answers_lost', 'stale'] as const),
      ),
    }),
  },
);

async function take(world: CellWorld, next: Step): Promise<void> {
  const at = (n: number) => world.processes[n % world.processes.length]!;
  switch (next.kind) {
    case 'rounds':
      return rounds(world, next.count);
    case 'advance':
      return world.advance(next.ms);
    case 'heal':
      world.processes.forEach(p => {
        p.isPaused = false;
        p.fault = 'none';
        p.release();
      });
      linkAll(world);
      return world.round();
    case 'renew':
      if (!at(next.p).isPaused) void at(next.p).renew();
      return;
    case 'beat':
      return at(next.p).beatAll();
    case 'change':
      if (!at(next.p).isPaused) world.change(at(next.p));
      return;
    case 'pause':
      at(next.p).isPaused = true;
      return;
    case 'resume':
      at(next.p).isPaused = false;
      return;
    case 'slow':
      at(next.p).isSlow = true;
      return;
    case 'release':
      return at(next.p).release();
    case 'restart': {
      const old = at(next.p);
      world.kill(old);
      return void world.start(old.seat, 1);
    }
    case 'duplicate':
      if (world.processes.length >= 2 * SEATS) return;
      return void world.start(at(next.p).seat, next.p % 2 ? 0.99 : 1.01);
    case 'suspend':
      at(next.p).suspendedMs += next.ms;
      return world.advance(next.ms);
    case 'link':
      return world.link(at(next.p), at(next.q));
    case 'cut':
      return world.cut(at(next.p), at(next.q));
    case 'receive':
      if (!at(next.p).isPaused) at(next.p).receive(at(next.q));
      return;
    case 'fault':
      at(next.p).fault = next.fault;
      return;
    default:
      throw new Error(`unexpected step: ${next satisfies never}`);
  }
}

async function startLinked(seats: number): Promise<CellWorld> {
  const world = new CellWorld(seats);
  linkAll(world);
  await rounds(world, 4);
  return world;
}

async function rounds(world: CellWorld, count: number): Promise<void> {
  for (let i = 0; i < count; i += 1) await world.round();
}

function linkAll(world: CellWorld): void {
  world.processes.forEach(a =>
    world.processes.forEach(b => {
      if (a !== b) world.link(a, b);
    }),
  );
}

test('what was accepted binds all that serve, whatever fails', async t => {
  let accepted = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 30, maxLength: 80}),
      async steps => {
        const world = await startLinked(SEATS);
        for (const next of steps) {
          await take(world, next);
          await world.calm();
          const violation = world.violation();
          if (violation) throw new Error(violation);
        }
        accepted += world.accepted;
      },
    ),
    {seed: 5, numRuns: Number(process.env['RUNS'] ?? 300)},
  );
  t.log(`${accepted} accepted`);
  t.true(accepted > 100);
});

test('a confirmation that a restart has wiped out does not count', async t => {
  const world = await startLinked(5);
  const [p0, p1, p2, p3, p4] = world.processes;
  [p1, p2, p3, p4].forEach(p => (p!.fault = 'down'));
  [p2, p3, p4].forEach(p => [p0, p1].forEach(q => world.cut(q!, p!)));
  world.change(p0!);
  await world.calm();
  p1!.receive(p0!);
  p1!.beatAll();
  await world.deliverAll();
  world.kill(p1!);
  const again = world.start(1, 1);
  again.fault = 'down';
  [p2, p3, p4].forEach(p => world.link(again, p!));
  await rounds(world, 4);
  t.true(again.mayServe);
  // Seat 2 confirms too: with seat 1 it would be a majority.
  [again, p3, p4].forEach(p => world.cut(p2!, p!));
  world.link(p0!, p2!);
  await rounds(world, 24);
  t.is(p2!.keeper.current().revision, 1);
  t.true(again.mayServe);
  t.is(again.keeper.current().revision, 0);
  t.is(world.accepted, 0);
});

test('a restarted instance has no vote before it has a proof', async t => {
  const world = await startLinked(3);
  const [p0, p1, p2] = world.processes;
  [p1, p2].forEach(p => (p!.fault = 'down'));
  [p0, p1].forEach(p => world.cut(p!, p2!));
  world.change(p0!);
  await rounds(world, 20);
  t.is(world.accepted, 1);
  world.kill(p1!);
  const again = world.start(1, 1);
  again.fault = 'down';
  // It learns that seat 0 knows it, and not what seat 0 has in force.
  world.link(again, p0!);
  again.receive(p0!);
  world.cut(again, p0!);
  world.link(again, p2!);
  await rounds(world, 4);
  t.false(p2!.mayServe);
  t.false(again.mayServe);
  t.is(world.violation(), undefined);
});

test('of two holders of a seat, one that few know has no vote', async t => {
  const world = await startLinked(3);
  const [p0, p1, p2] = world.processes;
  [p1, p2].forEach(p => (p!.fault = 'down'));
  [p1, p2].forEach(p => world.cut(p0!, p!));
  const later = world.start(2, 1);
  world.link(later, p0!);
  await rounds(world, 4);
  world.change(p0!);
  await rounds(world, 24);
  t.is(later.keeper.current().revision, 1);
  t.true(p1!.mayServe, 'with the earlier holder it is a majority');
  t.is(world.accepted, 0);
});

test('an instance cut off from all ends its lease, also in its sleep', async t => {
  const world = await startLinked(3);
  const [p0, p1, p2] = world.processes;
  p2!.fault = 'down';
  [p0, p1].forEach(p => world.cut(p!, p2!));
  t.true(p2!.mayServe);
  await world.advance(4_100);
  t.false(p2!.mayServe);
  await world.round();
  p0!.isPaused = true;
  t.true(p0!.mayServe);
  p0!.suspendedMs += 4_100;
  await world.advance(4_100);
  t.false(p0!.mayServe, 'its monotonic clock stood still');
});

test('all serve on through an outage, and a new instance with them', async t => {
  const world = await startLinked(3);
  world.change(world.processes[0]!);
  await rounds(world, 2);
  world.processes.forEach(p => (p.fault = 'down'));
  await rounds(world, 40);
  t.true(world.processes.every(p => p.mayServe));
  world.kill(world.processes[2]!);
  const again = world.start(2, 1);
  again.fault = 'down';
  linkAll(world);
  await rounds(world, 4);
  t.true(again.mayServe);
  t.is(again.keeper.current().revision, 1);
});

for (const roundsBefore of [1, 20]) {
  test(`an earlier holder does not confirm for a later one, ${roundsBefore}`, async t => {
    const world = await startLinked(3);
    const [p0, , p2] = world.processes;
    p2!.fault = 'down';
    // It is known to the table alone.
    const later = world.start(2, 1);
    await rounds(world, roundsBefore);
    later.fault = 'down';
    world.change(p0!);
    await rounds(world, 4);
    t.is(world.violation(), undefined);
    await rounds(world, 20);
    t.is(world.accepted, 1);
    t.is(world.violation(), undefined);
  });
}

test('a minority that is cut off does not keep itself alive', async t => {
  const world = await startLinked(5);
  const [p0, p1, p2, p3, p4] = world.processes;
  [p3, p4].forEach(p => {
    p!.fault = 'down';
    [p0, p1, p2].forEach(q => world.cut(p!, q!));
  });
  await rounds(world, 15);
  t.true(p3!.mayServe);
  await rounds(world, 2);
  t.false(p3!.mayServe);
  t.false(p4!.mayServe);
});

test('a peer that has a newer revision confirms nothing', async t => {
  const world = await startLinked(3);
  const [p0, p1, p2] = world.processes;
  [p1, p2].forEach(p => (p!.fault = 'down'));
  [p0, p1].forEach(p => world.cut(p!, p2!));
  world.change(p0!);
  await rounds(world, 8);
  t.is(p1!.keeper.current().revision, 1);
  [p0, p1].forEach(p => world.link(p!, p2!));
  p2!.beatAll();
  [p0, p1].forEach(p => {
    p!.receive(p2!);
    p!.receive(p2!);
    p!.beatAll();
    // What is known of the seats, and the heartbeat; not the change.
    p2!.receive(p!);
    p2!.receive(p!);
    world.cut(p!, p2!);
  });
  await rounds(world, 8);
  t.is(p2!.keeper.current().revision, 0);
  t.false(p2!.mayServe);
});

test('a peer that has just confirmed for an earlier holder is waited for', async t => {
  const world = await startLinked(5);
  const [p0, p1, p2, p3, p4] = world.processes;
  const main = [p0!, p3!, p4!];
  p2!.fault = 'down';
  main.forEach(p => [p1!, p2!].forEach(q => world.cut(p, q)));
  const later = world.start(2, 1);
  main.forEach(p => world.link(p, later));
  await rounds(world, 24);
  t.true(later.membership.heartbeatStatus(later.at()).settled);
  t.true(p2!.mayServe, 'by what seat 1 relays');
  [...main, later].forEach(p => world.link(p, p1!));
  world.change(p0!);
  await rounds(world, 6);
  t.is(p1!.keeper.current().revision, 1);
  t.is(world.violation(), undefined);
  await rounds(world, 16);
  t.is(world.accepted, 1);
  t.is(world.violation(), undefined);
});

test('an earlier holder of a seat is refused once a later one is known', async t => {
  const world = await startLinked(3);
  const [p0, , p2] = world.processes;
  const later = world.start(2, 1);
  world.link(later, p0!);
  t.true(p0!.links.has(later));
  world.link(p2!, p0!);
  t.false(p0!.links.has(p2!));
  t.true(p0!.links.has(later));
});
