/** Round trip of services through their protobuf messages. */
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import test from 'ava';
import * as fc from 'fast-check';
import {ServiceSchema} from '../gen/operator_pb.js';
import {serviceSchema, type ServiceConfig} from '../service/service_config.js';
import {serviceFromMessage, serviceToMessage} from './service_encoding.js';

const SEED = 20_261_204;

const share = (max: number) =>
  fc.double({min: 0, max, noNaN: true, noDefaultInfinity: true});

const backendServer = (index: number) =>
  fc.record({
    id: fc.constant(`server-${index}`),
    address: fc.constant(`10.0.${index}.1:8080`),
    failureDomain: fc.constantFrom('a', 'b'),
    slots: fc.integer({min: 1, max: 1024}),
    draining: fc.boolean(),
  });

const contract = (index: number) =>
  fc.record({
    name: fc.constant(`contract-${index}`),
    method: fc.constantFrom('GET' as const, 'POST' as const),
    path: fc.constant(`/${index}/:id/*`),
    rank: fc.constantFrom(1 as const, 2 as const, 3 as const),
    idempotent: fc.boolean(),
    deadlineMs: fc.integer({min: 1000, max: 600_000}),
    targetMs: fc.integer({min: 1, max: 1000}),
  });

const list = <T>(entry: (index: number) => fc.Arbitrary<T>, min: number) =>
  fc
    .integer({min, max: 4})
    .chain(count =>
      fc.tuple(...Array.from({length: count}, (_, index) => entry(index))),
    );

const service: fc.Arbitrary<ServiceConfig> = fc.record({
  member: fc.constantFrom('altamar', 'ubuntu-steps'),
  name: fc.constantFrom('grids', 'listings'),
  backendServers: list(backendServer, 0),
  contracts: list(contract, 1),
  floors: fc.record({urgent: share(0.3), live: share(0.3), bulk: share(0.3)}),
  budgets: fc.record({
    measurementShare: share(0.1),
    probeCostMs: fc.double({min: 0.1, max: 1000, noNaN: true}),
    retryShare: share(1),
    hedgeShare: share(1),
  }),
  owners: fc.integer({min: 1, max: 64}),
});

test('encoding and decoding leaves a service unchanged', t => {
  fc.assert(
    fc.property(service, cfg => {
      const bytes = toBinary(ServiceSchema, serviceToMessage(cfg));
      const message = fromBinary(ServiceSchema, bytes);
      t.deepEqual(serviceSchema.parse(serviceFromMessage(message)), cfg);
    }),
    {seed: SEED, numRuns: 200},
  );
});

test('rejects a message without idempotent instead of defaulting to false', t => {
  const [cfg] = fc.sample(service, {seed: SEED, numRuns: 1});
  const message = serviceToMessage(cfg!);
  message.contracts[0]!.idempotent = undefined;
  const parsed = serviceSchema.safeParse(serviceFromMessage(message));
  t.deepEqual(parsed.error?.issues[0]?.path, ['contracts', 0, 'idempotent']);
});
