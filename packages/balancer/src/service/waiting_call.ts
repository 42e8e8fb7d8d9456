/** A call that waits at a service for a slot of a backend server. */
import type {BackendServer} from '../backend_server/backend_server.js';
import type {SlotUse} from '../backend_server/slot_use.js';
import {offAbort, onAbort} from '../link/abort.js';
import {type Call, RefusalReason, type Refused} from '../link/call.js';
import {refusedNotRun} from '../request_key/request_ledger.js';

/** What a service decided for a call. */
export type Placement =
  /** Send it to this server now; call `release` when the attempt has ended. */
  | {
      readonly kind: 'dispatch';
      readonly server: BackendServer;
      readonly slot: SlotUse;
    }
  | Refused;

/** A call in a queue, until it is placed, refused or left by its caller. */
export class WaitingCall {
  /** Whether it has its placement. */
  settled = false;
  /** Resolves with the placement; never rejects. */
  readonly placement: Promise<Placement>;
  private resolve!: (placement: Placement) => void;
  private readonly onAbort: () => void;

  /** `onLeft` is called if the caller leaves first. */
  constructor(
    readonly call: Call,
    /** Backend servers that must not get it. */
    readonly excluded: ReadonlySet<string>,
    readonly arrivedAt: number,
    private readonly signal: AbortSignal,
    onLeft: (waiting: WaitingCall) => void,
  ) {
    this.placement = new Promise(resolve => (this.resolve = resolve));
    this.onAbort = () => {
      this.settle(refusedNotRun(RefusalReason.CallerLeft));
      onLeft(this);
    };
    onAbort(signal, this.onAbort);
  }

  /** Moment until which an answer is within the contract's target. */
  get targetAt(): number {
    return this.arrivedAt + this.call.contract.targetMs;
  }

  /** Gives it its placement; only the first one counts. */
  settle(placement: Placement): void {
    if (this.settled) return;
    this.settled = true;
    offAbort(this.signal, this.onAbort);
    this.resolve(placement);
  }
}
