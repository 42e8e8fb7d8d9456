#!/usr/bin/env node
/** Executable of the operators' client. */
import {run} from './run.js';

const interrupt = new AbortController();
process.once('SIGINT', () => interrupt.abort());
process.once('SIGTERM', () => interrupt.abort());
// Standard output was closed, for example by `ragworthall watch | head`.
process.stdout.on('error', () => interrupt.abort());

process.exitCode = await run(
  process.argv.slice(2),
  process.env,
  {
    out: text => process.stdout.write(`${text}\n`),
    err: text => process.stderr.write(`${text}\n`),
  },
  interrupt.signal,
);
