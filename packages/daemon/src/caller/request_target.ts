/** Parses request targets: address queries and paths of services. */
import type {ServiceId} from '@ragworthall/contracts';

/** A parsed request target. */
export type RequestTarget =
  | {readonly kind: 'addresses'; readonly serviceId: ServiceId}
  | {
      readonly kind: 'service';
      readonly serviceId: ServiceId;
      readonly member: string;
      /** Path and query within the service. */
      readonly path: string;
    }
  | {readonly kind: 'unknown'}
  | {readonly kind: 'malformed'};

/** Target of a request to a service. */
export type ServiceTarget = Extract<RequestTarget, {kind: 'service'}>;

const ADDRESSES_PATH = /^\/v1\/addresses\/([^/?]+)\/([^/?]+)(?:\?.*)?$/;
const SERVICE_PATH = /^\/s\/([^/?]+)\/([^/?]+)([/?].*)?$/;
/** Matches targets in origin form (RFC 9112, section 3.2.1). */
const ORIGIN_FORM = /^\/[\x21\x24-\x7e]*$/;
// eslint-disable-next-line no-control-regex -- the pattern looks for them
const CONTROL_CHARACTER = /[\x00-\x1f\x7f]/;

/** Parses a request target. */
export function parseTarget(url: string): RequestTarget {
  if (!ORIGIN_FORM.test(url) || !isUnambiguousPath(url))
    return {kind: 'malformed'};
  const query = ADDRESSES_PATH.exec(url);
  if (query) return {kind: 'addresses', serviceId: `${query[1]!}/${query[2]!}`};
  const match = SERVICE_PATH.exec(url);
  if (!match) return {kind: 'unknown'};
  const [, member, service, rest] = match;
  return {
    kind: 'service',
    serviceId: `${member!}/${service!}`,
    member: member!,
    path: pathWithinService(rest),
  };
}

function pathWithinService(rest: string | undefined): string {
  if (rest === undefined) return '/';
  return rest.startsWith('?') ? `/${rest}` : rest;
}

/**
 * Returns whether every parser reads the same path, that is, whether it has
 * valid escapes, no control characters and no dot segments. Otherwise a
 * contract could be matched on one path and a backend server could run another.
 */
function isUnambiguousPath(url: string): boolean {
  const path = url.split('?', 1)[0]!;
  const decoded = decodePath(path);
  if (decoded === undefined || CONTROL_CHARACTER.test(decoded)) return false;
  return !decoded.split(/[/\\]/).some(part => part === '.' || part === '..');
}

function decodePath(path: string): string | undefined {
  if (!path.includes('%')) return path;
  try {
    return decodeURIComponent(path);
  } catch {
    return undefined;
  }
}
