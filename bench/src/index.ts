/** The system under test, its callers, and measurements of it. */
export * from './caller/caller.js';
export * from './caller/observation.js';
export * from './history/history.js';
export * from './history/guarantees.js';
export * from './launch/managed_process.js';
export * from './launch/cluster.js';
export * from './report/summary.js';
export {formatTable} from './report/table.js';
export * from './scenario/load.js';
export {seededRandom} from './scenario/random.js';
