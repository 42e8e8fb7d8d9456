/** The examples' services and the stand-ins for their backend servers. */
import {
  type Cluster,
  type RunningServer,
  type ServerSpec,
  UNIQUE_PLACEHOLDER,
  type RequestKind,
} from '@ragworthall/bench';
import {
  changeSetSchema,
  documentProblemText,
  parseJsonc,
  type ServiceConfig,
  serviceIdOf,
} from '@ragworthall/contracts';
import {readFile} from 'node:fs/promises';

const EXAMPLE_FILES = ['ubuntu-steps.jsonc', 'altamar.jsonc'];
const EXAMPLES_DIRECTORY = new URL('../../examples/', import.meta.url);

/** Mean service time of a request in milliseconds, by service name. */
const MEAN_SERVICE_MS: Readonly<Record<string, number>> = {
  listings: 20,
  archive: 300,
  reservations: 30,
  settlement: 120,
  playlists: 15,
  grids: 200,
  bookings: 30,
  royalties: 60,
};
/** Mean service time for all other services, in milliseconds. */
const DEFAULT_MEAN_SERVICE_MS = 50;

/** The backend server to kill; it runs in a process of its own. */
export const KILLED_SERVER = 'reservations-08';

/** Reads the services of both members from the examples. */
export async function readExamples(): Promise<readonly ServiceConfig[]> {
  const sets = await Promise.all(EXAMPLE_FILES.map(readExample));
  return sets.flat();
}

/**
 * Starts the backend servers of the services; returns the services with the
 * addresses of the running servers.
 */
export async function startServers(
  cluster: Cluster,
  services: readonly ServiceConfig[],
  seed: number,
): Promise<readonly ServiceConfig[]> {
  const specs = services.map((cfg, i) =>
    serverSpecsOf(cfg, seed * 1_000 + i * 100),
  );
  const groups = [
    ...specs.map(group => group.filter(s => s.id !== KILLED_SERVER)),
    specs.flat().filter(s => s.id === KILLED_SERVER),
  ];
  const running = await Promise.all(
    groups.map(group => cluster.startServers(group)),
  );
  const byId = new Map(running.flat().map(server => [server.id, server]));
  return services.map(cfg => withRunningAddresses(cfg, byId));
}

/** Returns the kinds of requests that callers send to a service. */
export function requestKindsOf(cfg: ServiceConfig): RequestKind[] {
  return cfg.contracts.flatMap(contract => {
    const {method} = contract;
    // The demo's callers send only these methods.
    if (method !== 'GET' && method !== 'POST' && method !== 'PUT') return [];
    return [
      {
        serviceId: serviceIdOf(cfg),
        contract: contract.name,
        rank: contract.rank,
        method,
        path: uniquePathFor(contract.path),
        idempotent: contract.idempotent,
        targetMs: contract.targetMs,
        deadlineMs: contract.deadlineMs,
      },
    ];
  });
}

/** Returns how many requests per second a service's servers can run. */
export function capacityOf(cfg: ServiceConfig): number {
  const slots = cfg.backendServers.reduce((sum, s) => sum + s.slots, 0);
  return (slots * 1_000) / meanServiceMsOf(cfg);
}

async function readExample(file: string): Promise<readonly ServiceConfig[]> {
  const text = await readFile(new URL(file, EXAMPLES_DIRECTORY), 'utf8');
  return parseJsonc(text, changeSetSchema).match(
    set => set.services,
    problems => {
      const lines = problems.map(p => documentProblemText(file, p));
      throw new Error(lines.join('\n'));
    },
  );
}

function serverSpecsOf(cfg: ServiceConfig, seed: number): ServerSpec[] {
  return cfg.backendServers.map((server, i) => ({
    id: server.id,
    slots: server.slots,
    serviceMs: meanServiceMsOf(cfg),
    distribution: 'exponential',
    seed: seed + i,
    failureDomain: server.failureDomain,
  }));
}

function meanServiceMsOf(cfg: ServiceConfig): number {
  return MEAN_SERVICE_MS[cfg.name] ?? DEFAULT_MEAN_SERVICE_MS;
}

function withRunningAddresses(
  cfg: ServiceConfig,
  byId: ReadonlyMap<string, RunningServer>,
): ServiceConfig {
  return {
    ...cfg,
    backendServers: cfg.backendServers.map(server => ({
      ...server,
      address: byId.get(server.id)!.address,
    })),
  };
}

/** Fills in a path pattern so that every request gets a unique path. */
function uniquePathFor(pattern: string): string {
  const [first, ...others] = pattern.split(/:[^/]+|\*/);
  if (others.length === 0) return `${first}?n=${UNIQUE_PLACEHOLDER}`;
  return `${first}${UNIQUE_PLACEHOLDER}${others.join('1')}`;
}
