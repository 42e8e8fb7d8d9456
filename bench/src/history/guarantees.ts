/** Checks a history for each promise of the product. */
import type {Observation} from '../caller/work.js';
import {NO_ANSWER_IN_TIME} from '../caller/caller.js';
import type {History, PlannedStop, ServerRecord} from './history.js';

/** The promises that always hold. */
export const Guarantee = {
  /** The load of probes stays within its budget. */
  MeasurementBudget: 'measurement_budget',
  /** Each caller gets the whole answer to its own request. */
  OwnAnswer: 'own_answer',
  /** Told "not run" means not run. */
  NotRunIsTrue: 'not_run_is_true',
  /** A request that is not idempotent runs at most once. */
  AtMostOnce: 'at_most_once',
  /** A leaving backend server gets no new work after a few seconds. */
  LeavingGetsNoWork: 'leaving_gets_no_work',
  /** A planned stop cuts off nothing. */
  GracefulStop: 'graceful_stop',
  /** Accepted configuration is in force within seconds, and never reverts. */
  ConfigurationHolds: 'configuration_holds',
} as const;

/** One of the values of {@link Guarantee}. */
export type Guarantee = (typeof Guarantee)[keyof typeof Guarantee];

/** One breach of a promise. */
export interface Violation {
  readonly promise: Guarantee;
  readonly detail: string;
}

/** Time after which a leaving server must get no work, milliseconds. */
export const LEAVING_LIMIT_MS = 3_000;
/** Time within which an accepted change is in force, milliseconds. */
export const IN_FORCE_LIMIT_MS = 6_000;
/** Window over which probes are counted, milliseconds. */
export const PROBE_WINDOW_MS = 60_000;

/** Time for which callers keep an address answer, milliseconds. */
export const ADDRESS_ANSWER_TTL_MS = 5_000;

/** Returns all breaches; an empty list if every promise held. */
export function checkHistory(history: History): Violation[] {
  return Object.values(Guarantee).flatMap(promise =>
    breachesOf(promise, history).map(detail => ({promise, detail})),
  );
}

function breachesOf(promise: Guarantee, history: History): string[] {
  switch (promise) {
    case Guarantee.MeasurementBudget:
      return history.servers.flatMap(probesOverBudget);
    case Guarantee.OwnAnswer:
      return history.observations.flatMap(wrongAnswers);
    case Guarantee.NotRunIsTrue:
      return ranThoughRefused(history);
    case Guarantee.AtMostOnce:
      return ranTwice(history);
    case Guarantee.LeavingGetsNoWork:
      return history.servers.flatMap(server =>
        workWhileLeaving(server, history.leavingLimitMs ?? LEAVING_LIMIT_MS),
      );
    case Guarantee.GracefulStop:
      return cutByStops(history);
    case Guarantee.ConfigurationHolds:
      return [
        ...behindAccepted(history),
        ...reverted(history),
        ...namedTwice(history),
        ...lost(history),
      ];
    default:
      throw new Error(`unexpected promise: ${promise satisfies never}`);
  }
}

function probesOverBudget(server: ServerRecord): string[] {
  const {probes} = server.ledger;
  const allowed =
    Math.ceil(PROBE_WINDOW_MS / server.probeIntervalMs) + server.probers;
  const over = probes.findIndex((at, i) => {
    const windowEnd = probes[i + allowed];
    return windowEnd !== undefined && windowEnd - at < PROBE_WINDOW_MS;
  });
  if (over >= 0) return [`${server.id}: over ${allowed} probes in a window`];
  const first = probes[0];
  const last = probes.at(-1);
  if (first === undefined || last === undefined) return [];
  const inAll =
    Math.ceil((last - first) / server.probeIntervalMs) + server.probers;
  return probes.length > inAll
    ? [`${server.id}: ${probes.length} probes, ${inAll} allowed`]
    : [];
}

function wrongAnswers(seen: Observation): string[] {
  return seen.copies.flatMap(({key, ending}) =>
    ending.kind === 'wrong_answer' ? [`${key}: ${ending.detail}`] : [],
  );
}

/** Runs of each key over all servers. */
function runsByKey(history: History): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  history.servers.forEach(({ledger}) =>
    Object.entries(ledger.runs).forEach(([key, {count}]) =>
      runs.set(key, (runs.get(key) ?? 0) + count),
    ),
  );
  return runs;
}

/**
 * Each send is judged by itself: sends of idempotent work have keys of their
 * own, and those of other work share one, for which "not run" said once holds.
 */
