/** Tests of the admission of calls by their member's share. */
import {type ConfigurationService, MemberShares} from '@ragworthall/balancer';
import type {Configuration, ServiceConfig} from '@ragworthall/contracts';
import test from 'ava';
import {MemberAdmissionController} from './member_admission_controller.js';

const CALLS = 12;

test('calls with unknown member names do not use the share of a member', t => {
  const service = {member: 'altamar', name: 'grids'} as ServiceConfig;
  const cfg: Configuration = {
    revision: 1,
    services: new Map([['altamar/grids', service]]),
  };
  const configuration = {
    current: () => cfg,
    onChanged: () => ({[Symbol.dispose]: () => undefined}),
  } as Partial<ConfigurationService> as ConfigurationService;
  const shares = new MemberShares({calls: CALLS, bytes: 1_000});
  using controller = new MemberAdmissionController(shares, configuration, {
    now: () => 0,
  });
  const unknown = Array.from({length: 100}, (_, i) =>
    controller.admit(`made-up-${i}`, 1, 0),
  );
  t.true(unknown.some(grant => grant.kind === 'refused'));
  const configured = Array.from({length: CALLS / 4}, () =>
    controller.admit('altamar', 1, 0),
  );
  t.true(configured.every(grant => grant.kind === 'granted'));
});
