/**
 * One entry instance: accepts calls from callers and from other instances,
 * forwards those that another instance must run, and runs the others on the
 * backend servers that it owns.
 */
import {
  type Call,
  type CallResult,
  type CallRunner,
  type Clock,
  type ConfigurationService,
  type Fleet,
  type ForwardRole,
  type InstanceIdentity,
  keyPrefix,
  KEY_LIFETIME_MS,
  computeCallLimits,
  NEVER_ABORTED,
  refusedNotRun,
  parseRequestKey,
  RefusalReason,
  startOfIncarnation,
  type Refused,
  type RequestKey,
  type RequestLedger,
  refusedOutcomeUnknown,
} from '@ragworthall/balancer';
import type {
  AddressAnswer,
  AddressEntry,
  Contract,
  ServiceId,
} from '@ragworthall/contracts';
import type {
  CallerRequest,
  CallerResult,
  CallHandler,
  RequestHead,
} from '../caller/caller_handler.js';
import {fingerprintOf} from '../caller/fingerprint.js';
import {asEndedByStop, REFUSED_STOPPING} from '../caller/refusal.js';
import {EndableRuns} from './endable_runs.js';
import {RefusalCounter} from './refusal_counter.js';
import {InFlightCounter} from './in_flight_counter.js';
import type {ServingConfirmationHandover} from './serving_confirmation_handover.js';
import {forwardToHome, forwardToOwners, isRefusedNotRun} from './forwarding.js';
import {
  type ServiceEntry,
  type ServiceFactory,
  ServiceMap,
} from './service_map.js';

/** Time for which callers may cache an address answer, milliseconds. */
export const ADDRESS_ANSWER_TTL_MS = 5_000;
/** Attempts to place one call while the ownership of its servers changes. */
const MAX_SCHEDULING_ATTEMPTS = 3;

/** Dependencies of an {@link EntryInstance}. */
export interface EntryInstanceOptions {
  readonly identity: InstanceIdentity;
  readonly configuration: ConfigurationService;
  readonly fleet: Fleet;
  readonly runner: CallRunner;
  readonly ledger: RequestLedger;
  readonly clock: Clock;
  readonly createService: ServiceFactory;
  readonly handover: ServingConfirmationHandover;
}

/** The entry instance that runs in this process. */
export class EntryInstance implements CallHandler, AsyncDisposable {
  readonly services: ServiceMap;
  /** Counts the refusals that were returned to callers. */
  readonly refusals = new RefusalCounter();
  private readonly identity: InstanceIdentity;
  private readonly fleet: Fleet;
  private readonly runner: CallRunner;
  private readonly ledger: RequestLedger;
  private readonly clock: Clock;
  private readonly inFlight = new InFlightCounter();
  private readonly runs = new EndableRuns();
  /** Latest time for an answer, milliseconds; finite once a stop has begun. */
  private answersUntil = Infinity;
  private hasEnded = false;
  private callCount = 0;
  private ownerRotation = 0;

  constructor(options: EntryInstanceOptions) {
    this.identity = options.identity;
    this.fleet = options.fleet;
    this.runner = options.runner;
    this.ledger = options.ledger;
    this.clock = options.clock;
    this.services = new ServiceMap(
      options.configuration,
      options.fleet,
      options.clock,
      options.createService,
      options.handover,
    );
  }

  addresses(serviceId: ServiceId): AddressAnswer | undefined {
    if (!this.services.get(serviceId)) return undefined;
    const now = this.clock.now();
    const addresses = this.addressesByOwner(serviceId, now);
    return {
      service: serviceId,
      addresses,
      keepForMs: ADDRESS_ANSWER_TTL_MS,
      keyPrefix: this.keyPrefixFor(addresses[0]?.instance, now),
      keyLifetimeMs: KEY_LIFETIME_MS,
    };
  }

  /**
   * Returns the addresses for callers. If a service has several owners, they
   * come first, starting with a different one at each request, so that callers
   * spread over all of them.
   */
  private addressesByOwner(
    serviceId: ServiceId,
    now: number,
  ): readonly AddressEntry[] {
    const all = this.fleet.addresses(serviceId, now);
    const {owners} = this.fleet.ownership(serviceId, now);
    const ownerAddresses = all.filter(a => owners.includes(a.instance));
    if (ownerAddresses.length < 2) return all;
    this.ownerRotation = (this.ownerRotation + 1) % ownerAddresses.length;
    const others = all.filter(a => !owners.includes(a.instance));
    return [
      ...ownerAddresses.slice(this.ownerRotation),
      ...ownerAddresses.slice(0, this.ownerRotation),
      ...others,
    ];
  }

