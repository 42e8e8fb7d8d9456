/** Addresses in the settings, each an IP address and a port. */
import {isIP} from 'node:net';

/** An address to listen on or to connect to. */
export interface Address {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
}

const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;
/** Hosts that mean all addresses of the machine. */
const WILDCARDS: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

/** Parses `IPv4:PORT` or `[IPv6]:PORT`; returns undefined if the text is neither. */
export function parseAddress(text: string): Address | undefined {
  const match = ADDRESS_PATTERN.exec(text);
  if (!match) return undefined;
  const [, v6, v4, digits] = match;
  const valid = v6 ? isIP(v6) === 6 : isIP(v4!) === 4;
  const port = Number(digits);
  if (!valid || port > MAX_PORT) return undefined;
  return {host: v6 ?? v4!, port};
}

/** Whether the addresses conflict, so that two sockets cannot listen on both. */
export function addressesClash(a: Address, b: Address): boolean {
  if (a.port !== b.port || a.port === 0) return false;
  return a.host === b.host || WILDCARDS.has(a.host) || WILDCARDS.has(b.host);
}
