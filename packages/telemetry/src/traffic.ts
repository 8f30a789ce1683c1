import type { Socket } from 'node:net';

/** Counts the bytes that pass over a set of sockets, closed ones included. */
export class TrafficMeter {
  readonly #sockets = new Set<Socket>();
  #closedBytes = 0;

  /** Adds a socket; its bytes count from its opening on. */
  add(socket: Socket): void {
    if (this.#sockets.has(socket)) return;
    this.#sockets.add(socket);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  }

  /** Counts the bytes read and written so far. */
  countBytes(): number {
    let bytes = this.#closedBytes;
    for (const socket of this.#sockets) bytes += socket.bytesRead + socket.bytesWritten;
    return bytes;
  }
}
