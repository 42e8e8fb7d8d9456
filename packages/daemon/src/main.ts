#!/usr/bin/env node
/** Command line of the daemon: reads the settings and runs one entry instance. */
import {documentProblemText} from '@ragworthall/contracts';
import {readFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {runDaemon} from './instance/daemon.js';
import {readSettings, type Settings} from './settings/settings.js';

const HELP = `ragworthalld: one entry instance of the ragworthall load balancer

Usage:
  ragworthalld --settings FILE                   run until SIGTERM
  ragworthalld --settings FILE --check-settings  check the file and exit
  ragworthalld --help

Options:
  --settings FILE    settings, JSON with comments (default ragworthall.jsonc);
                     examples/daemon.jsonc explains each one
  --check-settings   report every problem with its line, start nothing

Signals:
  SIGTERM, SIGINT    stop gracefully; further ones change nothing
  SIGHUP             logged only; changed settings need a restart

Exit codes:
  0  stopped gracefully, or the settings are fine
  1  failed to start, or was ended before all requests were answered
  2  wrong arguments or settings
`;

/** Exit codes of the process. */
const ExitCode = {Done: 0, Failed: 1, Usage: 2} as const;

async function main(): Promise<number> {
  const args = parseArguments();
  if (!args) return ExitCode.Usage;
  if (args.help) {
    process.stdout.write(HELP);
    return ExitCode.Done;
  }
  const settings = await loadSettings(args.settings);
  if (!settings) return ExitCode.Usage;
  if (args['check-settings']) {
    process.stdout.write(`${args.settings}: no problem\n`);
    return ExitCode.Done;
  }
  return (await runDaemon(settings)) ? ExitCode.Done : ExitCode.Failed;
}

function parseArguments() {
  try {
    const {values} = parseArgs({
      options: {
        settings: {type: 'string', default: 'ragworthall.jsonc'},
        'check-settings': {type: 'boolean', default: false},
        help: {type: 'boolean', short: 'h', default: false},
      },
    });
    return values;
  } catch (err) {
    printError(`${(err as Error).message}; see ragworthalld --help`);
    return undefined;
  }
}

/** Loads the settings; prints the problems and returns undefined if there are any. */
async function loadSettings(file: string): Promise<Settings | undefined> {
  const text = await readFile(file, 'utf8').catch(() => undefined);
  if (text === undefined) {
    printError(`${file}: cannot be read; name the file with --settings`);
    return undefined;
  }
  const settings = readSettings(text);
  if (settings.isOk()) return settings.value;
  settings.error.forEach(p => printError(documentProblemText(file, p)));
  return undefined;
}

function printError(message: string): void {
  process.stderr.write(`${message}\n`);
}

try {
  process.exitCode = await main();
} catch (err) {
  printError(`failed: ${(err as Error).message}`);
  process.exitCode = ExitCode.Failed;
}
