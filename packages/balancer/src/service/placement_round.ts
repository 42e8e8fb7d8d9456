/**
 * Decides about all requests that wait for a backend server of one service at one
 * moment: which are sent where, which are refused, and which servers to ask for
 * their load. Answers an overload: more requests wait than servers have slots.
 */
import type {SharedServer} from '../backend_server/shared_server.js';
import type {StopPlan} from '../instance/stop_plan.js';
import {withoutOpening} from './opening_plan.js';
import type {Candidate} from './server_snapshot.js';
import {
  LateUse,
  type PlacementRequest,
  type SharedService,
} from './shared_service.js';

/** A request that waits for a server. */
export interface WaitingRequest {
  readonly placement: PlacementRequest;
  /** Whether its caller has disconnected. */
  readonly isAbandoned: boolean;
}

/** Why a request stops waiting without a server. */
export const DropReason = {
  CallerLeft: 'caller_left',
  /** No server can answer it before its answer is no longer needed. */
  NoTime: 'no_time',
  /** It misses its target; others that are as urgent can still meet theirs. */
  NoCapacity: 'no_capacity',
  /** The instance stops before the request would end. */
  Stopping: 'stopping',
} as const;

/** A value of {@link DropReason}. */
export type DropReason = (typeof DropReason)[keyof typeof DropReason];

/** The decisions of one round. */
export interface PlacementRound<W> {
  readonly dropped: readonly {readonly request: W; readonly why: DropReason}[];
  readonly placed: readonly {
    readonly request: W;
    readonly candidate: Candidate;
  }[];
  /** The requests that go on waiting. */
  readonly waiting: readonly W[];
  /** Servers to ask for their load on behalf of the waiting requests. */
  readonly toAsk: readonly SharedServer[];
}

interface RankedRequest<W> {
  readonly request: W;
  readonly placement: PlacementRequest;
  readonly isTimely: boolean;
}

/**
 * Decides about the waiting requests; counts placed ones as sent.
 *
 * @param stop The stop of the instance, if it is in progress.
 */
export function placementRound<W extends WaitingRequest>(
  service: SharedService,
  requests: readonly W[],
  now: number,
  stop?: StopPlan,
): PlacementRound<W> {
  const ranked = requests.map(request => ({
    request,
    placement: request.placement,
    isTimely: service.canMeetTarget(request.placement, now),
  }));
  const accepting = service.acceptingServers;
  const verdicts = ranked.map(entry => ({
    ...entry,
    why: isCutOffBy(stop, service, entry.placement, now)
      ? DropReason.Stopping
      : dropReason(service, accepting, entry, ranked, now),
  }));
  const dropped = verdicts.flatMap(({request, why}) =>
    why === undefined ? [] : [{request, why}],
  );
  const kept = verdicts.filter(({why}) => why === undefined);
  const {placed, waiting, toAsk} = placeAll(
    service,
    kept.sort(byPrecedence),
    now,
  );
  const rechecked = service.limitsToRecheck(now);
  // A limit may have ended: requests wait for what its server says.
  const unserved =
    rechecked.length > 0
      ? new Set<W>()
      : withoutOpeningInTime(service, waiting, now);
  return {
    placed,
    waiting: waiting.filter(request => !unserved.has(request)),
    dropped: [
      ...dropped,
      ...[...unserved].map(request => ({
        request,
        why: DropReason.NoCapacity,
      })),
    ],
    toAsk: [...new Set([...toAsk, ...rechecked])],
  };
}

/** Returns the waiting requests that no server opens for in time. */
function withoutOpeningInTime<W extends WaitingRequest>(
  service: SharedService,
  waiting: readonly W[],
  now: number,
): ReadonlySet<W> {
  const closed = waiting.length > 0 ? service.closedServers(now) : [];
  if (closed.length === 0) return new Set();
  const requests = waiting.map(request => ({
    request,
    tried: request.placement.tried,
    latestSendAt: service.latestSendAt(request.placement),
  }));
  const unserved = withoutOpening(requests, closed, now);
  return new Set([...unserved].map(({request}) => request));
}

