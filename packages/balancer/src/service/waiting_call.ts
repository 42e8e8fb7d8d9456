/** A call that is queued until a backend server has a free slot. */
import type {BackendServer} from '../backend_server/backend_server.js';
import type {SlotUse} from '../backend_server/slot_use.js';
import {offAbort, onAbort} from '../link/abort.js';
import {type Call, RefusalReason, type Refused} from '../link/call.js';
import {refusedNotRun} from '../request_key/request_ledger.js';

/** The decision of a service about a call. */
export type Placement =
  /**
   * Send the call to this server now; call `release` when the attempt has
   * ended.
   */
  | {
      readonly kind: 'dispatch';
      readonly server: BackendServer;
      readonly slot: SlotUse;
    }
  | Refused;

/** A queued call, until it is placed or refused, or its caller disconnects. */
export class WaitingCall {
  /** Whether the call has been placed or refused. */
  settled = false;
  /** Resolves with the placement; never rejects. */
  readonly placement: Promise<Placement>;
  private resolve!: (placement: Placement) => void;
  private readonly onAbort: () => void;

  /**
   * `onLeft` is called if the caller disconnects before the call is settled.
   */
  constructor(
    readonly call: Call,
    /** Backend servers that must not get the call. */
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

  /**
   * Time by which the answer must arrive to meet the contract's latency target.
   */
  get targetAt(): number {
    return this.arrivedAt + this.call.contract.targetMs;
  }

  /** Resolves the placement; only the first invocation has an effect. */
  settle(placement: Placement): void {
    if (this.settled) return;
    this.settled = true;
    offAbort(this.signal, this.onAbort);
    this.resolve(placement);
  }
}
