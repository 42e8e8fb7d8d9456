export default {
  files: [
    'platform/dist/**/*.test.js',
    'packages/*/dist/**/*.test.js',
    'bench/dist/**/*.test.js',
  ],
  require: ['./ava.warnings.js'],
  // Every test owns its ports and processes; the limit only ends a hang.
  timeout: '120s',
  workerThreads: false,
};
