/** What a run recorded, from all who took part. */
import type {LedgerReport} from '@ragworthall/standins';
import type {Observation} from '../caller/work.js';

/** One backend server's own record. */
export interface ServerRecord {
  readonly id: string;
  readonly ledger: LedgerReport;
  /** Time between probes that its budget allows, milliseconds. */
  readonly probeIntervalMs: number;
  /** Instances that may probe it at the same moment. */
  readonly probers: number;
}

/** A change of configuration that an operator was told is accepted. */
export interface AcceptedChange {
  readonly revision: number;
  /** Identity of the operator's change. */
  readonly operation: string;
  /** Unix time, milliseconds. */
  readonly acceptedAt: number;
}

/** The revision that an instance served by. */
export interface RevisionSample {
  readonly instance: string;
  readonly incarnation: string;
  readonly revision: number;
  /** Whether it took new work at that time. */
  readonly serving: boolean;
  /** Unix time, milliseconds. */
  readonly at: number;
}

/** A change that some instance's history of the configuration named. */
export interface RecordedChange {
  readonly revision: number;
  readonly operation: string;
}

/** A stop of an instance that an operator asked for. */
export interface PlannedStop {
  readonly instance: string;
  /** Base URL for callers; undefined if what it was sent is not checked. */
  readonly url?: string;
  /** Exit code of the process; null if it had to be killed. */
  readonly exitCode: number | null;
  /** On the callers' clock, milliseconds. */
  readonly from: number;
  readonly to: number;
}

/** Everything that a run recorded. */
export interface History {
  readonly observations: readonly Observation[];
  readonly servers: readonly ServerRecord[];
  readonly accepted: readonly AcceptedChange[];
  readonly revisions: readonly RevisionSample[];
  /** Undefined if it was not asked for. */
  readonly recordedChanges?: readonly RecordedChange[];
  readonly stops: readonly PlannedStop[];
  /** Whether anything but planned stops was done to instances and servers. */
  readonly hadFaults: boolean;
  /** Time within which an accepted change is in force, if not the usual one. */
  readonly inForceLimitMs?: number;
  /** Time after which a leaving server gets no work, if not the usual one. */
  readonly leavingLimitMs?: number;
}

/** A history in which nothing happened. */
export const EMPTY_HISTORY: History = {
  observations: [],
  servers: [],
  accepted: [],
  revisions: [],
  stops: [],
  hadFaults: false,
};
