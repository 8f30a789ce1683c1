import type { StepRun } from '@currantgap/jobs';
import type { Route } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { AdvicePort, Ticket } from './ports.ts';
import type { TargetRecord } from './target-record.ts';

/** Targets in one request: each adds to the response time, and a step rarely needs more. */
const TARGETS_PER_CALL = 30;
/** Milliseconds subtracted from a ticket's validity for the delivery of the start order. */
const TICKET_MARGIN_MS = 300;
/** Milliseconds between a request without a response and the next request. */
const RETRY_MS = 250;

/** Answers of the advice service for one step. */
interface StepAdvice {
  readonly tickets: Map<string, { readonly ticket: string; readonly validUntil: number }>;
  /** Targets that may not run the step; a denial is permanent. */
  readonly denied: Set<string>;
}

/**
 * Requests and caches the tickets that starts on routes with an advice policy must carry. Sends one
 * request at a time; the planner visits steps in order of urgency, so the most urgent goes first.
 */
export class AdviceCache {
  readonly #context: OwnerContext;
  readonly #port: AdvicePort | undefined;
  readonly #advice = new Map<string, StepAdvice>();
  #isRequesting = false;
  #requestNotBefore = 0;

  constructor(context: OwnerContext, port: AdvicePort | undefined) {
    this.#context = context;
    this.#port = port;
  }

  /** Lists the targets that may run the step now; requests more tickets if `tasks` exceeds them. */
  listAllowed(
    step: StepRun,
    route: Route,
    candidates: readonly TargetRecord[],
    tasks: number,
  ): readonly TargetRecord[] {
    if (route.advice === undefined) return candidates;
    const advice = this.#getOrCreate(step.name);
    const { now } = this.#context.clock;
    const allowed = candidates.filter(({ id }) => (advice.tickets.get(id)?.validUntil ?? 0) > now);
    const requiredCount = Math.min(tasks, candidates.length);
    if (allowed.length < requiredCount)
      this.#requestTickets(step, route.advice.validMs, advice, candidates);
    return allowed;
  }

  /** Gets the ticket that a start on the target must carry; undefined if there is none. */
  getTicket(step: StepRun, targetId: string): string | undefined {
    return this.#advice.get(step.name)?.tickets.get(targetId)?.ticket;
  }

  /** Removes a ticket that the target rejected. */
  removeTicket(step: StepRun, targetId: string): void {
    this.#advice.get(step.name)?.tickets.delete(targetId);
  }

  /** Removes the entries of jobs that have ended. */
  sweep(): void {
    for (const name of this.#advice.keys()) {
      const id = name.slice(0, name.indexOf('.'));
      if (!this.#context.active.has(id)) this.#advice.delete(name);
    }
  }

  #getOrCreate(name: string): StepAdvice {
    const existing = this.#advice.get(name);
    if (existing !== undefined) return existing;
    const created: StepAdvice = { tickets: new Map(), denied: new Set() };
    this.#advice.set(name, created);
    return created;
  }

  #requestTickets(
    step: StepRun,
    validMs: number,
    advice: StepAdvice,
    candidates: readonly TargetRecord[],
  ): void {
    const { clock, logger, post } = this.#context;
    if (this.#port === undefined || this.#isRequesting || clock.now < this.#requestNotBefore)
      return;
    const ids = candidates
      .filter(({ id }) => !advice.denied.has(id) && !this.#isValid(advice, id))
      .slice(0, TARGETS_PER_CALL)
      .map(({ id }) => id);
    if (ids.length === 0) return;
    this.#isRequesting = true;
    const sentAt = clock.now;
    void this.#port.requestTickets(step.name, ids).then((tickets) => {
      this.#isRequesting = false;
      logger.writeInfo('advice answered', {
        request: step.job.id,
        step: step.name,
        asked: ids.length,
        allowed: tickets?.length ?? -1,
        tookMs: Math.round(clock.now - sentAt),
      });
      if (tickets === undefined) this.#requestNotBefore = clock.now + RETRY_MS;
      else this.#applyTickets(advice, ids, tickets, sentAt + validMs - TICKET_MARGIN_MS);
      post({ kind: 'tick' });
    });
  }

  #isValid(advice: StepAdvice, id: string): boolean {
    return (advice.tickets.get(id)?.validUntil ?? 0) > this.#context.clock.now;
  }

  #applyTickets(
    advice: StepAdvice,
    requested: readonly string[],
    tickets: readonly Ticket[],
    validUntil: number,
  ): void {
    for (const { targetId, ticket } of tickets) {
      advice.tickets.set(targetId, { ticket, validUntil });
    }
    for (const id of requested) if (!advice.tickets.has(id)) advice.denied.add(id);
  }
}
