import test from 'ava';
import {CellWorld} from './cell_simulation.test_support.js';

test('a proof from before it was known gives a later holder no vote', async t => {
  const world = new CellWorld(5);
  const rounds = async (count: number) => {
    for (let i = 0; i < count; i += 1) await world.round();
  };
  world.processes.forEach(a =>
    world.processes.forEach(b => {
      if (a !== b) world.link(a, b);
    }),
  );
  await rounds(4);
  const [p0, p1, p2, p3, earlier] = world.processes;
  earlier!.fault = 'down';
  [p2, p3].forEach(p => [p0, p1, earlier].forEach(q => world.cut(p!, q!)));
  const later = world.start(4, 1);
  [p2, p3].forEach(p => world.link(later, p!));
  await rounds(3);
  t.true(later.mayServe);
  [p2, p3, later].forEach(p => (p!.fault = 'down'));
  world.change(p0!);
  await rounds(24);
  t.is(world.accepted, 1);
  t.is(world.violation(), undefined);
  // It learns that seat 1 knows it, and not what seat 1 has in force.
  world.link(later, p1!);
  later.receive(p1!);
  world.cut(later, p1!);
  await rounds(4);
  t.is(world.violation(), undefined);
});
