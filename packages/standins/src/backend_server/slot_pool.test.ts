import test from 'ava';
import {SlotPool, SlotOutcome} from './slot_pool.js';

const NEVER_ABORTED = new AbortController().signal;

test('slots are granted to waiters in order and none is lost', async t => {
  const slots = new SlotPool(1, 2);
  t.true(slots.tryAcquireSlot());
  const first = slots.waitForSlot(Infinity, NEVER_ABORTED);
  const second = slots.waitForSlot(Infinity, NEVER_ABORTED);
  t.is(await slots.waitForSlot(Infinity, NEVER_ABORTED), SlotOutcome.Refused);
  slots.releaseSlot(0);
  t.is(await first, SlotOutcome.Granted);
  t.is(slots.queuedCount, 1);
  slots.releaseSlot(0);
  t.is(await second, SlotOutcome.Granted);
  t.false(slots.tryAcquireSlot());
  slots.releaseSlot(0);
  t.true(slots.tryAcquireSlot());
});

test('expired waiters are skipped', async t => {
  const slots = new SlotPool(1, 2);
  slots.tryAcquireSlot();
  const expired = slots.waitForSlot(10, NEVER_ABORTED);
  const inTime = slots.waitForSlot(20, NEVER_ABORTED);
  slots.releaseSlot(10);
  t.is(await expired, SlotOutcome.Expired);
  t.is(await inTime, SlotOutcome.Granted);
});

test('a cancelled waiter leaves the queue and gets no slot', async t => {
  const slots = new SlotPool(1, 1);
  const cancel = new AbortController();
  slots.tryAcquireSlot();
  const cancelled = slots.waitForSlot(Infinity, cancel.signal);
  cancel.abort();
  t.is(await cancelled, SlotOutcome.Cancelled);
  t.is(slots.queuedCount, 0);
  slots.releaseSlot(0);
  t.true(slots.tryAcquireSlot());
});
