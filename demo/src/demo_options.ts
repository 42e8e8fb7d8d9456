/** Command-line options of the demo. */
import {parseArgs} from 'node:util';

/** Options of a demo run. */
export interface DemoOptions {
  /** Duration of the load in seconds. */
  readonly seconds: number;
  /** Seed for arrivals and service times. */
  readonly seed: number;
  /** File to write the results to as JSON. */
  readonly json: string | undefined;
  /** Whether to keep all processes running after the run. */
  readonly keep: boolean;
}

/** Help text. */
export const HELP = `Demonstrates ragworthall: starts three daemons and stand-ins for the platform
and the backend servers of both members, applies examples/ with the operators'
client, sends requests of all three ranks, overloads the lowest rank, kills a
backend server, restarts a daemon, and compares what the backend servers ran with
the answers that callers got.

Usage: npm run demo -- [options]

Options:
  --seconds N   duration of the load, 15 to 600 [30]
  --seed N      seed for arrivals and service times [1]
  --json FILE   also write the results as JSON
  --keep        keep everything running and print commands to try
  --help

Exit codes: 0 no guarantee violated; 1 guarantee violated; 2 invalid arguments.
`;

const MIN_SECONDS = 15;
const MAX_SECONDS = 600;

/** Parses the arguments; `problem` describes why they are invalid. */
export function readOptions(
  args: readonly string[],
): DemoOptions | 'help' | {readonly problem: string} {
  try {
    const {values} = parseArgs({
      args: [...args],
      options: {
        seconds: {type: 'string', default: '30'},
        seed: {type: 'string', default: '1'},
        json: {type: 'string'},
        keep: {type: 'boolean', default: false},
        help: {type: 'boolean', short: 'h', default: false},
      },
    });
    if (values.help) return 'help';
    const {json, keep} = values;
    const seconds = Number(values.seconds);
    const seed = Number(values.seed);
    if (!(seconds >= MIN_SECONDS && seconds <= MAX_SECONDS)) {
      return {
        problem: `--seconds must be between ${MIN_SECONDS} and ${MAX_SECONDS}`,
      };
    }
    if (!Number.isSafeInteger(seed))
      return {problem: '--seed must be an integer'};
    return {seconds, seed, json, keep};
  } catch (err) {
    return {problem: (err as Error).message};
  }
}
