/**
 * Runs one stand-in platform or several stand-in backend servers in one process
 * until SIGTERM.
 *
 *     node dist/main.js platform --port N [--list-lag-ms N]
 *     node dist/main.js backend-servers --spec FILE.json
 *     node dist/main.js backend-servers --spec-json '[...]'
 *
 * A specification is a JSON array with the settings of each backend server.
 * Once every server is listening, the process prints a {@link ReadyMessage} as
 * one line of JSON on standard output.
 */
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {BackendServer} from './backend_server/backend_server.js';
import {specificationSchema} from './backend_server/options.js';
import type {ResolvedBackendServerOptions} from './backend_server/options.js';
import {Platform} from './platform/platform.js';

/** Identity and address of one running backend server. */
interface BackendServerAddress {
  readonly id: string;
  readonly url: string;
  readonly port: number;
  readonly failureDomain: string;
}

/** Printed on standard output once the process is ready. */
type ReadyMessage =
  | {readonly kind: 'platform'; readonly url: string}
  | {
      readonly kind: 'backend-servers';
      readonly servers: readonly BackendServerAddress[];
    };

const {positionals, values} = parseArgs({
  allowPositionals: true,
  options: {
    port: {type: 'string', default: '0'},
    'list-lag-ms': {type: 'string', default: '0'},
    spec: {type: 'string'},
    'spec-json': {type: 'string'},
  },
});

async function main(): Promise<void> {
  const role = positionals[0];
  switch (role) {
    case 'platform':
      return runPlatform();
    case 'backend-servers':
      return runBackendServers();
    default:
      console.error(
        `unknown role ${role}: expected "platform" or "backend-servers"`,
      );
      process.exitCode = 2;
  }
}

async function runPlatform(): Promise<void> {
  const stopped = once(process, 'SIGTERM');
  await using platform = await Platform.start({
    port: Number(values.port),
    listLagMs: Number(values['list-lag-ms']),
  });
  printReady({kind: 'platform', url: platform.url});
  await stopped;
}

async function runBackendServers(): Promise<void> {
  const stopped = once(process, 'SIGTERM');
  const spec = await readSpec();
  const servers = await Promise.all(spec.map(BackendServer.start));
  printReady({kind: 'backend-servers', servers: servers.map(addressOf)});
  await stopped;
  await Promise.all(servers.map(server => server[Symbol.asyncDispose]()));
}

async function readSpec(): Promise<readonly ResolvedBackendServerOptions[]> {
  const json = values['spec-json'] ?? (await readFile(specFile(), 'utf8'));
  return specificationSchema.parse(JSON.parse(json));
}

function specFile(): string {
  if (values.spec !== undefined) return values.spec;
  throw new Error(
    'missing specification: pass --spec FILE or --spec-json JSON',
  );
}

function addressOf(server: BackendServer): BackendServerAddress {
  const {id, url, port, failureDomain} = server;
  return {id, url, port, failureDomain};
}

function printReady(ready: ReadyMessage): void {
  console.log(JSON.stringify(ready));
}

await main();
