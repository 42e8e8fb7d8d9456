/** Test fixture: an entry instance with a fake fleet, fake backend servers and fake time. */
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
import {ServingConfirmationHandover} from './serving_confirmation_handover.js';

/** Time that a fake backend server takes for a call, milliseconds. */
export const SERVICE_TIME_MS = 10;

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

/** Link to another instance that returns the result chosen by the test. */
export class FakePeerLink implements PeerLink {
  readonly incarnation = 'inc9';
  readonly forwarded: {call: Call; role: ForwardRole}[] = [];

  constructor(
    readonly instance: string,
    private readonly outcome: () => ForwardOutcome | Promise<ForwardOutcome>,
  ) {}

  async forward(call: Call, role: ForwardRole): Promise<ForwardOutcome> {
    this.forwarded.push({call, role});
    return this.outcome();
  }
}

/** Fleet whose lease, ownership and links are set by the test. */
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

  /** Moves the ownership of all backend servers to or from this instance. */
  setOwnership(owns: boolean): void {
    this.owns = owns;
    this.listeners.forEach(listener => listener());
  }
}

/** Options of {@link createFixture}. */
export interface FixtureOptions {
  readonly behave?: (call: Call) => Behaviour;
  readonly links?: readonly PeerLink[];
  readonly owns?: boolean;
}

/** Creates an instance with its fake dependencies. */
export function createFixture(options: FixtureOptions = {}) {
  const time = new FakeTime();
  const fleet = new FakeFleet();
  fleet.links = options.links ?? [];
  fleet.owns = options.owns ?? true;
  const behave =
    options.behave ?? (() => ({delayMs: SERVICE_TIME_MS, attempt: answered()}));
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
    handover: new ServingConfirmationHandover(() => undefined, time),
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
  /** Handles a request and advances the time until it has ended. */
  const ask = async (req: CallerRequest): Promise<CallResult> => {
    const result = instance.handle(req, new AbortController().signal);
    await time.advance(2_000);
    return result;
  };
  return {time, fleet, backend, instance, ask};
}

/** Returns a request key whose home is the given instance. */
export function keyIssuedBy(home: string, unique: string): string {
  const incarnation = home === 'entry-1' ? 'inc1' : 'inc9';
  return `${keyPrefix(home, incarnation, 0)}.${unique}`;
}

/** Returns a request: without a key, one of the idempotent contract. */
export function requestWithKey(
  key: string | undefined,
  overrides: Partial<CallerRequest> = {},
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
    ...overrides,
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
