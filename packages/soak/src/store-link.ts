import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** How a link between a node and the store behaves. */
export enum LinkTrouble {
  None = 'none',
  /** Nothing passes either way, and connections stay open. */
  Cut = 'cut',
  /** Calls pass, and answers vanish. */
  Deaf = 'deaf',
}

/** A proxy on the loopback interface, through which one node reaches the store. */
export class StoreLink {
  trouble = LinkTrouble.None;
  readonly #server = createServer((socket) => {
    this.#join(socket);
  });
  readonly #sockets = new Set<Socket>();
  readonly #host: string;
  readonly #port: number;

  constructor(address: string) {
    const colon = address.lastIndexOf(':');
    this.#host = address.slice(0, colon);
    this.#port = Number(address.slice(colon + 1));
  }

  /** Listens; returns the address that the node uses. */
  async open(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this.#sockets) if (!socket.connecting) socket.resetAndDestroy();
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #join(near: Socket): void {
    const far = connect(this.#port, this.#host);
    near.on('data', (data) => {
      if (this.trouble !== LinkTrouble.Cut) far.write(data);
    });
    far.on('data', (data) => {
      if (this.trouble === LinkTrouble.None) near.write(data);
    });
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ] as const) {
      this.#sockets.add(socket);
      // A reset on one side is a reset on the other: that is all a link does with errors.
      socket.on('error', () => other.destroy());
      socket.on('close', () => {
        this.#sockets.delete(socket);
        other.destroy();
      });
    }
  }
}