  /**
   * Uses the key prefix of the instance that the caller will contact first, so
   * that keyed requests need no hop to the home of their key.
   */
  private keyPrefixFor(first: string | undefined, now: number): string {
    const link = first === undefined ? undefined : this.fleet.linkTo(first);
    if (link) {
      const since = Date.now() - startOfIncarnation(link.incarnation);
      return keyPrefix(link.instance, link.incarnation, Math.max(0, since));
    }
    const {id, incarnation, startedAt} = this.identity;
    return keyPrefix(id, incarnation, now - startedAt);
  }

  async handle(req: CallerRequest, signal: AbortSignal): Promise<CallerResult> {
    const result = this.nameStop(await this.answerRequest(req, signal));
    if (result.kind === 'refused') this.refusals.add(req.serviceId, result);
    return result;
  }

  private async answerRequest(
    req: CallerRequest,
    signal: AbortSignal,
  ): Promise<CallerResult> {
    if (this.hasEnded) return this.refuse(req, REFUSED_STOPPING);
    const entry = this.services.get(req.serviceId);
    const contract = entry?.contracts.match(req.method, req.path);
    if (!contract) return this.refuse(req, unmatchedRefusal(entry));
    const call = this.createCall(req, contract);
    if ('kind' in call) return this.refuse(req, call);
    using owned = this.inFlight.track();
    const result = await this.run(call, signal);
    return {...result, requestId: call.id};
  }

  /** Refuses a request; only the home of its key may return "not run". */
  async refuse(req: RequestHead, refused: Refused): Promise<CallResult> {
    const contracts = this.services.get(req.serviceId)?.contracts;
    const idempotent = contracts?.match(req.method, req.path)?.idempotent;
    if (idempotent || req.key === undefined) return refused;
    const key = parseRequestKey(req.key);
    if (key.isErr()) return refused;
    // A service name that is not configured must not fill the ledger, because
    // callers can send any name.
    if (!contracts || !this.isHome(key.value))
      return refusedOutcomeUnknown(refused.reason);
    const now = this.clock.now();
    return this.ledger.refuse(key.value, req.key, req.serviceId, refused, now);
  }

  private async run(call: Call, signal: AbortSignal): Promise<CallResult> {
    if (call.contract.idempotent) return this.runOrForward(call, signal);
    if (call.key === undefined) return refusedNotRun(RefusalReason.KeyMissing);
    const key = parseRequestKey(call.key);
    if (key.isErr()) return refusedNotRun(RefusalReason.KeyMalformed);
    return this.runKeyed(key.value, call);
  }

  /** Runs a call that another instance forwarded. Never rejects. */
  async handleForwarded(
    call: Call,
    role: ForwardRole,
    signal: AbortSignal,
  ): Promise<CallResult> {
    using owned = this.inFlight.track();
    const deadline = Math.min(call.deadline, this.answersUntil);
    return this.nameStop(
      await this.runForwarded({...call, deadline}, role, signal),
    );
  }

  private async runForwarded(
    call: Call,
    role: ForwardRole,
    signal: AbortSignal,
  ): Promise<CallResult> {
    switch (role) {
      case 'home': {
        const key = parseRequestKey(call.key ?? '');
        if (key.isErr()) return refusedNotRun(RefusalReason.KeyMalformed);
        if (!this.isHome(key.value))
          return refusedOutcomeUnknown(RefusalReason.KeyHomeLost);
        if (this.hasEnded)
          return this.refuse({...call, key: call.key}, REFUSED_STOPPING);
        return this.runAtHome(key.value, call);
      }
      case 'owner': {
        if (this.hasEnded) return REFUSED_STOPPING;
        using run = this.runs.open(
          call.contract.idempotent ? signal : NEVER_ABORTED,
        );
        return await this.runAsOwner(call, run.signal);
      }
      default:
        throw new Error(`unexpected role: ${role satisfies never}`);
    }
  }

  /**
   * Bounds the deadlines of later calls, so that none begins whose answer would
   * come when the stop has no time left.
   *
   * @param at Time on the monotonic clock, milliseconds.
   */
  answerUntil(at: number): void {
    this.answersUntil = at;
  }

  end(): void {
    this.hasEnded = true;
    this.runs.endAll();
  }

  /** Resolves when no call is in flight, neither of callers nor forwarded. */
  drained(): Promise<void> {
    return this.inFlight.whenEmpty();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.services[Symbol.asyncDispose]();
  }

