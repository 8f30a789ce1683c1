import csp, { type Channel } from 'js-csp';

/** Messages that a mailbox holds before it refuses more. */
export const DEFAULT_MAILBOX_SIZE = 16_384;

/** Messages that a task handles before it gives its turn away. */
const MAXIMUM_BATCH = 256;

/** Options of a task. */
export interface TaskOptions {
  /** @default DEFAULT_MAILBOX_SIZE */
  readonly mailboxSize?: number;
}

/**
 * A goroutine that owns its state and handles one message at a time.
 * Other tasks reach it only by `post`.
 */
export abstract class Task<Message> {
  readonly #mailbox: Channel<Message>;

  constructor(options: TaskOptions = {}) {
    this.#mailbox = csp.chan<Message>(
      csp.buffers.fixed(options.mailboxSize ?? DEFAULT_MAILBOX_SIZE),
    );
  }

  /** Spawns the goroutine. */
  start(): void {
    const mailbox = this.#mailbox;
    const handle = (message: Message): void => {
      this.handle(message);
    };
    csp.go(function* run() {
      for (;;) {
        let message = yield csp.take(mailbox);
        if (message === csp.CLOSED) return;
        // A take gives the turn away, so what has gathered meanwhile is handled in one turn.
        for (let left = MAXIMUM_BATCH; left > 0 && hasMessage(message); left -= 1) {
          handle(message as Message);
          message = left > 1 ? csp.poll(mailbox) : csp.NO_VALUE;
        }
      }
    });
  }

  /** Posts a message; false when the mailbox is full or closed. */
  post(message: Message): boolean {
    return csp.offer(this.#mailbox, message);
  }

  /** Closes the mailbox; the goroutine ends after the messages already posted. */
  stop(): void {
    this.#mailbox.close();
  }

  /** Handles one message. It must not throw. */
  protected abstract handle(message: Message): void;
}

function hasMessage(message: unknown): boolean {
  return message !== csp.NO_VALUE && message !== csp.CLOSED;
}
