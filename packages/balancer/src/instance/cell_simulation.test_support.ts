/**
 * Simulates a cell of instances in virtual time, with a table, links and clocks
 * whose faults a test controls. A link delivers its messages in order; cutting
 * it drops the undelivered ones.
 */
import {serviceSchema} from '@ragworthall/contracts';
import {MemoryTable} from '../platform/memory_table.js';
import {SimulatedProcess} from './simulated_process.test_support.js';

/** A simulated cell and its time. */
export class CellSimulation {
  readonly table = new MemoryTable();
  readonly processes: SimulatedProcess[] = [];
  /** Simulated true time, milliseconds; the clocks of processes may deviate. */
  nowMs = 1_000_000;
  /** Newest revision that was reported as accepted. */
  accepted = 0;
  private readonly timers = new Set<{dueAt: number; resolve: () => void}>();
  private changeCount = 0;

  constructor(readonly seats: number) {
    Array.from({length: seats}, (unused, seat) => this.start(seat, 1));
  }

  /** Starts a process on a seat, even if an earlier one is still running. */
  start(seat: number, clockRate: number): SimulatedProcess {
    const started = new SimulatedProcess(this, seat, clockRate);
    this.processes.push(started);
    return started;
  }

  /** Ends a process abruptly. */
  kill(process: SimulatedProcess): void {
    [...process.links.keys()].forEach(other => this.cut(process, other));
    this.processes.splice(this.processes.indexOf(process), 1);
  }

  /** Links two processes, if each accepts the other. */
  link(a: SimulatedProcess, b: SimulatedProcess): void {
    if (a.seat === b.seat || a.isPaused || b.isPaused) return;
    if (a.links.has(b)) return;
    const opened = a.open(b) && b.open(a);
    if (!opened) return this.cut(a, b);
    a.sendReports();
    b.sendReports();
  }

  /** Cuts a link; undelivered messages are lost. */
  cut(a: SimulatedProcess, b: SimulatedProcess): void {
    if (a.seat === b.seat) return;
    a.close(b);
    b.close(a);
  }

  /** Advances the simulated time and fires the timers that are due. */
  async advance(ms: number): Promise<void> {
    this.nowMs += ms;
    this.timers.forEach(timer => {
      if (timer.dueAt > this.nowMs) return;
      this.timers.delete(timer);
      timer.resolve();
    });
    this.processes.forEach(p => p.reevaluate());
    await this.settle();
  }

  /** Resolves after the given simulated time. */
  after(ms: number): Promise<void> {
    return new Promise(resolve =>
      this.timers.add({dueAt: this.nowMs + ms, resolve}),
    );
  }

  /** Submits a change to a process, and records when it is accepted. */
  change(process: SimulatedProcess): void {
    this.changeCount += 1;
    const service = serviceOf(`s${this.changeCount % 3}`);
    const req = {
      operationId: `op${this.changeCount}`,
      by: 'm',
      baseRevision: Number.MAX_SAFE_INTEGER,
      changes: [{kind: 'put', service}],
    } as const;
    void process.configuration
      .submit(req, new AbortController().signal)
      .then(outcome => {
        if (outcome.kind !== 'accepted') return;
        this.accepted = Math.max(this.accepted, outcome.revision);
      });
  }

  /** Delivers all pending messages, and those that they cause. */
  async deliverAll(): Promise<void> {
    for (
      let rounds = 0;
      rounds < 20 && this.hasPendingMessages();
      rounds += 1
    ) {
      this.processes
        .filter(p => !p.isPaused)
        .forEach(p =>
          [...p.links.keys()].forEach(from => {
            const count = from.links.get(p)?.queue.length ?? 0;
            Array.from({length: count}, () => p.receive(from));
          }),
        );
      await this.settle();
    }
  }

  private hasPendingMessages(): boolean {
    return this.processes.some(p =>
      [...p.links].some(([to, l]) => !to.isPaused && l.queue.length > 0),
    );
  }

  /** Simulates one heartbeat interval in which every process does its work. */
  async round(): Promise<void> {
    await this.advance(250);
    const awake = this.processes.filter(p => !p.isPaused);
    awake.forEach(p => void p.renew());
    await this.settle();
    awake.forEach(p => p.sendHeartbeats());
    await this.deliverAll();
  }

  /** Runs pending promise callbacks, without passing time or messages. */
  async settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
    this.processes.forEach(p => p.reevaluate());
    await new Promise(resolve => setImmediate(resolve));
  }

  /**
   * Describes a violated invariant: a revision that went back, or a process
   * that serves with an older revision than the newest accepted one.
   */
  violation(): string | undefined {
    return this.processes
      .map(p => {
        const {revision} = p.configuration.current();
        const who = `seat ${p.seat} with revision ${revision}`;
        if (revision < p.highestRevision) return `${who} went back`;
        p.highestRevision = revision;
        return p.mayServe && revision < this.accepted
          ? `${who} serves after ${this.accepted} was accepted`
          : undefined;
      })
      .find(found => found !== undefined);
  }
}

function serviceOf(name: string) {
  return serviceSchema.parse({
    member: 'm',
    name,
    backendServers: [],
    contracts: [
      {
        name: 'read',
        method: 'GET',
        path: '/x',
        rank: 2,
        idempotent: true,
        deadlineMs: 1000,
        targetMs: 100,
      },
    ],
  });
}