  private isHome(key: RequestKey): boolean {
    const {id, incarnation} = this.identity;
    return key.instance === id && key.incarnation === incarnation;
  }

  private async runKeyed(key: RequestKey, call: Call): Promise<CallResult> {
    if (this.isHome(key)) return this.runAtHome(key, call);
    const home = this.fleet.homeOf(key);
    switch (home.kind) {
      case 'self':
        return this.runAtHome(key, call);
      case 'peer': {
        using run = this.runs.open();
        const now = this.clock.now();
        return await forwardToHome(home.link, call, now, run.signal);
      }
      case 'unreachable':
        // The home may have run another copy of the call, so only it can
        // return "not run".
        return refusedOutcomeUnknown(RefusalReason.KeyHomeLost);
      default:
        throw new Error(`unexpected home: ${home satisfies never}`);
    }
  }

  /** Runs a call whose key this incarnation issued, or joins its earlier run. */
  private async runAtHome(key: RequestKey, call: Call): Promise<CallResult> {
    const admission = this.ledger.admit(
      key,
      call.key!,
      call.serviceId,
      call.fingerprint,
      this.clock.now(),
    );
    switch (admission.kind) {
      case 'refused':
        return admission;
      case 'join':
        return admission.result;
      case 'run': {
        // The call continues if its caller disconnects: the ledger keeps the
        // result for later copies.
        using run = this.runs.open();
        const result = await this.runOrForward(call, run.signal);
        this.ledger.settle(admission.record, result);
        return result;
      }
      default:
        throw new Error(`unexpected admission: ${admission satisfies never}`);
    }
  }

  /** Runs a call on owned backend servers, or forwards it to an owner. */
  private async runOrForward(
    call: Call,
    signal: AbortSignal,
  ): Promise<CallResult> {
    let result: CallResult = refusedNotRun(RefusalReason.OwnerUnreachable);
    for (let attempts = 0; attempts < MAX_SCHEDULING_ATTEMPTS; attempts += 1) {
      const entry = this.services.get(call.serviceId);
      if (!entry) return refusedNotRun(RefusalReason.UnknownService);
      const isOwner = entry.ownedServerCount > 0;
      result = isOwner
        ? await this.runAsOwner(call, signal)
        : await this.forwardToOwner(call, signal);
      const moved = isOwner !== entry.ownedServerCount > 0;
      if (!moved || !isRefusedNotRun(result, RefusalReason.NoBackendServer))
        break;
    }
    return result;
  }

  private async runAsOwner(
    call: Call,
    signal: AbortSignal,
  ): Promise<CallResult> {
    if (!this.fleet.mayServe(this.clock.now())) {
      return refusedNotRun(RefusalReason.NotInForce);
    }
    const entry = this.services.get(call.serviceId);
    if (!entry) return refusedNotRun(RefusalReason.UnknownService);
    return this.runner.run(entry.service, call, signal);
  }

  private forwardToOwner(call: Call, signal: AbortSignal): Promise<CallResult> {
    const now = this.clock.now();
    const {owners} = this.fleet.ownership(call.serviceId, now);
    const links = owners.flatMap(id => this.fleet.linkTo(id) ?? []);
    return forwardToOwners(links, call, this.clock, signal);
  }

  private nameStop(result: CallResult): CallResult {
    return this.hasEnded ? asEndedByStop(result) : result;
  }

  private createCall(req: CallerRequest, contract: Contract): Call | Refused {
    const limits = computeCallLimits(
      contract,
      req.timeoutMs,
      req.callContext,
      Date.now(),
    );
    if (limits.kind === 'refused') return limits;
    return {
      id: this.nextCallId(),
      serviceId: req.serviceId,
      contract,
      rank: limits.rank,
      method: req.method,
      path: req.path,
      headers: req.headers,
      body: req.body,
      key: contract.idempotent ? undefined : req.key,
      deadline: Math.min(
        this.clock.now() + limits.remainingMs,
        this.answersUntil,
      ),
      retriesLeft: contract.idempotent ? limits.retriesLeft : 0,
      depth: limits.depth,
      fingerprint: fingerprintOf(req),
    };
  }

  private nextCallId(): string {
    this.callCount += 1;
    const {id, incarnation} = this.identity;
    return `${id}-${incarnation}-${this.callCount.toString(36)}`;
  }
}

function unmatchedRefusal(entry: ServiceEntry | undefined): Refused {
  return entry
    ? refusedNotRun(RefusalReason.UnknownContract)
    : refusedNotRun(RefusalReason.UnknownService);
}
