import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** Bytes of one connection that may wait on a throttled link, like the window of a connection. */
const WINDOW_BYTES = 65_536;
const MILLISECONDS_PER_SECOND = 1_000;

/** Failures of the connection between a node and the store. */
export enum ProxyFailure {
  None = 'none',
  /** Drops traffic in both directions; connections stay open. */
  Partition = 'cut',
  /** Forwards requests and drops responses. */
  ResponseLoss = 'deaf',
}

/** TCP proxy on the loopback interface between one node and the store. */
export class StoreProxy {
  failure = ProxyFailure.None;
  /** Bytes per second that all connections together carry from the store to the node. */
  bytesPerSecond = Infinity;
  /** Monotonic time at which the throttled link has carried everything, in milliseconds. */
  #linkFreeAt = 0;
  readonly #server = createServer((socket) => {
    this.#relayConnection(socket);
  });
  readonly #sockets = new Set<Socket>();
  readonly #host: string;
  readonly #port: number;

  constructor(address: string) {
    const separator = address.lastIndexOf(':');
    this.#host = address.slice(0, separator);
    this.#port = Number(address.slice(separator + 1));
  }

  /** Starts listening; returns the address for the node as `host:port`. */
  async open(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Resets all established connections. */
  reset(): void {
    for (const socket of this.#sockets) if (!socket.connecting) socket.resetAndDestroy();
  }

  /** Closes the proxy and all its connections. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #relayConnection(downstream: Socket): void {
    const upstream = connect(this.#port, this.#host);
    downstream.on('data', (data) => {
      if (this.failure !== ProxyFailure.Partition) upstream.write(data);
    });
    let waitingBytes = 0;
    upstream.on('data', (data) => {
      if (this.failure !== ProxyFailure.None) return;
      if (this.bytesPerSecond === Infinity) {
        downstream.write(data);
        return;
      }
      waitingBytes += data.length;
      if (waitingBytes > WINDOW_BYTES) upstream.pause();
      this.#deliverAfterTransfer(data.length, () => {
        waitingBytes -= data.length;
        if (waitingBytes <= WINDOW_BYTES) upstream.resume();
        if (!downstream.destroyed) downstream.write(data);
      });
    });
    for (const [socket, other] of [
      [downstream, upstream],
      [upstream, downstream],
    ] as const) {
      this.#sockets.add(socket);
      // An error on one side closes the other side; the proxy needs no other error handling.
      socket.on('error', () => other.destroy());
      socket.on('close', () => {
        this.#sockets.delete(socket);
        other.destroy();
      });
    }
  }

  /** Calls back once the throttled link has carried the bytes, after those of earlier calls. */
  #deliverAfterTransfer(bytes: number, deliver: () => void): void {
    const now = performance.now();
    const transferMs = (bytes / this.bytesPerSecond) * MILLISECONDS_PER_SECOND;
    this.#linkFreeAt = Math.max(now, this.#linkFreeAt) + transferMs;
    setTimeout(deliver, this.#linkFreeAt - now);
  }
}
