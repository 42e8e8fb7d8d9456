import process from 'node:process';

/** Fails the test run on listeners that outlive their owner. */
process.on('warning', warning => {
  if (warning.name === 'MaxListenersExceededWarning') throw warning;
});
