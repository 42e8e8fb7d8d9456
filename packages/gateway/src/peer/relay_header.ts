/**
 * Headers by which one instance passes a request on to another. A relayed request
 * goes to the address for callers, so that limits, cancellation and a graceful
 * stop treat it as any other.
 */

/** On a relayed request: its terms. Never passed on to a backend server. */
export const RELAY_HEADER = 'ragworthall-relay';
/** On a relayed request: proof that an instance sent it, see `InstanceKeys`. */
export const RELAY_PROOF_HEADER = 'ragworthall-relay-proof';
/** On the answer to a relayed request: id of the backend server that gave it. */
export const ANSWERING_SERVER_HEADER = 'ragworthall-server';

/** Terms under which the other instance may serve a request. */
export interface RelayTerms {
  /** Version of the configuration by which it has to be handled. */
  readonly configuration: number;
  /** Number of backend servers that it may still be sent to. */
  readonly attempts: number;
  /** What a later build has added, as it was received; not known here. */
  readonly added?: string | undefined;
}

/** Later fields follow after further semicolons. */
const TERMS = /^(\d{1,15});(\d{1,4})(?:;([\x21-\x7e]{1,256}))?$/;

/** Returns the value of the {@link RELAY_HEADER}. */
export function encodeRelayTerms({
  configuration,
  attempts,
  added,
}: RelayTerms): string {
  const terms = `${configuration};${attempts}`;
  return added === undefined ? terms : `${terms};${added}`;
}

/** Parses the value of the {@link RELAY_HEADER}; undefined if it is malformed. */
export function parseRelayTerms(value: string): RelayTerms | undefined {
  const match = TERMS.exec(value);
  if (!match) return undefined;
  const [, configuration, attempts, added] = match;
  return {
    configuration: Number(configuration),
    attempts: Number(attempts),
    ...(added !== undefined && {added}),
  };
}
