import { EMPTY_VIEW, isMember, isNewer, PromisedEpoch, type View } from '@currantgap/membership';
import type { Incarnation } from '@currantgap/model';

/** Receives a view when it comes into force. */
export type ViewObserver = (view: View) => void;

/** The view in force at this entry, and its promises. Epochs only rise. */
export class CurrentView {
  readonly incarnation: Incarnation;
  readonly #promises = new PromisedEpoch();
  readonly #observers: ViewObserver[] = [];
  #view: View = EMPTY_VIEW;

  constructor(incarnation: Incarnation) {
    this.incarnation = incarnation;
  }

  get view(): View {
    return this.#view;
  }

  /** Whether this process has a seat. */
  get isSeated(): boolean {
    return isMember(this.#view, this.incarnation);
  }

  /** Adds an observer of later views. */
  observe(observer: ViewObserver): void {
    this.#observers.push(observer);
  }

  /** Takes a view over when it is newer than the present one. */
  offer(view: View): void {
    if (!isNewer(view, this.#view)) return;
    this.#view = view;
    for (const observer of this.#observers) observer(view);
  }

  /** Promises to vouch no longer under an epoch; false when a later one is known. */
  promise(epoch: number): boolean {
    return this.#promises.promise(epoch, this.#view.epoch);
  }

  /** Whether this entry, with changes up to `sequence` in force, may vouch under its view. */
  canVouch(sequence: number): boolean {
    if (!this.isSeated || !this.#promises.canConfirm(this.#view.epoch)) return false;
    return sequence >= this.#view.sequence;
  }
}
