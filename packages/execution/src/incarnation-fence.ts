/** Whether calls of the past can take effect on a target. */
enum FenceState {
  /** The incarnation has answered the token, so no call with a lower one can. */
  Closed,
  /** Another incarnation may answer. */
  Doubted,
  /** Another incarnation has answered, which has seen no token yet. */
  Open,
  /** The token was raised and has not been answered yet. */
  Raised,
}

/**
 * Keeps calls of the past from taking effect on a target. A target does nothing for a call whose fencing
 * token is lower than the highest one that it has seen, but a new incarnation has seen none. When another
 * incarnation answers, the token is raised: once the target has answered it, no call that was sent before
 * can take effect on that incarnation, however late it arrives. Until then, and as long as another
 * incarnation may answer, the target is sent nothing that means something else on another incarnation.
 */
export class IncarnationFence {
  #state = FenceState.Closed;
  #token: number;

  /** `token` is the fencing token of the owner's term, or the last one that it has used for the target. */
  constructor(token: number) {
    this.#token = token;
  }

  /** Fencing token of the calls to the target. */
  get token(): number {
    return this.#token;
  }

  /** Whether the incarnation that answered last takes no call of the past, and may be taken to be up. */
  get isClosed(): boolean {
    return this.#state === FenceState.Closed;
  }

  /** Whether the token is to be raised. */
  get isOpen(): boolean {
    return this.#state === FenceState.Open;
  }

  /** Records that another incarnation than the one that answered last may answer. */
  doubt(): void {
    if (this.#state === FenceState.Closed) this.#state = FenceState.Doubted;
  }

  /** Records that the same incarnation has answered again. */
  confirm(): void {
    if (this.#state === FenceState.Doubted) this.#state = FenceState.Closed;
  }

  /** Records that another incarnation has answered than the one that has answered the token. */
  open(): void {
    // Nothing that matters was sent with a raised token before its answer.
    if (this.#state !== FenceState.Raised) this.#state = FenceState.Open;
  }

  /**
   * Raises the token of an open fence. `limit` is a store version at which this owner was not deposed, so
   * that the token of any successor is higher; while all tokens up to it are used, the fence stays open.
   * Returns whether the token was raised.
   */
  raise(limit: number): boolean {
    if (this.#state !== FenceState.Open || this.#token >= limit) return false;
    this.#token += 1;
    this.#state = FenceState.Raised;
    return true;
  }

  /** Records that a call with this token was answered; returns whether that has closed the fence. */
  close(token: number): boolean {
    if (this.#state !== FenceState.Raised || token !== this.#token) return false;
    this.#state = FenceState.Closed;
    return true;
  }
}
