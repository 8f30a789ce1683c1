import { LoopbackServer, readBody, sendJson } from './http.js';

/** Limits and times that the platform's pages set for the store. */
const ROW_BYTES = 65_536;
const TRANSACTION_ENTRIES = 100;
const TRANSACTION_BYTES = 1_048_576;
const PAGE_ROWS = 500;
const TRANSACTION_MS = 5;
const MAXIMUM_QUEUE_MS = 1_000;

/** Ways in which the store is unavailable. */
export const Outage = Object.freeze({
  None: 'none',
  Busy: 'busy',
  Reset: 'reset',
  Silent: 'silent',
});

/**
 * Stand-in of the platform's store: rows with one increasing version, transactions within a part, pages and
 * change feeds.
 */
export class Store extends LoopbackServer {
  outage = Outage.None;
  /** Called with each transaction that was applied. */
  onApplied = () => undefined;
  /** Whether change feeds hear nothing, as before their history is dropped. */
  areFeedsDeaf = false;
  /** Transactions that were rejected because they exceed a limit of the pages, by reason. */
  rejected = new Map();
  #rows = new Map();
  #history = [];
  #historyStart = 0;
  #version = 0;
  #waiters = new Set();
  #busyUntil = new Map();

  /** Reads a row directly, also during an outage. */
  peek(table, part, key) {
    return this.#rows.get(encodeId({ table, part, key }))?.text;
  }

  /** Writes a row as the operators and executors do; a transaction of its own. */
  put(table, key, value) {
    const row = {
      table,
      part: '',
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
    };
    this.#apply([row], []);
  }

  /** Removes a row that an operator or executor wrote. */
  remove(table, key) {
    this.#apply([], [{ table, part: '', key }]);
  }

  /** Drops the history of all feeds, which are told so. */
  dropHistory() {
    this.#history = [];
    this.#historyStart = this.#version;
    for (const wake of [...this.#waiters]) wake();
  }

  async handle(request, response) {
    const body = await readBody(request);
    if (this.#refuse(response)) return;
    const { pathname, searchParams: query } = new URL(request.url, 'http://store');
    if (pathname === '/api/rows-tx') await this.#commit(response, JSON.parse(body));
    else if (pathname === '/api/rows-get') this.#read(response, query);
    else if (pathname === '/api/rows-feed') await this.#feed(response, query);
    else sendJson(response, 404, {});
  }

  async #commit(response, transaction) {
    const { expected_revision: conditions = [], puts = [], remove = [] } = transaction;
    const entries = [...conditions, ...puts, ...remove];
    const fault = findLimit(transaction, entries, puts);
    if (fault !== undefined) {
      this.rejected.set(fault, (this.rejected.get(fault) ?? 0) + 1);
      sendJson(response, 400, { reason: fault });
      return;
    }
    const part = entries[0]?.part ?? '';
    const now = performance.now();
    const startsAt = Math.max(now, this.#busyUntil.get(part) ?? 0);
    if (startsAt - now > MAXIMUM_QUEUE_MS) {
      sendJson(response, 429, {});
      return;
    }
    this.#busyUntil.set(part, startsAt + TRANSACTION_MS);
    await sleep(startsAt + TRANSACTION_MS - now);
    const isMet = conditions.every(
      (row) => (this.#rows.get(encodeId(row))?.version ?? 0) === row.row_version,
    );
    if (!isMet) {
      const rows = conditions.flatMap((row) => {
        const found = this.#rows.get(encodeId(row));
        return found === undefined ? [] : [encodeRow(found)];
      });
      sendJson(response, 412, this.#stamp({ rows }));
      return;
    }
    this.#apply(puts, remove);
    sendJson(response, 200, this.#stamp({}));
  }

  #apply(puts, removals) {
    this.#version += 1;
    const changed = [];
    for (const { table, part = '', key, value } of puts) {
      const text = Buffer.from(value, 'base64').toString('utf8');
      const row = { table, part, key, value, text, version: this.#version };
      this.#rows.set(encodeId(row), row);
      changed.push(row);
    }
    for (const { table, part = '', key } of removals) {
      const row = {
        table,
        part,
        key,
        value: '',
        text: '',
        version: this.#version,
        isDeleted: true,
      };
      if (this.#rows.delete(encodeId(row))) changed.push(row);
    }
    this.#history.push(...changed);
    this.onApplied(changed);
    for (const wake of [...this.#waiters]) wake();
  }

  #read(response, query) {
    const [table, part] = [query.get('table'), query.get('part') ?? ''];
    const [from, target] = [query.get('from') ?? '', query.get('target')];
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .filter((row) => target === null || row.key < target)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = [];
    let bytes = 0;
    for (const row of rows) {
      bytes += row.value.length;
      if (page.length === limit || (page.length > 0 && bytes > TRANSACTION_BYTES)) break;
      page.push(encodeRow(row));
    }
    sendJson(response, 200, this.#stamp({ rows: page, has_more: page.length < rows.length }));
  }

  async #feed(response, query) {
    const [table, after] = [query.get('table'), Number(query.get('after') ?? 0)];
    const deadline = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    const list = () =>
      this.areFeedsDeaf
        ? []
        : this.#history.filter((row) => row.table === table && row.version > after);
    const isWaiting = () =>
      performance.now() < deadline && this.outage === Outage.None && after >= this.#historyStart;
    let rows = list();
    while (rows.length === 0 && isWaiting()) {
      await this.#waitForChange(deadline - performance.now());
      rows = list();
    }
    if (after < this.#historyStart) {
      sendJson(response, 410, this.#stamp({}));
      return;
    }
    if (this.#refuse(response)) return;
    sendJson(response, 200, this.#stamp({ rows: rows.map(encodeRow) }));
  }

  /** Does to a call what the outage does to it; returns whether there is one. */
  #refuse(response) {
    if (this.outage === Outage.Busy) sendJson(response, 503, {});
    if (this.outage === Outage.Reset) response.socket?.resetAndDestroy();
    return this.outage !== Outage.None;
  }

  async #waitForChange(waitMs) {
    await new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#waiters.add(finish);
    });
  }

  #stamp(body) {
    return { ...body, row_version: this.#version, now_ms: Math.round(performance.now()) };
  }
}

/** Names the limit of the pages that a transaction exceeds. */
function findLimit(transaction, entries, puts) {
  if (entries.length > TRANSACTION_ENTRIES) return 'entries';
  if (JSON.stringify(transaction).length > TRANSACTION_BYTES) return 'transaction bytes';
  if (puts.some(({ value }) => value.length > ROW_BYTES)) return 'row bytes';
  if (new Set(entries.map(({ part = '' }) => part)).size > 1) return 'parts';
  return undefined;
}

function encodeId({ table, part = '', key }) {
  return `${table}\0${part}\0${key}`;
}

function encodeRow({ table, part, key, value, version, isDeleted }) {
  return { table, part, key, value, row_version: version, ...(isDeleted ? { deleted: true } : {}) };
}

async function sleep(ms) {
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
