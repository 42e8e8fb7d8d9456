/** Decides which requests were passed on by another instance. */
import type {GatewayLog} from '../log/gateway_log.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {CallerRequest} from '../request/caller_request.js';
import {type InstanceKeys, ProofKind} from './instance_keys.js';
import {
  encodeRelayTerms,
  RELAY_PROOF_HEADER,
  type RelayTerms,
} from './relay_header.js';

/** What the gate has to know of the fleet. */
export interface RelayFleet {
  readonly keys: InstanceKeys;
  /** Whether an instance of a build without keys may be among the others. */
  readonly hasEarlierBuilds: boolean;
}

/** What a proof is about, for a request that is passed on. */
export type ProvedRequest = Pick<
  CallerRequest,
  'id' | 'method' | 'target' | 'host'
>;

/** Returns the fields of the proof that belongs to a relayed request. */
export function relayProofFields(
  terms: RelayTerms,
  {id, method, target, host}: ProvedRequest,
): readonly string[] {
  return [encodeRelayTerms(terms), id, method, target, host];
}

/** Takes the terms away from requests that no instance has passed on. */
export class RelayGate {
  constructor(
    private readonly fleet: RelayFleet,
    private readonly log: GatewayLog,
    private readonly metrics: GatewayMetrics,
  ) {}

  /** Returns the request as it is to be handled, without its proof. */
  admit(request: CallerRequest): CallerRequest {
    const proof = proofOf(request.headers);
    if (request.relay === undefined && proof === undefined) return request;
    const {relay} = request;
    const admitted = {...request, headers: withoutProof(request.headers)};
    if (relay && this.isProved(request, relay, proof)) return admitted;
    this.log.messageUnproven(ProofKind.Relay, request.id);
    this.metrics.messageUnproven(ProofKind.Relay);
    return {...admitted, relay: this.mayBeGenuine ? relay : undefined};
  }

  private isProved(
    request: CallerRequest,
    terms: RelayTerms,
    proof: string | undefined,
  ): boolean {
    if (proof === undefined) return false;
    const fields = relayProofFields(terms, request);
    return this.fleet.keys.accepts(ProofKind.Relay, fields, proof);
  }

  /**
   * Whether an instance may have passed on a request without a proof that can be
   * checked. Its terms then hold: they only restrict what is done with it.
   */
  private get mayBeGenuine(): boolean {
    return this.fleet.hasEarlierBuilds || !this.fleet.keys.isSettled;
  }
}

function isProofName(name: string): boolean {
  return (
    name.length === RELAY_PROOF_HEADER.length &&
    name.toLowerCase() === RELAY_PROOF_HEADER
  );
}

/** Returns the first proof among alternating names and values. */
function proofOf(headers: readonly string[]): string | undefined {
  const at = headers.findIndex((name, i) => i % 2 === 0 && isProofName(name));
  return at < 0 ? undefined : headers[at + 1];
}

function withoutProof(headers: readonly string[]): readonly string[] {
  return headers.filter((_, i) => !isProofName(headers[i - (i % 2)]!));
}
