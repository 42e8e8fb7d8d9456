/**
 * Operators that change the configuration, and observers of the configuration
 * in force. Each change gives a service a marker contract of its own in place
 * of the previous one, so that a request for the marker shows which revision an
 * instance serves.
 */
import {OperatorClient, retryUntilResolved} from '@ragworthall/cli';
import {
  CallerHeader,
  Outcome,
  Rank,
  operatorRpc as rpc,
  type ServiceConfig,
  serviceSchema,
} from '@ragworthall/contracts';
import {setTimeout as delay} from 'node:timers/promises';
import type {Cluster, RunningDaemon} from '../launch/cluster.js';
import type {EventLog} from './event_log.js';
import type {
  AcceptedChange,
  RecordedChange,
  RevisionSample,
} from './history.js';

/** Timeout of an operator's change, milliseconds. */
const CHANGE_TIMEOUT_MS = 20_000;
/** Time between two samples of an instance, milliseconds. */
const SAMPLE_INTERVAL_MS = 200;
/** Timeout of an observer's request, milliseconds. */
const ANSWER_TIMEOUT_MS = 2_000;
/** Number of newest marker contracts that are probed. */
const PROBED_MARKERS = 3;

/** A marker contract that an instance served. */
interface ServedMarker {
  readonly instance: string;
  readonly operation: string;
  /** Time at which the request was sent, Unix milliseconds. */
  readonly at: number;
}

/** Changes the configuration of one service and samples what is in force. */
export class Operators {
  readonly accepted: AcceptedChange[] = [];
  private readonly samples: RevisionSample[] = [];
  private readonly servedMarkers: ServedMarker[] = [];
  private readonly operationIds: string[] = [];
  /** Recorded changes by revision and operation ID. */
  private readonly recordedByChange = new Map<string, RecordedChange>();

  constructor(
    private readonly cluster: Cluster,
    private readonly service: ServiceConfig,
    private readonly log: EventLog,
  ) {}

  /**
   * Two operators change the service concurrently from the same base revision.
   */
  async changeConcurrently(seats: readonly [number, number]): Promise<void> {
    const [first, second] = seats.map(seat => this.daemonAt(seat));
    const status = await this.clientOf(first!, CHANGE_TIMEOUT_MS).status();
    if (status.isErr()) return;
    const {revision} = status.value;
    await Promise.all(
      [first!, second!].map(daemon => this.change(daemon, revision)),
    );
  }

  /** Samples the daemon of each seat until `signal` aborts. */
  async observe(signal: AbortSignal): Promise<void> {
    const seats = this.cluster.daemons.map(d => d.seat);
    await Promise.all(
      seats.flatMap(seat => [
        this.observeStatus(seat, signal),
        this.observeMarkers(seat, signal),
      ]),
    );
  }

  /**
   * Waits until all daemons serve the newest accepted revision; false on
   * timeout.
   */
  async waitUntilConverged(timeoutMs: number): Promise<boolean> {
    const newest = Math.max(0, ...this.accepted.map(a => a.revision));
    const until = performance.now() + timeoutMs;
    for (;;) {
      const states = await Promise.all(
        this.cluster.daemons.map(d => this.sampleStatus(d)),
      );
      if (states.every(s => s && s.serving && s.revision >= newest)) {
        return true;
      }
      if (performance.now() > until) {
        this.log.add(`not recovered in time: ${JSON.stringify(states)}`);
        return false;
      }
      await delay(SAMPLE_INTERVAL_MS);
    }
  }

  /** The changes listed in the histories of all instances, by revision. */
  get recordedChanges(): readonly RecordedChange[] {
    return [...this.recordedByChange.values()].sort(
      (a, b) => a.revision - b.revision,
    );
  }

  /** The revisions in force, from reported status and from served markers. */
  get revisions(): readonly RevisionSample[] {
    const {recordedChanges} = this;
    const fromMarkers = this.servedMarkers.flatMap(
      ({instance, operation, at}) => {
        const revision = lastRevisionWithMarker(operation, recordedChanges);
        // Markers don't show the incarnation, so each sample gets one of its own
        // and is not compared in order with the others.
        const incarnation = `${instance} ${operation} ${at}`;
        return revision === undefined
          ? []
          : [{instance, incarnation, revision, serving: true, at}];
      },
    );
    return [...this.samples, ...fromMarkers];
  }

