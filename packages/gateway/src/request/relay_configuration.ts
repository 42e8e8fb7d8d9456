/** The configuration under which this instance serves what others relay to it. */
import type {Deployment} from '@ragworthall/balancer';
import {pause} from '../instance/pause.js';
import type {RelayTerms} from '../peer/relay_header.js';
import type {CallerRequest} from './caller_request.js';

/** Longest wait for the configuration of the other instance, milliseconds. */
const MAX_WAIT_MS = 1_000;

/**
 * Whether the configuration in force is older than the one of the instance that
 * relayed a request. Under a newer one it is served as if it had come here first.
 */
export function isBehind(
  {routes}: Deployment,
  {configuration}: RelayTerms,
): boolean {
  return configuration > (routes?.configuration.version ?? -Infinity);
}

/**
 * Waits while this instance is behind with its configuration, which reaches the
 * instances one after the other.
 */
export async function awaitConfiguration(
  deployment: Deployment,
  terms: RelayTerms,
  {callerGone}: CallerRequest,
): Promise<void> {
  if (!isBehind(deployment, terms)) return;
  const caughtUp = new AbortController();
  using unusedListener = deployment.onConfigured(() => {
    if (!isBehind(deployment, terms)) caughtUp.abort();
  });
  await pause(MAX_WAIT_MS, AbortSignal.any([caughtUp.signal, callerGone]));
}
