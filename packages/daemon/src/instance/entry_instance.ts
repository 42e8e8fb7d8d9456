/**
 * One entry instance: takes calls from callers and from other instances, finds
 * the instance that must run each, and runs its own on backend servers.
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
} from '../caller/caller_handler.js';
import {fingerprintOf} from '../caller/fingerprint.js';
import {RefusalTally} from './refusal_tally.js';
import {InFlight} from './in_flight.js';
import type {SignHandover} from './sign_handover.js';
import {forwardToHome, forwardToOwners} from './forwarding.js';
import {
  type ServiceEntry,
  type ServiceFactory,
  ServiceMap,
} from './service_map.js';

/** How long callers may keep an address answer, milliseconds. */
export const KEEP_ANSWER_MS = 5_000;
/** Times that one call may change between own servers and other owners. */
const MAX_OWNER_CHANGES = 3;

/** What is known of a request before its body is read. */
export type RequestHead = Pick<
  CallerRequest,
  'serviceId' | 'method' | 'path' | 'key'
>;

/** The parts that an instance is made of. */
export interface EntryInstanceParts {
  readonly identity: InstanceIdentity;
  readonly configuration: ConfigurationService;
  readonly fleet: Fleet;
  readonly runner: CallRunner;
  readonly ledger: RequestLedger;
  readonly clock: Clock;
  readonly createService: ServiceFactory;
  readonly handover: SignHandover;
}

/** The instance that this process is. */
export class EntryInstance implements CallHandler, AsyncDisposable {
  readonly services: ServiceMap;
  /** Refusals that callers were told. */
  readonly refusals = new RefusalTally();
  private readonly identity: InstanceIdentity;
  private readonly fleet: Fleet;
  private readonly runner: CallRunner;
  private readonly ledger: RequestLedger;
  private readonly clock: Clock;
  private readonly inFlight = new InFlight();
  private callCount = 0;
  private turn = 0;

  constructor(parts: EntryInstanceParts) {
    this.identity = parts.identity;
    this.fleet = parts.fleet;
    this.runner = parts.runner;
    this.ledger = parts.ledger;
    this.clock = parts.clock;
    this.services = new ServiceMap(
      parts.configuration,
      parts.fleet,
      parts.clock,
      parts.createService,
      parts.handover,
    );
  }

  addresses(serviceId: ServiceId): AddressAnswer | undefined {
    if (!this.services.get(serviceId)) return undefined;
    const now = this.clock.now();
    const addresses = this.spread(serviceId, now);
    return {
      service: serviceId,
      addresses,
      keepForMs: KEEP_ANSWER_MS,
      keyPrefix: this.keyPrefixAt(addresses[0]?.instance, now),
      keyLifetimeMs: KEY_LIFETIME_MS,
    };
  }

  /** Names a different owner first each time, so that owners share the work. */
  private spread(serviceId: ServiceId, now: number): readonly AddressEntry[] {
    const all = this.fleet.addresses(serviceId, now);
    const {owners} = this.fleet.ownership(serviceId, now);
    const own = all.filter(a => owners.includes(a.instance));
    if (own.length < 2) return all;
    this.turn = (this.turn + 1) % own.length;
    const others = all.filter(a => !owners.includes(a.instance));
    return [...own.slice(this.turn), ...own.slice(0, this.turn), ...others];
  }

  /** Keys live where their requests will go, which saves a hop. */
  private keyPrefixAt(first: string | undefined, now: number): string {
    const link = first === undefined ? undefined : this.fleet.linkTo(first);
    if (link) {
      const since = Date.now() - startOfIncarnation(link.incarnation);
      return keyPrefix(link.instance, link.incarnation, Math.max(0, since));
    }
    const {id, incarnation, startedAt} = this.identity;
    return keyPrefix(id, incarnation, now - startedAt);
  }

  async handle(req: CallerRequest, signal: AbortSignal): Promise<CallerResult> {
    const result = await this.answer(req, signal);
    if (result.kind === 'refused') this.refusals.add(req.serviceId, result);
    return result;
  }

  private async answer(
    req: CallerRequest,
    signal: AbortSignal,
  ): Promise<CallerResult> {
    const entry = this.services.get(req.serviceId);
    const contract = entry?.contracts.match(req.method, req.path);
    if (!contract) return this.refuse(req, unmatched(entry));
    const call = this.callOf(req, contract);
    if ('kind' in call) return this.refuse(req, call);
    using owned = this.inFlight.enter();
    const result = await this.run(call, signal);
    return {...result, requestId: call.id};
  }

