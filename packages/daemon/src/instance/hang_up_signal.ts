/** SIGHUP, which operators send to have settings read again. */

/** Calls a listener for each SIGHUP until disposed. */
export class HangUpSignal implements Disposable {
  constructor(private readonly onSignal: () => void) {
    // Without a listener SIGHUP would terminate the process.
    process.on('SIGHUP', this.onSignal);
  }

  [Symbol.dispose](): void {
    process.off('SIGHUP', this.onSignal);
  }
}
