/** Truth about a change whose answers are lost. */
import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {errAsync, okAsync} from 'neverthrow';
import {operatorRpc as rpc} from '@ragworthall/contracts';
import type {ClientError} from './client_error.js';
import type {Answer} from './operator_client.js';
import {retryUntilResolved, type Outcome} from './change_resolution.js';

const message = 'test';
const down: Outcome = {
  case: 'storeUnavailable',
  value: create(rpc.StoreUnavailableSchema, {retryAfterMs: 1}),
};
const accepted: Outcome = {
  case: 'accepted',
  value: create(rpc.AcceptedSchema, {revision: 2n}),
};

/** Gives the answers in turn, then aborts. */
async function settled(...answers: (Outcome | ClientError['kind'])[]) {
  const end = new AbortController();
  const call = (): Answer<rpc.ChangeResponse> => {
    const next = answers.shift();
    if (answers.length === 0) end.abort();
    if (typeof next === 'object') {
      return okAsync(create(rpc.ChangeResponseSchema, {outcome: next}));
    }
    return errAsync({kind: next ?? 'refused', message, problems: []});
  };
  return retryUntilResolved(call, end.signal, () => undefined);
}

test('an unreachable server or store has changed nothing at first', async t => {
  t.like(await settled('unreachable', accepted), {kind: 'failed'});
  t.like(await settled(down, accepted), {kind: 'outcome', outcome: down});
});

test('after a lost answer nothing but an outcome is believed', async t => {
  const found = await settled('interrupted', 'unreachable', down, accepted);
  t.like(found, {kind: 'outcome', outcome: accepted});
  const open = await settled('interrupted', 'unreachable');
  t.like(open, {kind: 'timed_out', uncertain: true});
});

test('an instance behind the base is asked again, nothing is uncertain', async t => {
  t.like(await settled('behind'), {kind: 'timed_out', uncertain: false});
});