function placeAll<W extends WaitingRequest>(
  service: SharedService,
  inOrder: readonly RankedRequest<W>[],
  now: number,
): Omit<PlacementRound<W>, 'dropped'> {
  const toAsk = new Set<SharedServer>();
  const snapshot = service.snapshot(now);
  const placed: {request: W; candidate: Candidate}[] = [];
  const waiting = inOrder.filter(entry => {
    const {request, placement} = entry;
    const lateUse = outranksOthers(entry, inOrder)
      ? LateUse.FreeSlots
      : LateUse.IdleServers;
    const place = service.place(placement, now, snapshot, lateUse);
    switch (place.kind) {
      case 'send':
        place.candidate.server.recordSend(now);
        snapshot.refresh(place.candidate.server, now);
        placed.push({request, candidate: place.candidate});
        return false;
      case 'ask':
        place.servers.forEach(server => toAsk.add(server));
        return true;
      case 'wait':
        return true;
      default:
        return place satisfies never;
    }
  });
  return {
    placed,
    waiting: waiting.map(({request}) => request),
    toAsk: [...toAsk],
  };
}

/**
 * Whether a stop would cut off the request if it were sent now. It has not run
 * while it waits, so that its caller may still go elsewhere.
 */
function isCutOffBy(
  stop: StopPlan | undefined,
  service: SharedService,
  {route, endsAt}: PlacementRequest,
  now: number,
): boolean {
  const usualMs = service.usualMs(route);
  return stop?.takes({endsAt, usualMs}, now) === false;
}

/** Returns why a request is not to wait any longer; undefined if it may. */
function dropReason<W extends WaitingRequest>(
  service: SharedService,
  accepting: readonly SharedServer[],
  entry: RankedRequest<W>,
  all: readonly RankedRequest<W>[],
  now: number,
): DropReason | undefined {
  const {request, placement} = entry;
  if (request.isAbandoned) return DropReason.CallerLeft;
  if (!service.canBeServed(placement, now)) return DropReason.NoTime;
  // Without any known server, entries may be on their way back.
  const isServable = ({entry: {id}}: SharedServer) => !placement.tried.has(id);
  if (service.hasServers && !accepting.some(isServable)) {
    return DropReason.NoCapacity;
  }
  // A request that was sent before may have been executed; another attempt is
  // the only way to a certain answer.
  if (entry.isTimely || placement.tried.size > 0) return undefined;
  return yieldsToTimely(entry, all) ? DropReason.NoCapacity : undefined;
}

/**
 * Whether a late request leaves the servers to others: some that are at least as
 * urgent can still meet their targets. Otherwise an overload would end up making
 * every request late.
 */
function yieldsToTimely<W>(
  {isTimely, placement}: RankedRequest<W>,
  all: readonly RankedRequest<W>[],
): boolean {
  if (isTimely) return false;
  const {urgency} = placement.route;
  return all.some(
    other => other.isTimely && other.placement.route.urgency <= urgency,
  );
}

/** Whether free slots would go to a less urgent request instead. */
function outranksOthers<W>(
  {placement}: RankedRequest<W>,
  all: readonly RankedRequest<W>[],
): boolean {
  const {urgency} = placement.route;
  return all.some(other => other.placement.route.urgency > urgency);
}

/**
 * The most urgent first; among these the ones that can meet their target; then
 * the newest, since under overload the oldest are the least likely to succeed.
 */
function byPrecedence<W>(a: RankedRequest<W>, b: RankedRequest<W>): number {
  return (
    a.placement.route.urgency - b.placement.route.urgency ||
    Number(b.isTimely) - Number(a.isTimely) ||
    b.placement.arrivedAt - a.placement.arrivedAt
  );
}
