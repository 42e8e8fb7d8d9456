/** Outcome of a change when responses are lost. */
import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {errAsync, okAsync} from 'neverthrow';
import {operatorRpc as rpc} from '@ragworthall/contracts';
import type {ClientError} from './client_error.js';
import type {Answer} from './operator_client.js';
import {retryUntilResolved, type Outcome} from './change_resolution.js';

const message = 'test';
const storeUnavailable: Outcome = {
  case: 'storeUnavailable',
  value: create(rpc.StoreUnavailableSchema, {retryAfterMs: 1}),
};
const accepted: Outcome = {
  case: 'accepted',
  value: create(rpc.AcceptedSchema, {revision: 2n}),
};

/** Resolves a change whose calls get these answers in turn; then aborts. */
async function resolve(...answers: (Outcome | ClientError['kind'])[]) {
  const controller = new AbortController();
  const call = (): Answer<rpc.ChangeResponse> => {
    const next = answers.shift();
    if (answers.length === 0) controller.abort();
    if (typeof next === 'object') {
      return okAsync(create(rpc.ChangeResponseSchema, {outcome: next}));
    }
    return errAsync({kind: next ?? 'refused', message, problems: []});
  };
  return retryUntilResolved(call, controller.signal, () => undefined);
}

test('a first call that cannot reach the server or the store is not retried', async t => {
  t.like(await resolve('unreachable', accepted), {kind: 'failed'});
  t.like(await resolve(storeUnavailable, accepted), {
    kind: 'outcome',
    outcome: storeUnavailable,
  });
});

test('after a lost response, unreachable servers and stores are retried until an outcome', async t => {
  const resolved = await resolve(
    'interrupted',
    'unreachable',
    storeUnavailable,
    accepted,
  );
  t.like(resolved, {kind: 'outcome', outcome: accepted});
  const aborted = await resolve('interrupted', 'unreachable');
  t.like(aborted, {kind: 'timed_out', uncertain: true});
});

test('an instance that lacks the base revision is retried and the change is not uncertain', async t => {
  t.like(await resolve('behind'), {kind: 'timed_out', uncertain: false});
});
