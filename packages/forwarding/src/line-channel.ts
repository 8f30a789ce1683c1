import { describeError } from '@currantgap/model';
import type { Duplex } from 'node:stream';
import { StringDecoder } from 'node:string_decoder';

/** Characters of an incomplete line above which the peer is taken to be faulty. */
const MAXIMUM_LINE_CHARACTERS = 8_000_000;
/** Bytes that wait to be sent above which the channel counts as congested. */
const CONGESTED_BYTES = 128_000;

/** Options of a channel. */
export interface LineChannelOptions {
  readonly socket: Duplex;
  /** Bytes that were received before the channel was created. */
  readonly head: Buffer;
  /** Receives each value; a value that it rejects by throwing closes the channel. */
  readonly onValue: (value: unknown) => void;
  /** Called once when the channel has closed, with the reason. */
  readonly onClosed: (reason: string) => void;
}

/**
 * Exchanges JSON values over a socket, one per line. Values that are sent in one turn of the event
 * loop are written together.
 */
export class LineChannel {
  readonly #options: LineChannelOptions;
  /** Joins characters whose bytes arrive separately. */
  readonly #decoder = new StringDecoder('utf8');
  #lines: string[] = [];
  #incomplete = '';
  #isClosed = false;
  #receivedAt = performance.now();
  #sentAt = performance.now();

  constructor(options: LineChannelOptions) {
    this.#options = options;
    const { socket, head } = options;
    // Delivered with the data that follows, when the creator of the channel knows it.
    if (head.length > 0) socket.unshift(head);
    socket.on('data', (data: Buffer) => {
      this.#receive(data);
    });
    socket.on('error', (error: unknown) => {
      this.close(describeError(error));
    });
    socket.on('close', () => {
      this.close('the connection was closed');
    });
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Whether so much waits to be sent that the link or the peer must be stuck. */
  get isCongested(): boolean {
    return this.#options.socket.writableLength > CONGESTED_BYTES;
  }

  /** Monotonic time of the last data from the peer, in milliseconds. */
  get receivedAt(): number {
    return this.#receivedAt;
  }

  /** Monotonic time at which data was last sent, in milliseconds. */
  get sentAt(): number {
    return this.#sentAt;
  }

  /** Sends a value; does nothing if the channel is closed. */
  send(value: unknown): void {
    if (this.#isClosed) return;
    if (this.#lines.length === 0) {
      setImmediate(() => {
        this.#flush();
      });
    }
    this.#lines.push(JSON.stringify(value));
  }

  /** Closes the channel and resets the connection, so that nothing is delivered late. */
  close(reason: string): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#options.socket.destroy();
    this.#options.onClosed(reason);
  }

  #flush(): void {
    if (this.#isClosed) return;
    this.#sentAt = performance.now();
    this.#options.socket.write(`${this.#lines.join('\n')}\n`);
    this.#lines = [];
  }

  #receive(data: Buffer): void {
    this.#receivedAt = performance.now();
    const lines = (this.#incomplete + this.#decoder.write(data)).split('\n');
    this.#incomplete = lines.pop() ?? '';
    try {
      for (const line of lines) {
        if (this.#isClosed) return;
        this.#options.onValue(JSON.parse(line) as unknown);
      }
    } catch (error) {
      this.close(`a line was malformed: ${describeError(error)}`);
    }
    if (this.#incomplete.length > MAXIMUM_LINE_CHARACTERS) this.close('a line was too long');
  }
}