  private async change(daemon: RunningDaemon, base: bigint): Promise<void> {
    const operationId = `change-${this.operationIds.length + 1}`;
    this.operationIds.push(operationId);
    const client = this.clientOf(daemon, CHANGE_TIMEOUT_MS);
    const header = {operationId, baseRevision: base};
    const services = [
      rpc.serviceToMessage(withMarkerContract(this.service, operationId)),
    ];
    const resolution = await retryUntilResolved(
      () => client.apply(header, services, []),
      AbortSignal.timeout(CHANGE_TIMEOUT_MS),
      () => undefined,
    );
    const {kind} = resolution;
    const outcome = kind === 'outcome' ? resolution.outcome.case : kind;
    this.log.add(
      `${operationId} through ${daemon.id}, base revision ${base}: ${outcome}`,
    );
    if (kind !== 'outcome' || resolution.outcome.case !== 'accepted') return;
    this.accepted.push({
      revision: Number(resolution.outcome.value.revision),
      operation: operationId,
      acceptedAt: Date.now(),
    });
  }

  private async observeStatus(
    seat: number,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const sample = await this.sampleStatus(this.daemonAt(seat));
      if (sample) this.samples.push(sample);
      await this.readHistory(this.daemonAt(seat));
      await delay(SAMPLE_INTERVAL_MS);
    }
  }

  /**
   * Adds the changes in an instance's history to those of earlier reads: if the
   * instance loaded a snapshot, its history lists only later changes.
   */
  private async readHistory(daemon: RunningDaemon): Promise<void> {
    const history = await this.clientOf(daemon, ANSWER_TIMEOUT_MS).history();
    if (history.isErr()) return;
    history.value.entries.forEach(entry => {
      const {operationId: operation} = entry;
      const revision = Number(entry.revision);
      this.recordedByChange.set(`${revision} ${operation}`, {
        revision,
        operation,
      });
    });
  }

  private async sampleStatus(
    daemon: RunningDaemon,
  ): Promise<RevisionSample | undefined> {
    // Taken before the query: the answer describes this moment or a later one.
    const at = Date.now();
    const status = await this.clientOf(daemon, ANSWER_TIMEOUT_MS).status();
    if (status.isErr()) return undefined;
    const instance = status.value.instances.find(i => i.id === daemon.id);
    return (
      instance && {
        instance: instance.id,
        incarnation: instance.incarnation,
        revision: Number(instance.revision),
        serving: instance.state === rpc.Instance_State.SERVING,
        at,
      }
    );
  }

  private async observeMarkers(
    seat: number,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const probed = this.operationIds.slice(-PROBED_MARKERS);
      const daemon = this.daemonAt(seat);
      await Promise.all(
        probed.map(operation => this.probeMarker(operation, daemon)),
      );
      await delay(SAMPLE_INTERVAL_MS);
    }
  }

  private async probeMarker(
    operation: string,
    daemon: RunningDaemon,
  ): Promise<void> {
    const {member, name} = this.service;
    const at = Date.now();
    try {
      const res = await fetch(
        `${daemon.callersUrl}/s/${member}/${name}${markerPath(operation)}`,
        {signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS)},
      );
      await res.arrayBuffer();
      if (res.headers.get(CallerHeader.Outcome) !== Outcome.Ran) return;
      this.servedMarkers.push({instance: daemon.id, operation, at});
    } catch {
      // The instance is down or paused and serves nothing.
    }
  }

  private clientOf(daemon: RunningDaemon, timeoutMs: number): OperatorClient {
    const token = this.cluster.operatorTokenOf(this.service.member);
    const signal = AbortSignal.timeout(timeoutMs);
    return new OperatorClient(daemon.operatorsUrl, token, signal);
  }

  private daemonAt(seat: number): RunningDaemon {
    return this.cluster.daemons.find(d => d.seat === seat)!;
  }
}

function markerPath(operation: string): string {
  return `/${operation}/probe`;
}

/** Returns the service with a marker contract that only this change has. */
function withMarkerContract(
  service: ServiceConfig,
  operation: string,
): ServiceConfig {
  const marker = {
    name: operation,
    method: 'GET' as const,
    path: markerPath(operation),
    rank: Rank.Live,
    idempotent: true,
    deadlineMs: 1_000,
    targetMs: 500,
  };
  return serviceSchema.parse({
    ...service,
    contracts: [...service.contracts, marker],
  });
}

/** The newest recorded revision that has the marker contract of a change. */
function lastRevisionWithMarker(
  operation: string,
  recordedChanges: readonly RecordedChange[],
): number | undefined {
  const index = recordedChanges.findIndex(c => c.operation === operation);
  if (index < 0) return undefined;
  const next = recordedChanges[index + 1];
  return next ? next.revision - 1 : recordedChanges[index]!.revision;
}
