import type { Row, Store } from '@currantgap/store';
import { Stopwatch } from '@currantgap/tasks';
import type { OwnerContext } from './context.ts';
import { FencedRow } from './fenced-writer.ts';

/** Table with one row that names the VMs for which orders were sent lately. */
export const VM_ORDER_TABLE = 'vm-orders';
const ROW_KEY = 'recent';
/** Milliseconds beyond the protocol's minimum time between orders of two lease holders. */
const HOLDER_CHANGE_MARGIN_MS = 250;
/**
 * Milliseconds in which an order of an earlier owner may show its effect: the call, the end of the leases
 * and the registration of the next target.
 */
const ORDER_EFFECT_MS = 10_000;
/** Milliseconds after an entry was sent to the store in which its order may be sent. */
const ENTRY_VALIDITY_MS = 700;

/** An entry that is not stored yet. */
interface PendingEntry {
  readonly vm: string;
  readonly resolve: (isStored: boolean) => void;
}

/**
 * Stores each order for a VM before it is sent. A successor learns from it for which VMs it must wait,
 * and may order all others at once.
 */
export class VmOrderLog {
  readonly #context: OwnerContext;
  readonly #store: Store;
  readonly #row: OrderRow;
  readonly #pauseMs: number;
  /** Monotonic times until which the protocol allows only the predecessor to order VMs. */
  readonly #blockedUntil = new Map<string, number>();
  #allBlockedUntil = 0;

  constructor(context: OwnerContext, store: Store) {
    const { term, bounds, clock } = context;
    this.#context = context;
    this.#store = store;
    this.#pauseMs = bounds.holderChangeMs + HOLDER_CHANGE_MARGIN_MS;
    this.#row = new OrderRow(store, this.#pauseMs);
    if (term.predecessor?.logsVmOrders === false) this.#refuseAll(clock.now);
  }

  /** Loads the orders of earlier owners. */
  load(rows: readonly Row[]): void {
    const { clock, fleet, logger } = this.#context;
    const storeNow = this.#store.now;
    for (const { value, version } of rows) {
      this.#row.version = version;
      const entries = decodeEntries(value);
      if (entries === undefined || storeNow === undefined) {
        logger.writeError('VM orders not decodable', { version });
        this.#refuseAll(clock.now);
        continue;
      }
      for (const [vm, orderedAt] of entries) {
        this.#blockedUntil.set(vm, clock.now + this.#pauseMs - (storeNow - orderedAt));
        fleet.recordEarlierOrder(vm, clock.now + ORDER_EFFECT_MS);
      }
    }
  }

  /** Whether a predecessor may have ordered the VM so lately that no other owner may. */
  isBlocked(vm: string): boolean {
    const { now } = this.#context.clock;
    return now < this.#allBlockedUntil || now < (this.#blockedUntil.get(vm) ?? 0);
  }

  /** Stores that an order for the VM is about to be sent; returns whether it may be sent now. */
  async record(vm: string): Promise<boolean> {
    return new Promise((resolve) => {
      this.#row.add({ vm, resolve });
      this.#context.writer.addUrgent(this.#row);
    });
  }

  /** Permits no further orders; used when the term ends. */
  stop(): void {
    this.#row.abandon();
  }

  #refuseAll(now: number): void {
    this.#allBlockedUntil = now + this.#pauseMs;
  }
}

/** The row with the recent orders: times on the store's clock by VM. */
class OrderRow extends FencedRow {
  readonly table = VM_ORDER_TABLE;
  readonly key = ROW_KEY;
  version = 0;
  readonly #store: Store;
  readonly #retentionMs: number;
  readonly #entries = new Map<string, number>();
  #pending: PendingEntry[] = [];
  #sent: readonly PendingEntry[] = [];
  #sentWatch = new Stopwatch();

  constructor(store: Store, retentionMs: number) {
    super();
    this.#store = store;
    this.#retentionMs = retentionMs;
  }

  add(entry: PendingEntry): void {
    this.#pending.push(entry);
  }

  /** Resolves all entries as not stored. */
  abandon(): void {
    const abandoned = [...this.#sent, ...this.#pending];
    this.#sent = [];
    this.#pending = [];
    for (const { resolve } of abandoned) resolve(false);
  }

  encode(): string {
    const now = Math.round(this.#store.now ?? 0);
    for (const [vm, orderedAt] of this.#entries) {
      if (orderedAt < now - this.#retentionMs) this.#entries.delete(vm);
    }
    // Entries of an attempt that failed are sent again.
    this.#sent = [...this.#sent, ...this.#pending];
    this.#pending = [];
    for (const { vm } of this.#sent) this.#entries.set(vm, now);
    this.#sentWatch = new Stopwatch();
    return JSON.stringify(Object.fromEntries(this.#entries));
  }

  handleStored(): void {
    const stored = this.#sent;
    this.#sent = [];
    // After a pause of this process, the protocol may allow only a successor to order the VMs.
    const isValid = this.#sentWatch.elapsedMs < ENTRY_VALIDITY_MS;
    for (const { resolve } of stored) resolve(isValid);
  }
}

function decodeEntries(value: string): [string, number][] | undefined {
  try {
    const row = JSON.parse(value) as unknown;
    if (typeof row !== 'object' || row === null || Array.isArray(row)) return undefined;
    const entries = Object.entries(row as Record<string, unknown>);
    const isValid = entries.every(([, orderedAt]) => typeof orderedAt === 'number');
    return isValid ? (entries as [string, number][]) : undefined;
  } catch {
    return undefined;
  }
}
