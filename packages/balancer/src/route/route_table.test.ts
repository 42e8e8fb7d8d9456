/** Tests of route matching and weighted splits. */
import test from 'ava';
import fc from 'fast-check';
import type {Route, RoutingConfiguration} from './route.js';
import {hostOf, RouteTable} from './route_table.js';
import {WeightedSplit} from './weighted_split.js';

function createRoute(prefix: string, host = 'a.example'): Route {
  return {
    name: prefix,
    host,
    prefix,
    idempotent: true,
    timeoutMs: 1_000,
    targetMs: 500,
    urgency: 0,
    maxAttempts: 2,
    weightedServices: [{service: 's', weight: 1}],
  };
}

function createTable(
  routes: readonly Route[],
  previous?: RouteTable,
): RouteTable {
  const callerLimits = {headerBytes: 1, bodyBytes: 1, headersMs: 1, idleMs: 1};
  const cfg: RoutingConfiguration = {
    version: 1,
    routes,
    services: [],
    callerLimits,
  };
  return new RouteTable(cfg, previous);
}

const segment = fc.constantFrom('a', 'b', 'ab', 'c');
const prefix = fc
  .array(segment, {maxLength: 4})
  .map(segments => ['', ...segments, ''].join('/'));

test('the route with the longest matching prefix is selected', t => {
  fc.assert(
    fc.property(
      fc.uniqueArray(prefix, {maxLength: 8}),
      prefix,
      segment,
      (prefixes, start, rest) => {
        const path = `${start}${rest}`;
        const expected = prefixes
          .filter(candidate => path.startsWith(candidate))
          .sort((a, b) => b.length - a.length)[0];
        const found = createTable(prefixes.map(p => createRoute(p))).match(
          'a.example',
          `${path}?q=/x/y/`,
        );
        return found?.route.prefix === expected;
      },
    ),
  );
  t.pass();
});

test('hosts are compared without case and port', t => {
  const table = createTable([
    createRoute('/a/'),
    createRoute('/a/', 'b.example'),
  ]);
  t.is(table.match('B.Example:8080', '/a/x')?.route.host, 'b.example');
  t.is(table.match('c.example', '/a/x'), undefined);
  t.is(hostOf('A:80'), 'a');
});

test('a split follows its weights in every sequence of requests', t => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 50}), {minLength: 1, maxLength: 5}),
      fc.integer({min: 1, max: 400}),
      (weights, requests) => {
        const entries = weights.map((weight, i) => ({
          service: `s${i}`,
          weight,
        }));
        const split = new WeightedSplit(entries);
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        const counts = new Map<string, number>();
        for (let i = 0; i < requests; i++) {
          const service = split.next();
          counts.set(service, (counts.get(service) ?? 0) + 1);
        }
        return entries.every(({service, weight}) => {
          const share = (requests * weight) / total;
          return Math.abs((counts.get(service) ?? 0) - share) <= entries.length;
        });
      },
    ),
  );
  t.pass();
});

test('a split keeps its state across a configuration that does not change it', t => {
  const route: Route = {
    ...createRoute('/a/'),
    weightedServices: [
      {service: 's', weight: 1},
      {service: 't', weight: 1},
    ],
  };
  const previous = createTable([route]);
  const first = previous.match('a.example', '/a/')!.split.next();
  const next = createTable([route], previous);
  t.not(next.match('a.example', '/a/')!.split.next(), first);
});
