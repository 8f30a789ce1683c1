import type { Resources } from '@currantgap/model';
import { hasRoom } from './resources.ts';

/** Most footprints that are remembered to have found no room. */
const MAXIMUM_REMEMBERED = 16;

/**
 * Tells whether any of some targets has room for a footprint. Remembers footprints without room, so it
 * is valid as long as room only shrinks: for one planning pass.
 */
export class RoomCheck {
  readonly #targets: readonly { readonly capacity: Resources; readonly used: Resources }[];
  readonly #refused: Resources[] = [];

  constructor(targets: readonly { readonly capacity: Resources; readonly used: Resources }[]) {
    this.#targets = targets;
  }

  /** Whether one of the targets has room. */
  hasRoom(footprint: Resources): boolean {
    if (this.#refused.some((refused) => isWithin(refused, footprint))) return false;
    if (this.#targets.some(({ capacity, used }) => hasRoom(capacity, used, footprint))) return true;
    if (this.#refused.length < MAXIMUM_REMEMBERED) this.#refused.push(footprint);
    return false;
  }
}

/** Whether `inner` takes no more of any resource than `outer`. */
function isWithin(inner: Resources, outer: Resources): boolean {
  return (
    inner.cpuMillis <= outer.cpuMillis &&
    inner.memoryMb <= outer.memoryMb &&
    inner.gpus <= outer.gpus
  );
}
