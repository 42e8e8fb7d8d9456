#!/usr/bin/env node
/** Starts ragworthall, or says how to build it. */
import {existsSync} from 'node:fs';
import process from 'node:process';
import {URL} from 'node:url';

const main = new URL('../dist/main.js', import.meta.url);
if (existsSync(main)) {
  await import(main.href);
} else {
  process.stderr.write('ragworthall is not built yet: run "npm run build"\n');
  process.exitCode = 2;
}
