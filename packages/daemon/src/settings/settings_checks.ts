/** Validation rules of the settings that involve several fields. */
import type {RefinementParams} from '@ragworthall/contracts';
import type {core} from 'zod';
import {addressesClash, parseAddress} from './address.js';

/** Settings whose fields may still be missing or malformed. */
interface UncheckedSettings {
  readonly cell?: {readonly seat?: unknown; readonly seats?: unknown};
  readonly listen?: Readonly<Record<string, unknown>>;
  readonly operators?: unknown;
  readonly limits?: {
    readonly bodyBytes?: unknown;
    readonly bodyMemoryBytes?: unknown;
    readonly shares?: unknown;
  };
}

/** A violation of a rule by the settings. */
interface RuleViolation extends RefinementParams {
  readonly path: readonly (string | number)[];
  readonly expected: string;
}

/** Tolerance for rounding errors in shares that add up to 1. */
const SHARE_TOLERANCE = 1e-9;

/**
 * Reports every violated rule. Also runs on malformed settings, so that all
 * errors are reported at once.
 */
export function checkSettings(
  settings: unknown,
  ctx: core.$RefinementCtx<unknown>,
): void {
  if (typeof settings !== 'object' || settings === null) return;
  const unchecked = settings as UncheckedSettings;
  const violations = [
    ...seatAboveSeats(unchecked),
    ...clashingAddresses(unchecked),
    ...repeatedMembers(unchecked, 'operators'),
    ...repeatedMembers(unchecked, 'shares'),
    ...unknownMembers(unchecked),
    ...sharesAboveOne(unchecked),
    ...bodyAboveMemory(unchecked),
  ];
  violations.forEach(({path, expected, remedy}) =>
    ctx.addIssue({
      code: 'custom',
      path: [...path],
      message: expected,
      params: {remedy},
    }),
  );
}

function seatAboveSeats({cell}: UncheckedSettings): RuleViolation[] {
  const {seat, seats} = cell ?? {};
  if (typeof seat !== 'number' || typeof seats !== 'number') return [];
  if (seat < seats) return [];
  return [
    {
      path: ['cell', 'seat'],
      expected: `a seat below cell.seats, ${seats}`,
      remedy: 'number the instances of the cell from 0, or raise cell.seats',
    },
  ];
}

function clashingAddresses({listen}: UncheckedSettings): RuleViolation[] {
  const addresses = Object.entries(listen ?? {}).flatMap(([name, text]) => {
    const address = typeof text === 'string' ? parseAddress(text) : undefined;
    return address ? [{name, address}] : [];
  });
  return addresses.flatMap(({name, address}, index) => {
    const first = addresses
      .slice(0, index)
      .find(earlier => addressesClash(earlier.address, address));
    if (!first) return [];
    return [
      {
        path: ['listen', name],
        expected: `an address that listen.${first.name} does not use`,
        remedy: 'give each of the listen addresses a port of its own',
      },
    ];
  });
}

type MemberList = 'operators' | 'shares';

function repeatedMembers(
  settings: UncheckedSettings,
  list: MemberList,
): RuleViolation[] {
  const members = membersOf(settings, list);
  return members.flatMap((member, index) => {
    if (member === undefined || members.indexOf(member) === index) return [];
    return [
      {
        path: [...pathOf(list), index, 'member'],
        expected: 'a member that is not already in the list',
        remedy: 'keep one entry for each member',
      },
    ];
  });
}

function unknownMembers(settings: UncheckedSettings): RuleViolation[] {
  const known = membersOf(settings, 'operators');
  return membersOf(settings, 'shares').flatMap((member, index) => {
    if (member === undefined || known.includes(member)) return [];
    return [
      {
        path: [...pathOf('shares'), index, 'member'],
        expected: 'a member that has an entry in operators',
        remedy: `correct the name, or add ${JSON.stringify(member)} to operators`,
      },
    ];
  });
}

function sharesAboveOne({limits}: UncheckedSettings): RuleViolation[] {
  const sum = objectEntriesOf(limits?.shares)
    .map(entry => entry['share'])
    .filter(share => typeof share === 'number')
    .reduce((total, share) => total + share, 0);
  if (sum <= 1 + SHARE_TOLERANCE) return [];
  return [
    {
      path: pathOf('shares'),
      expected: `shares that add up to at most 1, not to ${sum}`,
      remedy: 'lower the shares to what the members agreed on',
    },
  ];
}

function bodyAboveMemory({limits}: UncheckedSettings): RuleViolation[] {
  const {bodyBytes, bodyMemoryBytes} = limits ?? {};
  if (typeof bodyBytes !== 'number' || typeof bodyMemoryBytes !== 'number') {
    return [];
  }
  if (bodyBytes <= bodyMemoryBytes) return [];
  return [
    {
      path: ['limits', 'bodyBytes'],
      expected: `at most limits.bodyMemoryBytes, ${bodyMemoryBytes}`,
      remedy: 'lower bodyBytes or raise bodyMemoryBytes',
    },
  ];
}

function membersOf(
  settings: UncheckedSettings,
  list: MemberList,
): (string | undefined)[] {
  const entries =
    list === 'operators' ? settings.operators : settings.limits?.shares;
  return objectEntriesOf(entries).map(({member}) =>
    typeof member === 'string' ? member : undefined,
  );
}

function pathOf(list: MemberList): readonly string[] {
  return list === 'operators' ? ['operators'] : ['limits', 'shares'];
}

/** Returns the entries of a list, with `{}` for each that is not an object. */
function objectEntriesOf(value: unknown): Readonly<Record<string, unknown>>[] {
  if (!Array.isArray(value)) return [];
  return value.map((entry: unknown) =>
    typeof entry === 'object' && entry !== null
      ? (entry as Record<string, unknown>)
      : {},
  );
}
