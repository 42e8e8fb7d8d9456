/**
 * Tests of the lease and of acceptance in a simulated cell: whatever fails, no
 * process may serve with a revision older than an accepted one.
 */
import test from 'ava';
import fc from 'fast-check';
import {CellSimulation} from './cell_simulation.test_support.js';

const SEATS = 3;

/** A random event; `p` and `q` select processes by index. */
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

const processIndex = fc.nat({max: 11});
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
      p: processIndex,
    }),
  },
  fc.record({
    kind: fc.constant('suspend' as const),
    p: processIndex,
    ms: fc.integer({min: 1, max: 6000}),
  }),
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constantFrom(...(['link', 'cut', 'receive'] as const)),
      p: processIndex,
      q: processIndex,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('fault' as const),
      p: processIndex,
      fault: fc.constantFrom(
        ...(['none', 'down', 'answers_lost', 'stale'] as const),
      ),
    }),
  },
);

async function applyStep(
  simulation: CellSimulation,
  next: Step,
): Promise<void> {
  const at = (n: number) =>
    simulation.processes[n % simulation.processes.length]!;
  switch (next.kind) {
    case 'rounds':
      return runRounds(simulation, next.count);
    case 'advance':
      return simulation.advance(next.ms);
    case 'heal':
      simulation.processes.forEach(p => {
        p.isPaused = false;
        p.fault = 'none';
        p.releaseTableAnswers();
      });
      linkAll(simulation);
      return simulation.round();
    case 'renew':
      if (!at(next.p).isPaused) void at(next.p).renew();
      return;
    case 'beat':
      return at(next.p).sendHeartbeats();
    case 'change':
      if (!at(next.p).isPaused) simulation.change(at(next.p));
      return;
    case 'pause':
      at(next.p).isPaused = true;
      return;
    case 'resume':
      at(next.p).isPaused = false;
      return;
    case 'slow':
      at(next.p).isTableSlow = true;
      return;
    case 'release':
      return at(next.p).releaseTableAnswers();
    case 'restart': {
      const old = at(next.p);
      simulation.kill(old);
      return void simulation.start(old.seat, 1);
    }
    case 'duplicate':
      if (simulation.processes.length >= 2 * SEATS) return;
      return void simulation.start(at(next.p).seat, next.p % 2 ? 0.99 : 1.01);
    case 'suspend':
      at(next.p).suspendedMs += next.ms;
      return simulation.advance(next.ms);
    case 'link':
      return simulation.link(at(next.p), at(next.q));
    case 'cut':
      return simulation.cut(at(next.p), at(next.q));
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

async function startLinked(seats: number): Promise<CellSimulation> {
  const simulation = new CellSimulation(seats);
  linkAll(simulation);
  await runRounds(simulation, 4);
  return simulation;
}

async function runRounds(
  simulation: CellSimulation,
  count: number,
): Promise<void> {
  for (let i = 0; i < count; i += 1) await simulation.round();
}

function linkAll(simulation: CellSimulation): void {
  simulation.processes.forEach(a =>
    simulation.processes.forEach(b => {
      if (a !== b) simulation.link(a, b);
    }),
  );
}

test('no process serves without an accepted revision, whatever fails', async t => {
  let accepted = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 30, maxLength: 80}),
      async steps => {
        const simulation = await startLinked(SEATS);
        for (const next of steps) {
          await applyStep(simulation, next);
          await simulation.settle();
          const violation = simulation.violation();
          if (violation) throw new Error(violation);
        }
        accepted += simulation.accepted;
      },
    ),
    {seed: 5, numRuns: Number(process.env['RUNS'] ?? 300)},
  );
  t.log(`${accepted} accepted`);
  t.true(accepted > 100);
});

test('a confirmation lost in a restart does not count', async t => {
  const simulation = await startLinked(5);
  const [p0, p1, p2, p3, p4] = simulation.processes;
  [p1, p2, p3, p4].forEach(p => (p!.fault = 'down'));
  [p2, p3, p4].forEach(p => [p0, p1].forEach(q => simulation.cut(q!, p!)));
  simulation.change(p0!);
  await simulation.settle();
  p1!.receive(p0!);
  p1!.sendHeartbeats();
  await simulation.deliverAll();
  simulation.kill(p1!);
  const restarted = simulation.start(1, 1);
  restarted.fault = 'down';
  [p2, p3, p4].forEach(p => simulation.link(restarted, p!));
  await runRounds(simulation, 4);
  t.true(restarted.mayServe);
  // Seat 2 confirms too; with the old confirmation of seat 1 that would make a
  // majority.
  [restarted, p3, p4].forEach(p => simulation.cut(p2!, p!));
  simulation.link(p0!, p2!);
  await runRounds(simulation, 24);
  t.is(p2!.configuration.current().revision, 1);
  t.true(restarted.mayServe);
  t.is(restarted.configuration.current().revision, 0);
  t.is(simulation.accepted, 0);
});

test('a restarted instance has no vote until it has a proof', async t => {
  const simulation = await startLinked(3);
  const [p0, p1, p2] = simulation.processes;
  [p1, p2].forEach(p => (p!.fault = 'down'));
  [p0, p1].forEach(p => simulation.cut(p!, p2!));
  simulation.change(p0!);
  await runRounds(simulation, 20);
  t.is(simulation.accepted, 1);
  simulation.kill(p1!);
  const restarted = simulation.start(1, 1);
  restarted.fault = 'down';
  // The seat report of seat 0 arrives, but not its heartbeat and revision.
  simulation.link(restarted, p0!);
  restarted.receive(p0!);
  simulation.cut(restarted, p0!);
  simulation.link(restarted, p2!);
  await runRounds(simulation, 4);
  t.false(p2!.mayServe);
  t.false(restarted.mayServe);
  t.is(simulation.violation(), undefined);
});

