/** Validation rules that involve several fields of a service. */
import {isIP} from 'node:net';
import type {core} from 'zod';
import type {RefinementParams} from '../settings/problem.js';

const MAX_PORT = 65_535;

/** A service whose fields may be missing or malformed. */
interface UncheckedService {
  readonly backendServers?: readonly (UncheckedServer | undefined)[];
  readonly contracts?: readonly (UncheckedContract | undefined)[];
}

interface UncheckedServer {
  readonly id?: unknown;
  readonly address?: unknown;
}

interface UncheckedContract {
  readonly name?: unknown;
  readonly method?: unknown;
  readonly path?: unknown;
  readonly deadlineMs?: unknown;
  readonly targetMs?: unknown;
}

/** A violated rule, reported on the field at `path`. */
interface RuleViolation extends RefinementParams {
  readonly path: readonly (string | number)[];
  readonly expected: string;
}

type RefinementContext = core.$RefinementCtx<unknown>;

/**
 * Reports each rule that a service violates. Also runs on malformed services,
 * so that an operator sees all errors at once.
 */
export function checkService(service: unknown, ctx: RefinementContext): void {
  if (typeof service !== 'object' || service === null) return;
  const unchecked = service as UncheckedService;
  const servers = objectsOf(unchecked.backendServers);
  const contracts = objectsOf(unchecked.contracts);
  const violations = [
    ...duplicateIds(servers),
    ...duplicateAddresses(servers),
    ...duplicateNames(contracts),
    ...shadowedContracts(contracts),
    ...targetsAboveDeadline(contracts),
  ];
  violations.forEach(violation => addIssue(violation, ctx));
}

/** Returns whether `address` is an IP address and a port. */
export function isIpAndPort(address: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
  if (match === null) return false;
  const port = Number(match[3]);
  const validHost = match[1] ? isIP(match[1]) === 6 : isIP(match[2]!) === 4;
  return validHost && port >= 1 && port <= MAX_PORT;
}

function addIssue(violation: RuleViolation, ctx: RefinementContext): void {
  ctx.addIssue({
    code: 'custom',
    path: [...violation.path],
    message: violation.expected,
    params: {remedy: violation.remedy},
  });
}

function objectsOf<T>(
  list: readonly (T | undefined)[] | undefined,
): (T | null)[] {
  if (!Array.isArray(list)) return [];
  return list.map(item =>
    typeof item === 'object' && item !== null ? item : null,
  );
}

function duplicateIds(
  servers: readonly (UncheckedServer | null)[],
): RuleViolation[] {
  return findDuplicates(servers.map(server => server?.id)).map(
    ({index, first}) => ({
      path: ['backendServers', index, 'id'],
      expected: `an id other than that of backendServers[${first}]`,
      remedy: 'give each backend server of the service an id of its own',
    }),
  );
}

function duplicateAddresses(
  servers: readonly (UncheckedServer | null)[],
): RuleViolation[] {
  const addresses = servers.map(server => server?.address);
  return findDuplicates(addresses).map(({index, first}) => ({
    path: ['backendServers', index, 'address'],
    expected: `an address other than that of backendServers[${first}]`,
    remedy: 'give each backend server of the service an address of its own',
  }));
}

function duplicateNames(
  contracts: readonly (UncheckedContract | null)[],
): RuleViolation[] {
  return findDuplicates(contracts.map(contract => contract?.name)).map(
    ({index, first}) => ({
      path: ['contracts', index, 'name'],
      expected: `a name other than that of contracts[${first}]`,
      remedy: 'give each contract of the service a name of its own',
    }),
  );
}

function shadowedContracts(
  contracts: readonly (UncheckedContract | null)[],
): RuleViolation[] {
  return findDuplicates(contracts.map(matcherKey)).map(({index, first}) => ({
    path: ['contracts', index, 'path'],
    expected: `a method and path that contracts[${first}] does not match already`,
    remedy: 'change the path or the method, or remove one of the two contracts',
  }));
}

/** Returns a key; contracts with equal keys match exactly the same requests. */
function matcherKey(contract: UncheckedContract | null): string | undefined {
  if (typeof contract?.path !== 'string') return undefined;
  const path = contract.path.replace(/:[^/]+/g, ':');
  return `${String(contract.method)} ${path}`;
}

function targetsAboveDeadline(
  contracts: readonly (UncheckedContract | null)[],
): RuleViolation[] {
  return contracts.flatMap((contract, index) => {
    const {targetMs, deadlineMs} = contract ?? {};
    if (typeof targetMs !== 'number' || typeof deadlineMs !== 'number') {
      return [];
    }
    if (targetMs <= deadlineMs) return [];
    return [
      {
        path: ['contracts', index, 'targetMs'],
        expected: `at most the contract's deadlineMs, ${deadlineMs}`,
        remedy: 'lower targetMs or raise deadlineMs',
      },
    ];
  });
}

/** Returns the index of each duplicate key and that of its first occurrence. */
function findDuplicates(
  keys: readonly unknown[],
): readonly {index: number; first: number}[] {
  const firsts = new Map<unknown, number>();
  return keys.flatMap((key, index) => {
    if (key === undefined) return [];
    const first = firsts.get(key);
    if (first !== undefined) return [{index, first}];
    firsts.set(key, index);
    return [];
  });
}
