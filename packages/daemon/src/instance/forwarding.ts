/** Passes calls to the instance that must run them. */
import {
  NEVER_ABORTED,
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

/** Wait that a caller is told while ownership moves, milliseconds. */
const OWNER_RETRY_MS = 500;

/** Passes a call to the instance that keeps its key. */
export async function forwardToHome(
  link: PeerLink,
  call: Call,
  now: number,
): Promise<CallResult> {
  const forwarded = await link.forward(
    call,
    'home',
    call.deadline - now,
    NEVER_ABORTED,
  );
  switch (forwarded.kind) {
    case 'result':
      return forwarded.result;
    case 'not_sent':
      // Another copy may have reached the home: only it could say "not run".
      return refusedOutcomeUnknown(RefusalReason.KeyHomeLost);
    case 'lost':
      return refusedOutcomeUnknown(RefusalReason.ConnectionLost);
    default:
      throw new Error(`unexpected end: ${forwarded satisfies never}`);
  }
}

/**
 * Passes a call to the first of the owners that takes it. Once one of them may
 * have run it, no refusal of another can say that it was not run.
 */
export async function forwardToOwners(
  links: readonly PeerLink[],
  call: Call,
  clock: Clock,
  signal: AbortSignal,
): Promise<CallResult> {
  let last: Refused = refusedNotRun(
    RefusalReason.OwnerUnreachable,
    OWNER_RETRY_MS,
  );
  for (const link of links) {
    const timeoutMs = call.deadline - clock.now();
    if (timeoutMs <= 0) return last;
    const forwarded = await link.forward(call, 'owner', timeoutMs, signal);
    switch (forwarded.kind) {
      case 'result':
        if (!mayAskNextOwner(forwarded.result)) {
          return afterOthers(last, forwarded.result);
        }
        last = afterOthers(last, forwarded.result);
        break;
      case 'not_sent':
        break;
      case 'lost':
        last = refusedOutcomeUnknown(RefusalReason.ConnectionLost);
        if (!call.contract.idempotent) return last;
        break;
      default:
        forwarded satisfies never;
    }
  }
  return last;
}

/** What the caller is told by a result that came after another refusal. */
function afterOthers<T extends CallResult>(
  earlier: Refused,
  result: T,
): T | Refused {
  const mayHaveRun = earlier.outcome === Outcome.Unknown;
  return mayHaveRun && result.kind === 'refused' ? earlier : result;
}

/** Whether an owner refused for a reason of its own. */
function mayAskNextOwner(result: CallResult): result is Refused {
  if (result.kind !== 'refused' || result.outcome !== 'not-run') return false;
  return (
    result.reason === RefusalReason.NotInForce ||
    result.reason === RefusalReason.Stopping ||
    result.reason === RefusalReason.NoBackendServer ||
    result.reason === RefusalReason.UnknownService
  );
}
