/** A seat: one of the cell's fixed positions, and the instance that holds it. */

/** Digits of the start time in an incarnation, base 36. */
const TIME_DIGITS = 9;

/** The incarnation that holds a seat, as its peers know it. */
export interface SeatHolder {
  readonly instance: string;
  /** Of two holders of a seat, the later start sorts after the earlier. */
  readonly incarnation: string;
  readonly failureDomain: string;
  /** IP address and port for links from other instances. */
  readonly peerAddress: string;
  /** Base URL for callers. */
  readonly callerUrl: string;
}

/** Whether an instance takes work. */
export type InstanceState = 'starting' | 'serving' | 'stopping';

/** What an instance says about itself with each heartbeat. */
export interface HeartbeatStatus {
  readonly state: InstanceState;
  /** Revision that it has in force. */
  readonly revision: number;
  /** Age of the proof by the table that no newer revision was there, ms. */
  readonly confirmedAgeMs?: number;
  /** Whether it counts in a majority of seats. */
  readonly voting: boolean;
  /** Whether no earlier holder of its seat can still hold a lease. */
  readonly settled: boolean;
}

/** What an instance knows of one seat. */
export type SeatReport =
  | {readonly kind: 'vacant'}
  | {
      readonly kind: 'held';
      readonly holder: SeatHolder;
      /** Whether an earlier holder was heard within the lease time. */
      readonly recent: boolean;
    };

/** Number of seats that make a majority. */
export function majorityOf(seats: number): number {
  return Math.floor(seats / 2) + 1;
}

/**
 * Number of other seats that must know a holder before it counts: with fewer,
 * a majority could form around an earlier holder of the same seat.
 */
export function witnessesNeeded(seats: number): number {
  return seats === 1 ? 0 : Math.ceil(seats / 2);
}

/**
 * Returns the name of a new incarnation.
 *
 * @param wall Wall clock time of the start, milliseconds.
 * @param unique Random lower-case letters and digits.
 */
export function incarnationOf(wall: number, unique: string): string {
  return Math.floor(wall).toString(36).padStart(TIME_DIGITS, '0') + unique;
}

/** Returns the wall clock time at which an incarnation started, milliseconds. */
export function startOfIncarnation(incarnation: string): number {
  return parseInt(incarnation.slice(0, TIME_DIGITS), 36);
}
