/**
 * A cell of instances in virtual time, with a table, links and clocks that fail
 * as a test asks. Messages of a link keep their order; a cut loses those on
 * their way.
 */
import {serviceSchema} from '@ragworthall/contracts';
import {MemoryTable} from '../platform/memory_table.js';
import {CellProcess} from './simulated_process.test_support.js';

/** The cell and the time. */
export class CellWorld {
  readonly table = new MemoryTable();
  readonly processes: CellProcess[] = [];
  /** True time, milliseconds. */
  time = 1_000_000;
  accepted = 0;
  private readonly timers = new Set<{dueAt: number; resolve: () => void}>();
  private changeCount = 0;

  constructor(readonly seats: number) {
    Array.from({length: seats}, (unused, seat) => this.start(seat, 1));
  }

  /** Starts a process on a seat, whether or not an older one still runs. */
  start(seat: number, clockRate: number): CellProcess {
    const started = new CellProcess(this, seat, clockRate);
    this.processes.push(started);
    return started;
  }

  /** Ends a process at once. */
  kill(process: CellProcess): void {
    [...process.links.keys()].forEach(other => this.cut(process, other));
    this.processes.splice(this.processes.indexOf(process), 1);
  }

  /** Links two processes, if both take the other. */
  link(a: CellProcess, b: CellProcess): void {
    if (a.seat === b.seat || a.isPaused || b.isPaused) return;
    if (a.links.has(b)) return;
    const opened = a.open(b) && b.open(a);
    if (!opened) return this.cut(a, b);
    a.sendReports();
    b.sendReports();
  }

  /** Cuts a link; what is on its way is lost. */
  cut(a: CellProcess, b: CellProcess): void {
    if (a.seat === b.seat) return;
    a.close(b);
    b.close(a);
  }

  /** Lets time pass. */
  async advance(ms: number): Promise<void> {
    this.time += ms;
    this.timers.forEach(timer => {
      if (timer.dueAt > this.time) return;
      this.timers.delete(timer);
      timer.resolve();
    });
    this.processes.forEach(p => p.reconsider());
    await this.calm();
  }

  /** Resolves after a time of this world. */
  after(ms: number): Promise<void> {
    return new Promise(resolve =>
      this.timers.add({dueAt: this.time + ms, resolve}),
    );
  }

  /** Starts a change at a process; notes when it is accepted. */
  change(process: CellProcess): void {
    this.changeCount += 1;
    const service = serviceOf(`s${this.changeCount % 3}`);
    const req = {
      operationId: `op${this.changeCount}`,
      by: 'm',
      baseRevision: Number.MAX_SAFE_INTEGER,
      changes: [{kind: 'put', service}],
    } as const;
    void process.keeper
      .submit(req, new AbortController().signal)
      .then(outcome => {
        if (outcome.kind !== 'accepted') return;
        this.accepted = Math.max(this.accepted, outcome.revision);
      });
  }

  /** Delivers all that is on its way, and what that sets off. */
  async deliverAll(): Promise<void> {
    for (let rounds = 0; rounds < 20 && this.hasMail(); rounds += 1) {
      this.processes
        .filter(p => !p.isPaused)
        .forEach(p =>
          [...p.links.keys()].forEach(from => {
            const count = from.links.get(p)?.queue.length ?? 0;
            Array.from({length: count}, () => p.receive(from));
          }),
        );
      await this.calm();
    }
  }

  private hasMail(): boolean {
    return this.processes.some(p =>
      [...p.links].some(([to, l]) => !to.isPaused && l.queue.length > 0),
    );
  }

  /** Lets everything run as it should for one heartbeat's time. */
  async round(): Promise<void> {
    await this.advance(250);
    const awake = this.processes.filter(p => !p.isPaused);
    awake.forEach(p => void p.renew());
    await this.calm();
    awake.forEach(p => p.beatAll());
    await this.deliverAll();
  }

  /** Waits until nothing more happens without time or messages. */
  async calm(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
    this.processes.forEach(p => p.reconsider());
    await new Promise(resolve => setImmediate(resolve));
  }

  /** Returns what is broken, or undefined. */
  violation(): string | undefined {
    return this.processes
      .map(p => {
        const {revision} = p.keeper.current();
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
