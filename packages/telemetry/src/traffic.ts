import type { Socket } from 'node:net';

/** Counts the bytes transferred over a set of sockets, including closed ones. */
export class TrafficMeter {
  readonly #sockets = new Set<Socket>();
  #closedBytes = 0;

  /** Adds a socket; all bytes since it was opened are counted. */
  add(socket: Socket): void {
    if (this.#sockets.has(socket)) return;
    this.#sockets.add(socket);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  }

  /** Returns the total number of bytes read and written. */
  countBytes(): number {
    let bytes = this.#closedBytes;
    for (const socket of this.#sockets) bytes += socket.bytesRead + socket.bytesWritten;
    return bytes;
  }
}
