import csp, { type Channel } from 'js-csp';

/** Default capacity of a mailbox in messages. */
export const DEFAULT_MAILBOX_SIZE = 16_384;

/** Maximum number of messages that a task handles before it yields to other tasks. */
const MAXIMUM_BATCH_SIZE = 256;

/** Options of a task. */
export interface TaskOptions {
  /** Capacity of the mailbox in messages. @default DEFAULT_MAILBOX_SIZE */
  readonly mailboxSize?: number;
}

/**
 * An actor: a js-csp goroutine that owns its state and handles one message at a time.
 * Other tasks communicate with it only through `post`.
 */
export abstract class Task<Message> {
  readonly #mailbox: Channel<Message>;

  constructor(options: TaskOptions = {}) {
    this.#mailbox = csp.chan<Message>(
      csp.buffers.fixed(options.mailboxSize ?? DEFAULT_MAILBOX_SIZE),
    );
  }

  /** Starts the goroutine. */
  start(): void {
    const mailbox = this.#mailbox;
    const handle = (message: Message): void => {
      this.handle(message);
    };
    csp.go(function* run() {
      for (;;) {
        let message = yield csp.take(mailbox);
        if (message === csp.CLOSED) return;
        // Each `take` yields to other goroutines, so queued messages are handled in one batch.
        for (
          let remaining = MAXIMUM_BATCH_SIZE;
          remaining > 0 && isMessage(message);
          remaining -= 1
        ) {
          handle(message as Message);
          message = remaining > 1 ? csp.poll(mailbox) : csp.NO_VALUE;
        }
      }
    });
  }

  /** Posts a message. Returns false when the mailbox is full or closed. */
  post(message: Message): boolean {
    return csp.offer(this.#mailbox, message);
  }

  /** Closes the mailbox; the goroutine ends once the queued messages are handled. */
  stop(): void {
    this.#mailbox.close();
  }

  /** Handles one message. It must not throw. */
  protected abstract handle(message: Message): void;
}

/** Whether a value received from the channel is a message and not a marker of js-csp. */
function isMessage(message: unknown): boolean {
  return message !== csp.NO_VALUE && message !== csp.CLOSED;
}
