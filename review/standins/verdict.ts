/** The record of a case and its exit code. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Attempt} from './client.js';
import type {Run} from './worker.js';

/** Exit codes of a case. */
export const Verdict = {Held: 0, Broken: 1, CouldNotRun: 2} as const;

/** Whether the disruption is left out. */
export const IS_CALM = process.env['TROUBLE'] === '0';

/** Collects lines, with the time since the start of the case. */
export class CaseRecord {
  private readonly lines: string[] = [];

  /** Adds a line that is printed too. */
  note(text: string): void {
    const line = `${seconds(performance.now())} ${text}`;
    this.lines.push(line);
    console.log(line);
  }

  addAttempts(attempts: readonly Attempt[]): void {
    this.lines.push('', 'sent and answered:');
    attempts.forEach(attempt => {
      const {id, method, instance, sentAt, endedAt, status, reason} = attempt;
      const end = endedAt === undefined ? 'open' : seconds(endedAt);
      const result = `${status ?? 'no answer'} (${reason})`;
      this.lines.push(
        `${id} ${method} at ${instance} ${seconds(sentAt)} to ${end}: ${result}`,
      );
    });
  }

  addRuns(runs: readonly Run[]): void {
    this.lines.push('', 'run:');
    [...runs]
      .sort((a, b) => a.startedAt - b.startedAt)
      .forEach(({id, worker, startedAt, end}) =>
        this.lines.push(
          `${id} at ${worker} from ${seconds(startedAt)}: ${end ?? 'open'}`,
        ),
      );
  }

  write(caseNumber: number): void {
    const file = join('review', String(caseNumber), 'record.txt');
    writeFileSync(file, this.lines.join('\n') + '\n');
  }
}

/** Formats a time as of `performance.now()`. */
export function seconds(ms: number): string {
  return `${(ms / 1_000).toFixed(3)}s`;
}

/** Throws if no request was served: then the case says nothing. */
export function requireService(attempts: readonly Attempt[]): void {
  if (!attempts.some(({status}) => status === 200)) {
    throw new Error('no request was served');
  }
}

/** Runs a case; the process ends with its verdict, and its children with it. */
export function runCase(
  caseNumber: number,
  play: (record: CaseRecord) => Promise<boolean>,
): void {
  const record = new CaseRecord();
  // Each process of an instance adds two listeners.
  process.setMaxListeners(0);
  ['SIGTERM', 'SIGINT'].forEach(name =>
    process.once(name, () => process.exit(Verdict.CouldNotRun)),
  );
  record.note(IS_CALM ? 'without the disruption' : 'with the disruption');
  play(record).then(
    isBroken => {
      record.note(isBroken ? 'BROKEN' : 'held');
      record.write(caseNumber);
      process.exit(isBroken ? Verdict.Broken : Verdict.Held);
    },
    (err: unknown) => {
      record.note(`could not run: ${String(err)}`);
      record.write(caseNumber);
      process.exit(Verdict.CouldNotRun);
    },
  );
}
