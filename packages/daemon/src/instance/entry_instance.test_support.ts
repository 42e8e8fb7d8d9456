/** An entry instance on a fake fleet, fake servers and a test's own time. */
import {
  type Call,
  type CallResult,
  type ConfigurationService,
  type Fleet,
  type ForwardOutcome,
  type ForwardRole,
  keyPrefix,
  type PeerLink,
  ProbePermits,
  RequestLedger,
} from '@ragworthall/balancer';
import {
  callRunnerWithTime,
  serviceConfig,
  serviceWithTime,
} from '@ragworthall/balancer/dist/testing/calls.js';
import {
  answered,
  type Behaviour,
  FakeBackend,
} from '@ragworthall/balancer/dist/testing/fake_backend.js';
import {FakeTime} from '@ragworthall/balancer/dist/testing/fake_time.js';
import {Rank, type ServiceConfig} from '@ragworthall/contracts';
import type {CallerRequest} from '../caller/caller_handler.js';
import {EntryInstance} from './entry_instance.js';
import {ScheduledService} from './scheduled_service.js';
import {SignHandover} from './sign_handover.js';

/** Time that a fake server takes, milliseconds. */
export const SERVICE_MS = 10;

const contract = (method: 'GET' | 'POST', idempotent: boolean) => ({
  name: idempotent ? 'read' : 'book',
  method,
  path: '/x',
  rank: Rank.Urgent,
  idempotent,
  deadlineMs: 1_000,
  targetMs: 100,
});

/** The service of the tests: `GET /x` is idempotent, `POST /x` is not. */
export const SERVICE: ServiceConfig = serviceConfig(1, 1, {
  contracts: [contract('GET', true), contract('POST', false)],
});

/** A link to another instance that ends each call as the test says. */
export class FakePeerLink implements PeerLink {
  readonly incarnation = 'inc9';
  readonly forwarded: {call: Call; role: ForwardRole}[] = [];

  constructor(
    readonly instance: string,
    private readonly end: () => ForwardOutcome | Promise<ForwardOutcome>,
  ) {}

  async forward(call: Call, role: ForwardRole): Promise<ForwardOutcome> {
    this.forwarded.push({call, role});
    return this.end();
  }
}

/** A fleet that is as the test sets it. */
export class FakeFleet implements Fleet {
  serving = true;
  /** Whether this instance owns all backend servers. */
  owns = true;
  links: readonly PeerLink[] = [];
  private readonly listeners = new Set<() => void>();

  mayServe(): boolean {
    return this.serving;
  }

  ownership() {
    const {owns} = this;
    return {
      owners: owns ? ['entry-1'] : this.links.map(l => l.instance),
      isOwn: () => owns,
    };
  }

  addresses() {
    return [{instance: 'entry-1', url: 'http://127.0.0.1:1'}];
  }

  homeOf({instance}: {instance: string}) {
    const link = this.linkTo(instance);
    return link
      ? ({kind: 'peer', link} as const)
      : ({kind: 'unreachable'} as const);
  }

  linkTo(instance: string): PeerLink | undefined {
    return this.links.find(l => l.instance === instance);
  }

  onOwnershipChanged(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** Gives the backend servers to this instance or takes them away. */
  move(owns: boolean): void {
    this.owns = owns;
    this.listeners.forEach(listener => listener());
  }
}

/** What a test chooses. */
export interface FixtureOptions {
  readonly behave?: (call: Call) => Behaviour;
  readonly links?: readonly PeerLink[];
  readonly owns?: boolean;
}

/** Returns an instance with all that it stands on. */
export function fixture(options: FixtureOptions = {}) {
  const time = new FakeTime();
  const fleet = new FakeFleet();
  fleet.links = options.links ?? [];
  fleet.owns = options.owns ?? true;
  const behave =
    options.behave ?? (() => ({delayMs: SERVICE_MS, attempt: answered()}));
  const backend = new FakeBackend(time, (unused, call) => behave(call));
  const instance = new EntryInstance({
    identity: {
      id: 'entry-1',
      incarnation: 'inc1',
      failureDomain: 'a',
      cell: 'c',
      seat: 0,
      seats: 1,
      startedAt: 0,
    },
    configuration: CONFIGURATION,
    fleet,
    runner: callRunnerWithTime(time, backend),
    ledger: new RequestLedger(
      {recordsPerMember: 100, answerBytes: 100, bytesPerMember: 1_000},
      0,
    ),
    clock: time,
    handover: new SignHandover(() => undefined, time),
    createService: cfg =>
      new ScheduledService(
        serviceWithTime(time, cfg, {mayDispatch: () => fleet.mayServe()}),
        new ProbePermits({seats: 1, startedAt: 0}),
        {
          backend,
          delegate: {probe: async () => undefined},
          clock: time,
          timers: time,
          mayProbe: () => false,
        },
        () => undefined,
      ),
  });
  /** Answers a request, with as much time as it needs. */
  const ask = async (req: CallerRequest): Promise<CallResult> => {
    const asked = instance.handle(req, new AbortController().signal);
    await time.advance(2_000);
    return asked;
  };
  return {time, fleet, backend, instance, ask};
}

/** Returns a key whose home is an instance. */
export function keyOf(home: string, unique: string): string {
  const incarnation = home === 'entry-1' ? 'inc1' : 'inc9';
  return `${keyPrefix(home, incarnation, 0)}.${unique}`;
}

/** Returns a request: of the idempotent contract if it has no key. */
export function requestOf(
  key: string | undefined,
  more: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    serviceId: 'altamar/grids',
    method: key === undefined ? 'GET' : 'POST',
    path: '/x',
    headers: [],
    body: new Uint8Array(),
    key,
    timeoutMs: undefined,
    callContext: undefined,
    ...more,
  };
}

const CONFIGURATION: ConfigurationService = {
  current: () => ({
    revision: 1,
    services: new Map([['altamar/grids', SERVICE]]),
  }),
  submit: async () => ({kind: 'store_unavailable', retryAfterMs: 0}),
  history: () => [],
  onChanged: () => ({[Symbol.dispose]: () => undefined}),
};
