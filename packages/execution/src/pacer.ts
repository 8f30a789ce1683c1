import { AttemptPhase } from '@currantgap/jobs';
import { decidePace, type ServingReading } from '@currantgap/scheduling';
import type { OwnerContext } from './context.ts';
import { OrderOutcome } from './ports.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Milliseconds between pace changes on a target: latency readings cover the last 500 ms. */
const PACE_INTERVAL_MS = 500;

/** Slows fillers down on targets where serving tasks miss their latency targets. */
export class Pacer {
  readonly #context: OwnerContext;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Updates the pace on each target whose last update is at least one interval old. */
  sweep(): void {
    const { now } = this.#context.clock;
    for (const target of this.#context.fleet.targets) {
      if (now < target.paceChangedAt + PACE_INTERVAL_MS) continue;
      target.paceChangedAt = now;
      this.#updatePace(target);
    }
  }

  #updatePace(target: TargetRecord): void {
    const fillers: Assignment[] = [];
    const readings: ServingReading[] = [];
    for (const assignment of target.assignments) {
      const { task, attempt } = assignment;
      if (attempt.phase !== AttemptPhase.Running) continue;
      const { isFiller, latencyTargetMs } = task.step.definition;
      if (isFiller) fillers.push(assignment);
      else if (latencyTargetMs > 0) {
        readings.push({ tailLatencyMs: attempt.reading, latencyTargetMs });
      }
    }
    if (fillers.length === 0) return;
    const pace = decidePace(target.pace, readings);
    if (pace !== target.pace) {
      this.#context.logger.writeInfo('pace changed', {
        target: target.id,
        from: target.pace,
        to: pace,
        tails: readings
          .map(({ tailLatencyMs, latencyTargetMs }) => `${tailLatencyMs}/${latencyTargetMs}`)
          .join(' '),
      });
      target.pace = pace;
    }
    for (const filler of fillers)
      if (filler.attempt.pace !== pace) this.#sendPace(target, filler, pace);
  }

  #sendPace(target: TargetRecord, { task, attempt }: Assignment, percent: number): void {
    const { targetPort } = this.#context;
    const { token } = target.fence;
    const order = { task: task.name, run: attempt.run, token, percent };
    void targetPort.setPace(target.address, order).then((outcome) => {
      if (outcome === OrderOutcome.Accepted) attempt.pace = percent;
    });
  }
}
