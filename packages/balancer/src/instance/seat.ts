/**
 * A seat is one of a cell's fixed number of positions. One instance holds it at
 * a time; a replacement takes it over as a later incarnation.
 */

/** Number of base-36 digits that encode the start time in an incarnation. */
const TIME_DIGITS = 9;

/** An incarnation that holds a seat, as known to its peers. */
export interface SeatHolder {
  readonly instance: string;
  /** Sorts by start time: the later of two holders of a seat sorts last. */
  readonly incarnation: string;
  readonly failureDomain: string;
  /** IP address and port on which other instances open links. */
  readonly peerAddress: string;
  /** Base URL that callers use. */
  readonly callerUrl: string;
}

/** State of an instance; only a serving one takes new work. */
export type InstanceState = 'starting' | 'serving' | 'stopping';

/** The status that an instance sends with each heartbeat. */
export interface HeartbeatStatus {
  readonly state: InstanceState;
  /** Revision of the configuration that it has in force. */
  readonly revision: number;
  /**
   * Age of its newest proof that the table held no newer revision,
   * milliseconds.
   */
  readonly confirmedAgeMs?: number;
  /** Whether its vote counts towards a majority of seats. */
  readonly voting: boolean;
  /** Whether no earlier holder of its seat can still have a valid lease. */
  readonly settled: boolean;
}

/** One instance's knowledge of a seat. */
export type SeatReport =
  | {readonly kind: 'vacant'}
  | {
      readonly kind: 'held';
      readonly holder: SeatHolder;
      /** Whether an earlier holder was heard within the last lease time. */
      readonly recent: boolean;
    };

/** Returns the number of seats that form a majority. */
export function majorityOf(seats: number): number {
  return Math.floor(seats / 2) + 1;
}

/**
 * Returns the number of other seats that must know a holder before its vote
 * counts. With fewer, the remaining seats could still form a majority together
 * with an earlier holder of the same seat.
 */
export function witnessesNeeded(seats: number): number {
  return seats === 1 ? 0 : Math.ceil(seats / 2);
}

/**
 * Builds the identifier of a new incarnation.
 *
 * @param wall Wall clock time of the start, milliseconds.
 * @param unique Random lower-case letters and digits.
 */
export function incarnationOf(wall: number, unique: string): string {
  return Math.floor(wall).toString(36).padStart(TIME_DIGITS, '0') + unique;
}

/** Extracts the wall clock start time of an incarnation, milliseconds. */
export function startOfIncarnation(incarnation: string): number {
  return parseInt(incarnation.slice(0, TIME_DIGITS), 36);
}
