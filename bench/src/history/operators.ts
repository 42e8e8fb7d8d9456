/**
 * Operators who change the configuration, and observers of what is in force.
 * Each change replaces one contract of a service by a new one, so that a
 * request for it shows by which configuration an instance serves.
 */
import {OperatorClient, settle} from '@ragworthall/cli';
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

/** Time that an operator waits for the outcome of a change, milliseconds. */
const CHANGE_TIMEOUT_MS = 20_000;
/** Time between two looks at an instance, milliseconds. */
const SAMPLE_MS = 200;
/** Time that an observer waits for an answer, milliseconds. */
const ANSWER_TIMEOUT_MS = 2_000;
/** Newest contracts that are asked for. */
const MARKERS_ASKED = 3;

/** A contract that an instance served. */
interface ServedMarker {
  readonly instance: string;
  readonly operation: string;
  /** When the request was sent, Unix milliseconds. */
  readonly at: number;
}

/** Those who change the configuration, and those who watch it. */
export class Operators {
  readonly accepted: AcceptedChange[] = [];
  private readonly samples: RevisionSample[] = [];
  private readonly served: ServedMarker[] = [];
  private readonly operations: string[] = [];
  private readonly named = new Map<string, RecordedChange>();

  constructor(
    private readonly cluster: Cluster,
    private readonly service: ServiceConfig,
    private readonly log: EventLog,
  ) {}

  /** Two operators change the service from the same base revision at once. */
  async race(seats: readonly [number, number]): Promise<void> {
    const [first, second] = seats.map(seat => this.daemonAt(seat));
    const base = await this.clientOf(first!, CHANGE_TIMEOUT_MS).status();
    if (base.isErr()) return;
    const {revision} = base.value;
    await Promise.all(
      [first!, second!].map(daemon => this.change(daemon, revision)),
    );
  }

  /** Watches each seat until `stopped`. */
  async watch(stopped: AbortSignal): Promise<void> {
    const seats = this.cluster.daemons.map(d => d.seat);
    await Promise.all(
      seats.flatMap(seat => [
        this.watchStatus(seat, stopped),
        this.watchMarkers(seat, stopped),
      ]),
    );
  }

  /** Waits until all serve by the newest accepted revision; false: too long. */
  async converged(timeoutMs: number): Promise<boolean> {
    const newest = Math.max(0, ...this.accepted.map(a => a.revision));
    const until = performance.now() + timeoutMs;
    for (;;) {
      const states = await Promise.all(
        this.cluster.daemons.map(d => this.sample(d)),
      );
      if (states.every(s => s && s.serving && s.revision >= newest)) {
        return true;
      }
      if (performance.now() > until) {
        this.log.add(`not recovered: ${JSON.stringify(states)}`);
        return false;
      }
      await delay(SAMPLE_MS);
    }
  }

  /** The changes that the histories of all instances name, by revision. */
  get lasting(): readonly RecordedChange[] {
    return [...this.named.values()].sort((a, b) => a.revision - b.revision);
  }

  /** What was in force where, by what instances said and by what they did. */
  get revisions(): readonly RevisionSample[] {
    const {lasting} = this;
    const byService = this.served.flatMap(({instance, operation, at}) => {
      const revision = lastRevisionWith(operation, lasting);
      // Markers tell no order within an incarnation: each stands for itself.
      const incarnation = `${instance} ${operation} ${at}`;
      return revision === undefined
        ? []
        : [{instance, incarnation, revision, serving: true, at}];
    });
    return [...this.samples, ...byService];
  }

  private async change(daemon: RunningDaemon, base: bigint): Promise<void> {
    const operationId = `change-${this.operations.length + 1}`;
    this.operations.push(operationId);
    const client = this.clientOf(daemon, CHANGE_TIMEOUT_MS);
    const header = {operationId, baseRevision: base};
    const services = [rpc.serviceToMessage(marked(this.service, operationId))];
    const settled = await settle(
      () => client.apply(header, services, []),
      AbortSignal.timeout(CHANGE_TIMEOUT_MS),
      () => undefined,
    );
    const {kind} = settled;
    const outcome = kind === 'outcome' ? settled.outcome.case : kind;
    this.log.add(`${operationId} at ${daemon.id} on ${base}: ${outcome}`);
    if (kind !== 'outcome' || settled.outcome.case !== 'accepted') return;
    this.accepted.push({
      revision: Number(settled.outcome.value.revision),
      operation: operationId,
      acceptedAt: Date.now(),
    });
  }

  private async watchStatus(seat: number, stopped: AbortSignal): Promise<void> {
    while (!stopped.aborted) {
      const sample = await this.sample(this.daemonAt(seat));
      if (sample) this.samples.push(sample);
      await this.readHistory(this.daemonAt(seat));
      await delay(SAMPLE_MS);
    }
  }

  /** An instance that began with a snapshot names only what came after. */
  private async readHistory(daemon: RunningDaemon): Promise<void> {
    const history = await this.clientOf(daemon, ANSWER_TIMEOUT_MS).history();
    if (history.isErr()) return;
    history.value.entries.forEach(entry => {
      const {operationId: operation} = entry;
      const revision = Number(entry.revision);
      this.named.set(`${revision} ${operation}`, {revision, operation});
    });
  }

  private async sample(
    daemon: RunningDaemon,
  ): Promise<RevisionSample | undefined> {
    // What is answered was true at this time or later.
    const at = Date.now();
    const status = await this.clientOf(daemon, ANSWER_TIMEOUT_MS).status();
    if (status.isErr()) return undefined;
    const own = status.value.instances.find(i => i.id === daemon.id);
    return (
      own && {
        instance: own.id,
        incarnation: own.incarnation,
        revision: Number(own.revision),
        serving: own.state === rpc.Instance_State.SERVING,
        at,
      }
    );
  }

  private async watchMarkers(
    seat: number,
    stopped: AbortSignal,
  ): Promise<void> {
    while (!stopped.aborted) {
      const asked = this.operations.slice(-MARKERS_ASKED);
      const daemon = this.daemonAt(seat);
      await Promise.all(asked.map(operation => this.askFor(operation, daemon)));
      await delay(SAMPLE_MS);
    }
  }

  private async askFor(
    operation: string,
    daemon: RunningDaemon,
  ): Promise<void> {
    const {member, name} = this.service;
    const at = Date.now();
    try {
      const res = await fetch(
        `${daemon.callersUrl}/s/${member}/${name}${pathOf(operation)}`,
        {signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS)},
      );
      await res.arrayBuffer();
      if (res.headers.get(CallerHeader.Outcome) !== Outcome.Ran) return;
      this.served.push({instance: daemon.id, operation, at});
    } catch {
      // The instance is down or paused: it serves nothing.
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

function pathOf(operation: string): string {
  return `/${operation}/probe`;
}

/** The service with a contract that only this change has. */
function marked(service: ServiceConfig, operation: string): ServiceConfig {
  const marker = {
    name: operation,
    method: 'GET' as const,
    path: pathOf(operation),
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

/** The newest revision that has the contract of a change. */
function lastRevisionWith(
  operation: string,
  lasting: readonly RecordedChange[],
): number | undefined {
  const at = lasting.findIndex(l => l.operation === operation);
  if (at < 0) return undefined;
  const next = lasting[at + 1];
  return next ? next.revision - 1 : lasting[at]!.revision;
}
