import { ChangeKind } from '@currantgap/environment';
import type { Fleet } from '@currantgap/standins';

const CHANGES = 10;
const POLL_MS = 5;
const PAUSE_MS = 300;

/** Times from an operator's request until the change is in force at every entry. */
export interface ChangeTime {
  readonly medianMs: number;
  readonly maximumMs: number;
}

/** Takes a data centre out of service and back repeatedly, through each entry in turn. */
export async function measureChangeTime(fleet: Fleet): Promise<ChangeTime> {
  const times: number[] = [];
  const [dataCentre = ''] = fleet.listDataCentres();
  for (let index = 0; index < CHANGES; index += 1) {
    const kind = index % 2 === 0 ? ChangeKind.TakeOutDataCentre : ChangeKind.BringBackDataCentre;
    const startedAt = performance.now();
    const sequence = await fleet.change({ kind, dataCentre }, index % fleet.entries.length);
    await waitForAll(fleet, sequence);
    times.push(performance.now() - startedAt);
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  }
  times.sort((left, right) => left - right);
  return { medianMs: times[Math.floor(CHANGES / 2)] ?? NaN, maximumMs: times.at(-1) ?? NaN };
}

async function waitForAll(fleet: Fleet, sequence: number): Promise<void> {
  for (;;) {
    const statuses = await Promise.all(
      fleet.entries.map(async (_, index) => fleet.getStatus(index)),
    );
    if (statuses.every((status) => status.sequence >= sequence)) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
