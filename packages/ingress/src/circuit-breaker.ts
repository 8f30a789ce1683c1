import { StoreFaultKind, type StoreFault } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';
import type { StoreProbe } from './store-probe.ts';

/** Consecutive refusals that open the circuit breaker; a single lost response opens it as well. */
const FAILURES_TO_OPEN = 2;
/** Milliseconds between two probes: at most two priced calls a second. */
const PROBE_PERIOD_MS = 500;
/**
 * Longest period of the probes in milliseconds: twice what the load balancer takes to find a node
 * unready, so that a node of which probes tell wrongly is out of rotation for half of each period.
 */
const MAXIMUM_PROBE_PERIOD_MS = 4_000;

/**
 * Judges by the outcome of writes whether the store serves this node. Once they have failed it sends
 * probes, since a node that is not ready gets no submissions whose writes could tell.
 */
export class CircuitBreaker {
  readonly #probe: StoreProbe;
  readonly #logger: Logger;
  #failures = 0;
  /** Monotonic time at which the last call that failed was sent, in milliseconds. */
  #failedCallSentAt = -Infinity;
  /** Monotonic time at which the call that closed the circuit breaker was sent, in milliseconds. */
  #closingCallSentAt = -Infinity;
  /** Monotonic time at which the circuit breaker opened, in milliseconds. */
  #openedAt = 0;
  /** Times that it opened since a write has succeeded. */
  #openings = 0;
  #probesSent = 0;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  constructor(probe: StoreProbe, logger: Logger) {
    this.#probe = probe;
    this.#logger = logger;
  }

  /** Whether the last calls to the store failed. */
  get isOpen(): boolean {
    return this.#failures >= FAILURES_TO_OPEN;
  }

  /** Records a write that the store has performed or found in conflict. */
  recordSuccess(sentAt: number): void {
    // A call from before the last failure does not show that the store serves this node now.
    if (this.isOpen && sentAt < this.#failedCallSentAt) return;
    if (this.isOpen) this.#reset(sentAt, false);
    this.#failures = 0;
    this.#openings = 0;
  }

  /** Records a write that the store has refused or not answered. */
  recordFailure(fault: StoreFault, sentAt: number): void {
    // A call from before the one that closed the circuit breaker tells nothing new.
    if (sentAt < this.#closingCallSentAt) return;
    this.#failedCallSentAt = Math.max(this.#failedCallSentAt, sentAt);
    const wasOpen = this.isOpen;
    this.#failures += fault.kind === StoreFaultKind.Unknown ? FAILURES_TO_OPEN : 1;
    if (wasOpen || this.#failures < FAILURES_TO_OPEN) return;
    this.#openedAt = performance.now();
    this.#openings += 1;
    this.#probesSent = 0;
    this.#logger.writeWarning('store lost', { reason: fault.message, kind: fault.kind });
    this.#scheduleProbe();
  }

  /** Ends the probes. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** The period doubles each time that probes succeeded and the writes after them failed. */
  #scheduleProbe(): void {
    if (this.#isStopped) return;
    const periodMs = Math.min(MAXIMUM_PROBE_PERIOD_MS, PROBE_PERIOD_MS * 2 ** (this.#openings - 1));
    this.#timer = setTimeout(() => {
      // The next probe waits for no response, which a silent store owes for longer than the period.
      this.#scheduleProbe();
      void this.#sendProbe();
    }, periodMs).unref();
  }

  async #sendProbe(): Promise<void> {
    const sentAt = performance.now();
    this.#probesSent += 1;
    const { isServed, invalid } = await this.#probe.send();
    // Nothing is logged of a probe that is not served: the node believes what it has believed before.
    if (!isServed || !this.isOpen || sentAt < this.#failedCallSentAt) return;
    if (invalid !== undefined)
      this.#logger.writeError('store probe invalid', { reason: invalid.message });
    this.#reset(sentAt, true);
  }

  #reset(sentAt: number, isProbe: boolean): void {
    clearTimeout(this.#timer);
    this.#failures = 0;
    this.#closingCallSentAt = sentAt;
    this.#logger.writeInfo('store regained', {
      isProbe,
      probes: this.#probesSent,
      lostMs: Math.round(performance.now() - this.#openedAt),
    });
  }
}
