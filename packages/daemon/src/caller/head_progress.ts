/**
 * Tells late heads from those that were not read in time. Node.js counts the time
 * for a head also while it does not read the connection.
 */
import type {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** The heads of the messages on one connection. */
export class HeadProgress {
  private heads = 0;
  /** Whether reading has stopped since the last head. */
  private hasPaused = false;

  constructor(private readonly socket: Socket) {
    socket.on('pause', () => (this.hasPaused = true));
  }

  /** Records that a head has arrived. */
  arrived(): void {
    this.heads += 1;
    this.hasPaused = this.socket.isPaused();
  }

  /**
   * Returns whether a head is late that Node.js has reported: it has not arrived
   * although the connection was read for long enough.
   *
   * @param limitMs Time that a head may take.
   */
  async isLate(limitMs: number): Promise<boolean> {
    const {heads, socket} = this;
    if (this.hasPaused) {
      const hasArrived = () => this.heads > heads || socket.destroyed;
      while (!hasArrived()) {
        if (socket.isPaused()) await nextOf(socket, 'resume');
        else if (!(await nextOf(socket, 'pause', limitMs))) break;
      }
    }
    // Bytes that came while the process stood still may complete it.
    await nextTurn();
    return this.heads === heads;
  }
}

/**
 * Waits for an event or the end of a connection; returns false if neither comes
 * within `limitMs`.
 */
function nextOf(
  socket: Socket,
  event: 'pause' | 'resume',
  limitMs?: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const end = (isEvent: boolean) => {
      clearTimeout(timer);
      socket.off(event, onEvent).off('close', onEvent);
      resolve(isEvent);
    };
    const onEvent = () => end(true);
    const onTimeout = () => end(false);
    const timer =
      limitMs === undefined ? undefined : setTimeout(onTimeout, limitMs);
    socket.on(event, onEvent).on('close', onEvent);
  });
}
