/**
 * Guards against a vote by an instance that took over a seat, got its proof
 * before enough peers knew it, and learns of its peers' knowledge later: the
 * proof may predate a revision that the earlier holder confirmed.
 */
import test from 'ava';
import {CellSimulation} from './cell_simulation.test_support.js';

test('a proof from before a later holder was witnessed gives it no vote', async t => {
  const simulation = new CellSimulation(5);
  const rounds = async (count: number) => {
    for (let i = 0; i < count; i += 1) await simulation.round();
  };
  simulation.processes.forEach(a =>
    simulation.processes.forEach(b => {
      if (a !== b) simulation.link(a, b);
    }),
  );
  await rounds(4);
  const [p0, p1, p2, p3, earlier] = simulation.processes;
  earlier!.fault = 'down';
  [p2, p3].forEach(p => [p0, p1, earlier].forEach(q => simulation.cut(p!, q!)));
  const later = simulation.start(4, 1);
  [p2, p3].forEach(p => simulation.link(later, p!));
  await rounds(3);
  t.true(later.mayServe);
  [p2, p3, later].forEach(p => (p!.fault = 'down'));
  simulation.change(p0!);
  await rounds(24);
  t.is(simulation.accepted, 1);
  t.is(simulation.violation(), undefined);
  // The seat report of seat 1 arrives, but not its heartbeat and revision.
  simulation.link(later, p1!);
  later.receive(p1!);
  simulation.cut(later, p1!);
  await rounds(4);
  t.is(simulation.violation(), undefined);
});
