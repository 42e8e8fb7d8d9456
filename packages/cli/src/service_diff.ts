/** Formats the differences that a change makes to services, field by field. */
import {operatorRpc as rpc} from '@ragworthall/contracts';

/** Fields that identify the entries of a list. */
const IDENTITY_FIELDS = ['id', 'name'];

type Fields = ReadonlyMap<string, string>;

/** Formats a plan: each service, followed by the fields that differ. */
export function planText(plan: rpc.Plan): string {
  const blocks = plan.changes.map(change => changeText(change));
  const heading = `against revision ${plan.baseRevision} (dry run; nothing is written)`;
  return [heading, ...blocks].join('\n');
}

function changeText(change: rpc.PlannedChange): string {
  const before = fieldsOf(change.before);
  const after = fieldsOf(change.after);
  const heading = `${changeSymbol(change)} ${change.serviceId}`;
  return [heading, ...diffLines(before, after)].join('\n');
}

function changeSymbol({before, after}: rpc.PlannedChange): string {
  if (before === undefined) return '+';
  return after === undefined ? '-' : '~';
}

function diffLines(before: Fields, after: Fields): readonly string[] {
  const paths = [...new Set([...before.keys(), ...after.keys()])];
  const lines = paths
    .filter(path => before.get(path) !== after.get(path))
    .map(path => diffLine(path, before.get(path), after.get(path)));
  return lines.length > 0 ? lines : ['    ~ order of entries'];
}

function diffLine(
  path: string,
  before: string | undefined,
  after: string | undefined,
): string {
  if (before === undefined) return `    + ${path}: ${after}`;
  if (after === undefined) return `    - ${path}: ${before}`;
  return `    ~ ${path}: ${before} -> ${after}`;
}

function fieldsOf(service: rpc.Service | undefined): Fields {
  if (service === undefined) return new Map();
  return new Map(flatten('', rpc.serviceFromMessage(service)));
}

function flatten(path: string, value: unknown): [string, string][] {
  if (Array.isArray(value)) {
    return value.flatMap((item, index) =>
      flatten(`${path}[${entryLabel(item, index)}]`, item),
    );
  }
  if (typeof value === 'object' && value !== null) {
    return Object.entries(value).flatMap(([name, item]) =>
      flatten(path === '' ? name : `${path}.${name}`, item),
    );
  }
  return value === undefined ? [] : [[path, JSON.stringify(value)]];
}

/** Labels an entry by id or name, so that reordering shows no differences. */
function entryLabel(item: unknown, index: number): string {
  if (typeof item !== 'object' || item === null) return String(index);
  const fields = item as Record<string, unknown>;
  const identity = IDENTITY_FIELDS.find(
    name => typeof fields[name] === 'string',
  );
  return identity === undefined ? String(index) : String(fields[identity]);
}