  /** Refuses a request; only the home of its key may say "not run". */
  async refuse(req: RequestHead, refused: Refused): Promise<CallResult> {
    const contracts = this.services.get(req.serviceId)?.contracts;
    const idempotent = contracts?.match(req.method, req.path)?.idempotent;
    if (idempotent || req.key === undefined) return refused;
    const key = parseRequestKey(req.key);
    if (key.isErr()) return refused;
    // The ledger keeps no room for names that anybody can make up.
    if (!contracts || !this.isHome(key.value))
      return refusedOutcomeUnknown(refused.reason);
    const now = this.clock.now();
    return this.ledger.refuse(key.value, req.key, req.serviceId, refused, now);
  }

  private async run(call: Call, signal: AbortSignal): Promise<CallResult> {
    if (call.contract.idempotent) return this.schedule(call, signal);
    if (call.key === undefined) return refusedNotRun(RefusalReason.KeyMissing);
    const key = parseRequestKey(call.key);
    if (key.isErr()) return refusedNotRun(RefusalReason.KeyMalformed);
    return this.runKeyed(key.value, call);
  }

  /** Runs a call that another instance passed on. Never rejects. */
  async handleForwarded(
    call: Call,
    role: ForwardRole,
    signal: AbortSignal,
  ): Promise<CallResult> {
    using owned = this.inFlight.enter();
    switch (role) {
      case 'home': {
        const key = parseRequestKey(call.key ?? '');
        if (key.isErr()) return refusedNotRun(RefusalReason.KeyMalformed);
        if (!this.isHome(key.value))
          return refusedOutcomeUnknown(RefusalReason.KeyHomeLost);
        return await this.runAtHome(key.value, call);
      }
      case 'owner':
        return await this.runAsOwner(
          call,
          call.contract.idempotent ? signal : NEVER_ABORTED,
        );
      default:
        throw new Error(`unexpected role: ${role satisfies never}`);
    }
  }

  /** Resolves when no call is in flight here, in any role. */
  drained(): Promise<void> {
    return this.inFlight.empty();
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
      case 'peer':
        return forwardToHome(home.link, call, this.clock.now());
      case 'unreachable':
        // The home may have run a copy: only it could say "not run".
        return refusedOutcomeUnknown(RefusalReason.KeyHomeLost);
      default:
        throw new Error(`unexpected home: ${home satisfies never}`);
    }
  }

  /** Runs a call whose key this incarnation issued, or joins its run. */
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
        // A caller that leaves does not cancel it: its result is kept.
        const result = await this.schedule(call, NEVER_ABORTED);
        this.ledger.settle(admission.record, result);
        return result;
      }
      default:
        throw new Error(`unexpected admission: ${admission satisfies never}`);
    }
  }

  /** Runs a call on own backend servers or at an instance that has some. */
  private async schedule(call: Call, signal: AbortSignal): Promise<CallResult> {
    let result: CallResult = refusedNotRun(RefusalReason.OwnerUnreachable);
    for (let changes = 0; changes < MAX_OWNER_CHANGES; changes += 1) {
      const entry = this.services.get(call.serviceId);
      if (!entry) return refusedNotRun(RefusalReason.UnknownService);
      const isOwner = entry.ownServers > 0;
      result = isOwner
        ? await this.runAsOwner(call, signal)
        : await this.passToOwner(call, signal);
      const moved = isOwner !== entry.ownServers > 0;
      if (!moved || !isUnrun(result, RefusalReason.NoBackendServer)) break;
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

  private passToOwner(call: Call, signal: AbortSignal): Promise<CallResult> {
    const now = this.clock.now();
    const {owners} = this.fleet.ownership(call.serviceId, now);
    const links = owners.flatMap(id => this.fleet.linkTo(id) ?? []);
    return forwardToOwners(links, call, this.clock, signal);
  }

  private callOf(req: CallerRequest, contract: Contract): Call | Refused {
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
      deadline: this.clock.now() + limits.remainingMs,
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

function unmatched(entry: ServiceEntry | undefined): Refused {
  return entry
    ? refusedNotRun(RefusalReason.UnknownContract)
    : refusedNotRun(RefusalReason.UnknownService);
}

function isUnrun(result: CallResult, reason: RefusalReason): boolean {
  return (
    result.kind === 'refused' &&
    result.outcome === 'not-run' &&
    result.reason === reason
  );
}
