/** Reasons why a link to another instance was refused or ended. */

/** Reason why a link was refused or ended. */
export type LinkError =
  | {readonly kind: 'closed'; readonly code: number}
  | {readonly kind: 'unreachable'; readonly detail: string}
  | {readonly kind: 'silent'; readonly limitMs: number}
  | {readonly kind: 'malformed'; readonly detail: string}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'wrong_version'; readonly version: number}
  | {readonly kind: 'wrong_secret'}
  | {readonly kind: 'unproven'}
  | {readonly kind: 'wrong_cell'; readonly cell: string; readonly seats: number}
  | {readonly kind: 'wrong_seat'; readonly seat: number}
  | {readonly kind: 'own_address'}
  | {readonly kind: 'superseded'; readonly seat: number}
  | {readonly kind: 'duplicate'}
  | {readonly kind: 'disposed'};

/** Returns a message that says what happened and what to do. */
export function linkErrorMessage(err: LinkError): string {
  switch (err.kind) {
    case 'closed':
      return `the other instance closed the link with code ${err.code}; the link will be dialled again`;
    case 'unreachable':
      return `the other instance cannot be reached (${err.detail}); check that it is running and that its peer address is correct`;
    case 'silent':
      return `no message was received for ${err.limitMs} ms; the link will be replaced by a new one`;
    case 'malformed':
      return `a message was malformed (${err.detail}); check that both instances run a released version`;
    case 'too_large':
      return 'a message exceeded the size limit; configure the same limits on all instances of the cell';
    case 'wrong_version':
      return `the other instance uses protocol version ${err.version}; upgrade the older one`;
    case 'wrong_secret':
      return 'the other instance has a different secret; configure the same cell.secret on all instances of the cell';
    case 'unproven':
      return 'the other end did not prove that it is an instance; if it is one, the link is made once both have read the list of instances';
    case 'wrong_cell':
      return `the other instance belongs to cell ${err.cell} with ${err.seats} seats; correct cell.name, cell.seats or cell.seeds`;
    case 'wrong_seat':
      return `the other instance claims seat ${err.seat}, which is this instance's own or does not exist; configure a different cell.seat for each instance`;
    case 'own_address':
      return "the address is this instance's own; it will not be dialled again";
    case 'superseded':
      return `a later incarnation holds seat ${err.seat}; stop the older process, or correct its clock`;
    case 'duplicate':
      return 'the two instances already have a link';
    case 'disposed':
      return 'this instance closed the link';
    default:
      throw new Error(`unexpected error: ${err satisfies never}`);
  }
}
