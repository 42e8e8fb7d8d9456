/** Dependencies and settings that an instance passes to its services. */
import type {Clock, Timers} from '../link/clock.js';
import type {Random} from '../link/random.js';
import type {DispatchPolicy} from './dispatch_policy.js';

/**
 * Whether a server gets work only if it has recently confirmed that it is not
 * leaving.
 */
export type ServingConfirmation =
  | {readonly kind: 'required'}
  /**
   * No prober runs: a configured server counts as serving until it reports
   * otherwise.
   */
  | {readonly kind: 'assumed'};

/** Options of a service; each one has a default. */
export interface ServiceOptions {
  readonly clock?: Clock;
  readonly timers?: Timers;
  readonly random?: Random;
  readonly policy?: DispatchPolicy;
  readonly servingConfirmation?: ServingConfirmation;
  /** Whether the instance may send work now; evaluated at each dispatch. */
  readonly mayDispatch?: (now: number) => boolean;
  /** Failure domain of the instance. */
  readonly failureDomain?: string;
}
