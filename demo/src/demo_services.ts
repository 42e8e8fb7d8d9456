/** The services of both examples, on stand-ins of their backend servers. */
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

const EXAMPLES = ['ubuntu-steps.jsonc', 'altamar.jsonc'];
const FOLDER = new URL('../../examples/', import.meta.url);

/** Mean time of a request at a backend server, milliseconds, by service. */
const SERVICE_MS: Readonly<Record<string, number>> = {
  listings: 20,
  archive: 300,
  reservations: 30,
  settlement: 120,
  playlists: 15,
  grids: 200,
  bookings: 30,
  royalties: 60,
};
/** Mean time at the servers of other services, milliseconds. */
const DEFAULT_SERVICE_MS = 50;

/** The backend server whose process is killed; it has a process of its own. */
export const KILLED_SERVER = 'reservations-08';

/** Reads the services of both members. */
export async function readExamples(): Promise<readonly ServiceConfig[]> {
  const sets = await Promise.all(EXAMPLES.map(readExample));
  return sets.flat();
}

/** Starts the backend servers of services; returns them at their addresses. */
export async function startServers(
  cluster: Cluster,
  services: readonly ServiceConfig[],
  seed: number,
): Promise<readonly ServiceConfig[]> {
  const specs = services.map((cfg, i) => specsOf(cfg, seed * 1_000 + i * 100));
  const groups = [
    ...specs.map(group => group.filter(s => s.id !== KILLED_SERVER)),
    specs.flat().filter(s => s.id === KILLED_SERVER),
  ];
  const running = await Promise.all(
    groups.map(group => cluster.startServers(group)),
  );
  const byId = new Map(running.flat().map(server => [server.id, server]));
  return services.map(cfg => atRunning(cfg, byId));
}

/** Returns the kinds of request that callers send to a service. */
export function worksOf(cfg: ServiceConfig): RequestKind[] {
  return cfg.contracts.flatMap(contract => {
    const {method} = contract;
    // Callers of the demo send no others.
    if (method !== 'GET' && method !== 'POST' && method !== 'PUT') return [];
    return [
      {
        serviceId: serviceIdOf(cfg),
        contract: contract.name,
        rank: contract.rank,
        method,
        path: pathFor(contract.path),
        idempotent: contract.idempotent,
        targetMs: contract.targetMs,
        deadlineMs: contract.deadlineMs,
      },
    ];
  });
}

/** Returns requests a second that a service's servers can run. */
export function capacityOf(cfg: ServiceConfig): number {
  const slots = cfg.backendServers.reduce((sum, s) => sum + s.slots, 0);
  return (slots * 1_000) / serviceMsOf(cfg);
}

async function readExample(file: string): Promise<readonly ServiceConfig[]> {
  const text = await readFile(new URL(file, FOLDER), 'utf8');
  return parseJsonc(text, changeSetSchema).match(
    set => set.services,
    problems => {
      const lines = problems.map(p => documentProblemText(file, p));
      throw new Error(lines.join('\n'));
    },
  );
}

function specsOf(cfg: ServiceConfig, seed: number): ServerSpec[] {
  return cfg.backendServers.map((server, i) => ({
    id: server.id,
    slots: server.slots,
    serviceMs: serviceMsOf(cfg),
    distribution: 'exponential',
    seed: seed + i,
    failureDomain: server.failureDomain,
  }));
}

function serviceMsOf(cfg: ServiceConfig): number {
  return SERVICE_MS[cfg.name] ?? DEFAULT_SERVICE_MS;
}

function atRunning(
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

/** Fills in a path pattern, so that each request has a path of its own. */
function pathFor(pattern: string): string {
  const [first, ...others] = pattern.split(/:[^/]+|\*/);
  if (others.length === 0) return `${first}?n=${UNIQUE_PLACEHOLDER}`;
  return `${first}${UNIQUE_PLACEHOLDER}${others.join('1')}`;
}
