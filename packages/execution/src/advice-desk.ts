import type { StepRun } from '@currantgap/jobs';
import type { Route } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { AdvicePort, Ticket } from './ports.ts';
import type { TargetRecord } from './target-record.ts';

/** Targets named in one call: each costs time, and a step seldom needs more. */
const TARGETS_PER_CALL = 30;
/** Milliseconds of a ticket's time that are kept for the way of the start. */
const TICKET_MARGIN_MS = 300;
/** Milliseconds before the service is asked again after a call without an answer. */
const RETRY_MS = 250;

/** What is known of who may run a step. */
interface StepAdvice {
  readonly tickets: Map<string, { readonly ticket: string; readonly validUntil: number }>;
  /** Targets that may not run the step; that does not change. */
  readonly denied: Set<string>;
}

/** Keeps tickets for starts on routes with a policy; one call at a time, for the most urgent step. */
export class AdviceDesk {
  readonly #context: OwnerContext;
  readonly #port: AdvicePort | undefined;
  readonly #advice = new Map<string, StepAdvice>();
  #isAsking = false;
  #askNotBefore = 0;

  constructor(context: OwnerContext, port: AdvicePort | undefined) {
    this.#context = context;
    this.#port = port;
  }

  /** Lists the targets that may run the step now, and asks for more where there are too few. */
  listAllowed(
    step: StepRun,
    route: Route,
    open: readonly TargetRecord[],
    tasks: number,
  ): TargetRecord[] {
    if (route.advice === undefined) return [...open];
    const advice = this.#open(step.name);
    const { now } = this.#context.clock;
    const allowed = open.filter(({ id }) => (advice.tickets.get(id)?.validUntil ?? 0) > now);
    const wanted = Math.min(tasks, open.length);
    if (allowed.length < wanted) this.#ask(step, route.advice.validMs, advice, open);
    return allowed;
  }

  /** Gets the ticket that a start on the target must carry. */
  getTicket(step: StepRun, targetId: string): string | undefined {
    return this.#advice.get(step.name)?.tickets.get(targetId)?.ticket;
  }

  /** Forgets a ticket that a target did not take. */
  drop(step: StepRun, targetId: string): void {
    this.#advice.get(step.name)?.tickets.delete(targetId);
  }

  /** Forgets the steps of jobs that have ended. */
  sweep(): void {
    for (const name of this.#advice.keys()) {
      const id = name.slice(0, name.indexOf('.'));
      if (!this.#context.active.has(id)) this.#advice.delete(name);
    }
  }

  #open(name: string): StepAdvice {
    const known = this.#advice.get(name);
    if (known !== undefined) return known;
    const created: StepAdvice = { tickets: new Map(), denied: new Set() };
    this.#advice.set(name, created);
    return created;
  }

  #ask(step: StepRun, validMs: number, advice: StepAdvice, open: readonly TargetRecord[]): void {
    const { clock, logger, post } = this.#context;
    if (this.#port === undefined || this.#isAsking || clock.now < this.#askNotBefore) return;
    const ids = open
      .filter(({ id }) => !advice.denied.has(id) && !this.#isValid(advice, id))
      .slice(0, TARGETS_PER_CALL)
      .map(({ id }) => id);
    if (ids.length === 0) return;
    this.#isAsking = true;
    const askedAt = clock.now;
    void this.#port.requestTickets(step.name, ids).then((tickets) => {
      this.#isAsking = false;
      logger.writeInfo('advice answered', {
        request: step.job.id,
        step: step.name,
        asked: ids.length,
        allowed: tickets?.length ?? -1,
        tookMs: Math.round(clock.now - askedAt),
      });
      if (tickets === undefined) this.#askNotBefore = clock.now + RETRY_MS;
      else this.#keep(advice, ids, tickets, askedAt + validMs - TICKET_MARGIN_MS);
      post({ kind: 'tick' });
    });
  }

  #isValid(advice: StepAdvice, id: string): boolean {
    return (advice.tickets.get(id)?.validUntil ?? 0) > this.#context.clock.now;
  }

  #keep(
    advice: StepAdvice,
    asked: readonly string[],
    tickets: readonly Ticket[],
    validUntil: number,
  ): void {
    for (const { targetId, ticket } of tickets) {
      advice.tickets.set(targetId, { ticket, validUntil });
    }
    for (const id of asked) if (!advice.tickets.has(id)) advice.denied.add(id);
  }
}
