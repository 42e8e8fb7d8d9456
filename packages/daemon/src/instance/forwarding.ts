/** Forwards calls to the instances that must run them. */
import {
  type Call,
  type CallResult,
  type Clock,
  refusedNotRun,
  type PeerLink,
  RefusalReason,
  type Refused,
  refusedOutcomeUnknown,
} from '@ragworthall/balancer';
import {Outcome} from '@ragworthall/contracts';

/**
 * Retry delay for callers if no owner can be reached, as while the ownership
 * changes, milliseconds.
 */
const OWNER_RETRY_AFTER_MS = 500;

/** Forwards a call to the home of its key, whose ledger records the call. */
export async function forwardToHome(
  link: PeerLink,
  call: Call,
  now: number,
  signal: AbortSignal,
): Promise<CallResult> {
  const forwarded = await link.forward(
    call,
    'home',
    call.deadline - now,
    signal,
  );
  switch (forwarded.kind) {
    case 'result':
      return forwarded.result;
    case 'not_sent':
      // Another copy may have reached the home, so only the home can return
      // "not run".
      return refusedOutcomeUnknown(RefusalReason.KeyHomeLost);
    case 'lost':
      return refusedOutcomeUnknown(RefusalReason.ConnectionLost);
    default:
      throw new Error(`unexpected outcome: ${forwarded satisfies never}`);
  }
}

/**
 * Forwards a call to the owners in turn until one accepts it. Once an owner may
 * have run the call, a later refusal as "not run" is not returned to the caller.
 */
export async function forwardToOwners(
  links: readonly PeerLink[],
  call: Call,
  clock: Clock,
  signal: AbortSignal,
): Promise<CallResult> {
  let lastRefusal: Refused = refusedNotRun(
    RefusalReason.OwnerUnreachable,
    OWNER_RETRY_AFTER_MS,
  );
  for (const link of links) {
    const timeoutMs = call.deadline - clock.now();
    if (timeoutMs <= 0) return lastRefusal;
    const forwarded = await link.forward(call, 'owner', timeoutMs, signal);
    switch (forwarded.kind) {
      case 'result':
        if (!mayAskNextOwner(forwarded.result)) {
          return combineWithEarlier(lastRefusal, forwarded.result);
        }
        lastRefusal = combineWithEarlier(lastRefusal, forwarded.result);
        break;
      case 'not_sent':
        break;
      case 'lost':
        lastRefusal = refusedOutcomeUnknown(RefusalReason.ConnectionLost);
        if (!call.contract.idempotent) return lastRefusal;
        break;
      default:
        forwarded satisfies never;
    }
  }
  return lastRefusal;
}

/**
 * Returns the result for the caller after an earlier owner refused: a refusal
 * with unknown outcome outweighs any later refusal.
 */
function combineWithEarlier<T extends CallResult>(
  earlier: Refused,
  result: T,
): T | Refused {
  const mayHaveRun = earlier.outcome === Outcome.Unknown;
  return mayHaveRun && result.kind === 'refused' ? earlier : result;
}

/** Whether the refusal concerns only this owner, so that another may accept. */
function mayAskNextOwner(result: CallResult): result is Refused {
  if (result.kind !== 'refused' || result.outcome !== 'not-run') return false;
  return (
    result.reason === RefusalReason.NotInForce ||
    result.reason === RefusalReason.Stopping ||
    result.reason === RefusalReason.NoBackendServer ||
    result.reason === RefusalReason.UnknownService
  );
}

/** Whether no server has run the call, for the given reason. */
export function isRefusedNotRun(
  result: CallResult,
  reason: RefusalReason,
): boolean {
  return (
    result.kind === 'refused' &&
    result.outcome === 'not-run' &&
    result.reason === reason
  );
}
