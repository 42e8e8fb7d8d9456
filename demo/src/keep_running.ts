/** Keeps the demo running and prints commands to try. */
import type {Cluster} from '@ragworthall/bench';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const MEMBERS = ['ubuntu-steps', 'altamar'] as const;

/** Writes token files, prints commands, and waits for SIGINT or SIGTERM. */
export async function keepRunning(
  cluster: Cluster,
  logProgress: (line: string) => void,
): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'ragworthall-demo-'));
  const tokenFiles = await Promise.all(
    MEMBERS.map(async member => {
      const file = join(directory, `${member}.token`);
      await writeFile(file, cluster.operatorTokenOf(member));
      return file;
    }),
  );
  commandsFor(cluster, tokenFiles[0]!).forEach(logProgress);
  await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
  await rm(directory, {recursive: true, force: true});
}

function commandsFor(cluster: Cluster, tokenFile: string): string[] {
  const [daemon] = cluster.daemons;
  const {
    callersUrl: callers,
    operatorsUrl: operators,
    healthUrl: health,
  } = daemon!;
  const client = 'node packages/cli/dist/main.js';
  const access = `--server ${operators} --token-file ${tokenFile}`;
  return [
    'Still running; press Ctrl-C to stop. Commands to try:',
    `  ${client} status ${access}`,
    `  ${client} get ubuntu-steps/reservations ${access}`,
    `  ${client} drain ubuntu-steps/reservations reservations-01 ${access}`,
    `  curl ${callers}/v1/addresses/ubuntu-steps/reservations`,
    `  curl -i ${callers}/s/ubuntu-steps/listings/studios/7/timetable`,
    `  curl -i -X POST ${callers}/s/ubuntu-steps/reservations/bookings`,
    ...(health ? [`  curl ${health}/ready`] : []),
  ];
}
