/** When a request is passed on to another instance, and when it is refused. */
import test from 'ava';
import fc from 'fast-check';
import {ReachState} from '../instance/server_reach.js';
import {adviseRelay, type RelaySituation} from './relay_advice.js';

const SITUATION: RelaySituation = {
  reach: ReachState.CutOff,
  isSilent: true,
  wasUnsent: false,
  hasHelper: true,
  knowsHelpers: true,
  isRelayed: false,
  attemptsLeft: 2,
};

function adviceFor(changes: Partial<RelaySituation>): string {
  return adviseRelay({...SITUATION, ...changes}).kind;
}

test('a cut-off instance passes requests on, or refuses them without a helper', t => {
  t.is(adviceFor({}), 'relay');
  t.is(adviceFor({hasHelper: false}), 'refuse');
  t.is(adviceFor({attemptsLeft: 0}), 'refuse');
});

test('connections that live on serve only what nobody else takes', t => {
  const live = {isSilent: false};
  t.is(adviceFor(live), 'relay');
  t.is(adviceFor({...live, hasHelper: false}), 'stay');
  t.is(adviceFor({...live, hasHelper: false, wasUnsent: true}), 'stay');
  t.is(adviceFor({...live, isRelayed: true}), 'stay');
  t.is(adviceFor({...live, isRelayed: true, wasUnsent: true}), 'refuse');
});

test('nothing is refused before the others were asked, but what they pass on', t => {
  const early = {hasHelper: false, knowsHelpers: false};
  t.is(adviceFor(early), 'stay');
  t.is(adviceFor({...early, isRelayed: true}), 'refuse');
});

test('a mere suspicion passes requests on, and refuses only what was passed on', t => {
  const suspected = {reach: ReachState.Suspected};
  t.is(adviceFor({...suspected, isRelayed: true}), 'refuse');
  t.is(adviceFor({...suspected, isRelayed: true, isSilent: false}), 'stay');
  t.is(adviceFor(suspected), 'relay');
  t.is(adviceFor({...suspected, isSilent: false}), 'stay');
  t.is(adviceFor({...suspected, hasHelper: false}), 'stay');
});

test('a request is passed on once at most, and never where servers are reached', t => {
  const situations = fc.record({
    reach: fc.constantFrom(...Object.values(ReachState)),
    isSilent: fc.boolean(),
    wasUnsent: fc.boolean(),
    hasHelper: fc.boolean(),
    knowsHelpers: fc.boolean(),
    isRelayed: fc.boolean(),
    attemptsLeft: fc.integer({min: 0, max: 3}),
  });
  fc.assert(
    fc.property(situations, situation => {
      const {kind} = adviseRelay(situation);
      if (situation.isRelayed) t.not(kind, 'relay');
      if (situation.reach === ReachState.Reached) t.is(kind, 'stay');
    }),
    {seed: 33},
  );
});