function ranThoughRefused(history: History): string[] {
  const runs = runsByKey(history);
  return history.observations
    .flatMap(o => o.copies)
    .filter(
      ({ending}) => ending.kind === 'refused' && ending.outcome === 'not-run',
    )
    .filter(({key}) => (runs.get(key) ?? 0) > 0)
    .map(
      ({key, ending}) =>
        `${key}: told ${JSON.stringify(ending)}, ran ${runs.get(key)} times`,
    );
}

function ranTwice(history: History): string[] {
  const runs = runsByKey(history);
  return history.observations
    .filter(o => !o.work.idempotent && (runs.get(o.id) ?? 0) > 1)
    .map(o => `${o.id}: ran ${runs.get(o.id)} times`);
}

function workWhileLeaving(
  {id, ledger}: ServerRecord,
  limitMs: number,
): string[] {
  const since = ledger.drainingSince;
  if (since === undefined) return [];
  return ledger.workAfterDraining
    .filter(at => at > since + limitMs)
    .map(at => `${id}: work ${at - since} ms after it began to leave`);
}

function cutByStops(history: History): string[] {
  const killed = history.stops
    .filter(stop => stop.exitCode !== 0)
    .map(stop => `${stop.instance}: ended with ${stop.exitCode}`);
  const dropped = history.stops.flatMap(stop => droppedBy(stop, history));
  if (history.hadFaults) return [...killed, ...dropped];
  const cut = history.observations
    .filter(isCut)
    .filter(o =>
      history.stops.some(s => o.endedAt >= s.from && o.sentAt <= s.to),
    )
    .map(o => `${o.id}: ${JSON.stringify(o.ending)} during a planned stop`);
  return [...killed, ...dropped, ...cut];
}

/**
 * Requests whose connection a stopping instance ended or refused, though they
 * came while it had to serve; faults elsewhere cannot bring this about.
 */
function droppedBy(stop: PlannedStop, {observations}: History): string[] {
  return observations
    .flatMap(o => o.copies)
    .filter(({url}) => url === stop.url)
    .filter(
      ({sentAt, endedAt}) =>
        endedAt >= stop.from && sentAt <= stop.from + ADDRESS_ANSWER_TTL_MS,
    )
    .filter(
      ({ending}) =>
        ending.kind === 'no_answer' && ending.detail !== NO_ANSWER_IN_TIME,
    )
    .map(
      ({key, ending}) =>
        `${key}: ${JSON.stringify(ending)} by ${stop.instance} as it stopped`,
    );
}

function isCut({ending}: Observation): boolean {
  return (
    ending.kind === 'no_answer' ||
    (ending.kind === 'refused' && ending.outcome === 'unknown')
  );
}

function behindAccepted(history: History): string[] {
  const {inForceLimitMs = IN_FORCE_LIMIT_MS} = history;
  return history.revisions
    .filter(sample => sample.serving)
    .flatMap(sample => {
      const due = history.accepted
        .filter(a => sample.at > a.acceptedAt + inForceLimitMs)
        .reduce((newest, a) => Math.max(newest, a.revision), 0);
      return sample.revision < due
        ? [
            `${sample.instance} serves by ${sample.revision}, ${due} is accepted`,
          ]
        : [];
    });
}

function reverted(history: History): string[] {
  const newest = new Map<string, number>();
  return [...history.revisions]
    .sort((a, b) => a.at - b.at)
    .flatMap(({instance, incarnation, revision}) => {
      const before = newest.get(incarnation) ?? 0;
      newest.set(incarnation, Math.max(before, revision));
      return revision < before
        ? [`${instance} went back from ${before} to ${revision}`]
        : [];
    });
}

/** Revisions that are said to be two different changes. */
function namedTwice({
  accepted,
  recordedChanges: lasting = [],
}: History): string[] {
  const changes = [...accepted, ...lasting];
  return changes.flatMap(({revision, operation}, i) =>
    changes
      .slice(0, i)
      .filter(c => c.revision === revision && c.operation !== operation)
      .map(c => `${c.operation} and ${operation} are both ${revision}`),
  );
}

/** Accepted changes that no instance's history ever had. */
function lost({accepted, recordedChanges: lasting}: History): string[] {
  if (!lasting) return [];
  const kept = new Set(lasting.map(l => `${l.revision} ${l.operation}`));
  return accepted
    .filter(a => !kept.has(`${a.revision} ${a.operation}`))
    .map(a => `${a.operation} was accepted as ${a.revision} and is gone`);
}