test('a holder of a seat that too few peers know has no vote', async t => {
  const simulation = await startLinked(3);
  const [p0, p1, p2] = simulation.processes;
  [p1, p2].forEach(p => (p!.fault = 'down'));
  [p1, p2].forEach(p => simulation.cut(p0!, p!));
  const later = simulation.start(2, 1);
  simulation.link(later, p0!);
  await runRounds(simulation, 4);
  simulation.change(p0!);
  await runRounds(simulation, 24);
  t.is(later.configuration.current().revision, 1);
  t.true(p1!.mayServe, 'it has a majority with the earlier holder');
  t.is(simulation.accepted, 0);
});

test('the lease of an isolated or suspended instance ends', async t => {
  const simulation = await startLinked(3);
  const [p0, p1, p2] = simulation.processes;
  p2!.fault = 'down';
  [p0, p1].forEach(p => simulation.cut(p!, p2!));
  t.true(p2!.mayServe);
  await simulation.advance(4_100);
  t.false(p2!.mayServe);
  await simulation.round();
  p0!.isPaused = true;
  t.true(p0!.mayServe);
  p0!.suspendedMs += 4_100;
  await simulation.advance(4_100);
  t.false(p0!.mayServe, 'its monotonic clock was stopped');
});

test('all keep serving during an outage of the table, also a new instance', async t => {
  const simulation = await startLinked(3);
  simulation.change(simulation.processes[0]!);
  await runRounds(simulation, 2);
  simulation.processes.forEach(p => (p.fault = 'down'));
  await runRounds(simulation, 40);
  t.true(simulation.processes.every(p => p.mayServe));
  simulation.kill(simulation.processes[2]!);
  const restarted = simulation.start(2, 1);
  restarted.fault = 'down';
  linkAll(simulation);
  await runRounds(simulation, 4);
  t.true(restarted.mayServe);
  t.is(restarted.configuration.current().revision, 1);
});

for (const roundsBefore of [1, 20]) {
  test(`an earlier holder does not confirm for a later one, ${roundsBefore} rounds`, async t => {
    const simulation = await startLinked(3);
    const [p0, , p2] = simulation.processes;
    p2!.fault = 'down';
    // Only the table knows the later holder.
    const later = simulation.start(2, 1);
    await runRounds(simulation, roundsBefore);
    later.fault = 'down';
    simulation.change(p0!);
    await runRounds(simulation, 4);
    t.is(simulation.violation(), undefined);
    await runRounds(simulation, 20);
    t.is(simulation.accepted, 1);
    t.is(simulation.violation(), undefined);
  });
}

test('the leases of an isolated minority end', async t => {
  const simulation = await startLinked(5);
  const [p0, p1, p2, p3, p4] = simulation.processes;
  [p3, p4].forEach(p => {
    p!.fault = 'down';
    [p0, p1, p2].forEach(q => simulation.cut(p!, q!));
  });
  await runRounds(simulation, 15);
  t.true(p3!.mayServe);
  await runRounds(simulation, 2);
  t.false(p3!.mayServe);
  t.false(p4!.mayServe);
});

test('a peer with a newer revision does not confirm an older one', async t => {
  const simulation = await startLinked(3);
  const [p0, p1, p2] = simulation.processes;
  [p1, p2].forEach(p => (p!.fault = 'down'));
  [p0, p1].forEach(p => simulation.cut(p!, p2!));
  simulation.change(p0!);
  await runRounds(simulation, 8);
  t.is(p1!.configuration.current().revision, 1);
  [p0, p1].forEach(p => simulation.link(p!, p2!));
  p2!.sendHeartbeats();
  [p0, p1].forEach(p => {
    p!.receive(p2!);
    p!.receive(p2!);
    p!.sendHeartbeats();
    // Delivers the seat report and the heartbeat, but not the change.
    p2!.receive(p!);
    p2!.receive(p!);
    simulation.cut(p!, p2!);
  });
  await runRounds(simulation, 8);
  t.is(p2!.configuration.current().revision, 0);
  t.false(p2!.mayServe);
});

test('acceptance waits for peers that have just confirmed for an earlier holder', async t => {
  const simulation = await startLinked(5);
  const [p0, p1, p2, p3, p4] = simulation.processes;
  const main = [p0!, p3!, p4!];
  p2!.fault = 'down';
  main.forEach(p => [p1!, p2!].forEach(q => simulation.cut(p, q)));
  const later = simulation.start(2, 1);
  main.forEach(p => simulation.link(p, later));
  await runRounds(simulation, 24);
  t.true(later.membership.heartbeatStatus(later.clocks()).settled);
  t.true(p2!.mayServe, 'by the proofs that seat 1 relays');
  [...main, later].forEach(p => simulation.link(p, p1!));
  simulation.change(p0!);
  await runRounds(simulation, 6);
  t.is(p1!.configuration.current().revision, 1);
  t.is(simulation.violation(), undefined);
  await runRounds(simulation, 16);
  t.is(simulation.accepted, 1);
  t.is(simulation.violation(), undefined);
});

test('links of an earlier holder are refused once a later one is known', async t => {
  const simulation = await startLinked(3);
  const [p0, , p2] = simulation.processes;
  const later = simulation.start(2, 1);
  simulation.link(later, p0!);
  t.true(p0!.links.has(later));
  simulation.link(p2!, p0!);
  t.false(p0!.links.has(p2!));
  t.true(p0!.links.has(later));
});
