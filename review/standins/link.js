import { connect, createServer } from 'node:net';

const MS_PER_SECOND = 1_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;

/** The link of one node, of limited bandwidth in each direction, which all its connections share. */
export class Link {
  #server;
  #bytesPerMs;
  /** Times at which what was sent so far has passed, by direction. */
  #busyUntil = { up: 0, down: 0 };

  constructor(megabitsPerSecond) {
    this.#bytesPerMs = (megabitsPerSecond * BITS_PER_MEGABIT) / BITS_PER_BYTE / MS_PER_SECOND;
  }

  /** Listens for connections that go to `address`; resolves to the address of this end. */
  async open(address) {
    const [host, port] = address.split(':');
    this.#server = createServer((near) => {
      const far = connect(Number(port), host);
      this.#pass(near, far, 'up');
      this.#pass(far, near, 'down');
    });
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
  }

  #pass(from, to, direction) {
    const later = (action) =>
      setTimeout(action, Math.max(0, this.#busyUntil[direction] - performance.now()));
    from.on('data', (chunk) => {
      from.pause();
      const startsAt = Math.max(performance.now(), this.#busyUntil[direction]);
      this.#busyUntil[direction] = startsAt + chunk.length / this.#bytesPerMs;
      later(() => {
        if (!to.destroyed) to.write(chunk);
        from.resume();
      });
    });
    from.on('end', () => later(() => to.end()));
    from.on('error', () => to.destroy());
    from.on('close', () => later(() => to.destroy()));
  }
}
