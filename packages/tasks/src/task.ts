import csp, { type Channel } from 'js-csp';

/** Messages that a mailbox holds before it refuses more. */
export const DEFAULT_MAILBOX_SIZE = 16_384;

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
        const message = yield csp.take(mailbox);
        if (message === csp.CLOSED) return;
        handle(message as Message);
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
