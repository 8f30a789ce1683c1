import { setTimeout as sleep } from 'node:timers/promises';
import { JsonServer } from './http.js';

/** Milliseconds that a transaction takes; a part performs them one after another. */
const TRANSACTION_MS = 5;
const MAXIMUM_ENTRIES = 100;
const MAXIMUM_BYTES = 1_048_576;
const MAXIMUM_ROW_BYTES = 65_536;
const MAXIMUM_ROWS = 500;
const MAXIMUM_WAIT_MS = 30_000;
/** Tables that only the operator and the executors write. */
const FOREIGN_TABLES = ['op', 'servers'];

/** Stand-in of the platform's metadata store. */
export class Store {
  #server = new JsonServer((call) => this.#handle(call));
  #rows = new Map();
  #history = [];
  #version = 0;
  #queues = new Map();
  #waiters = new Set();

  get address() {
    return this.#server.address;
  }

  async open() {
    await this.#server.listen();
  }

  close() {
    this.#server.close();
  }

  /** Writes a row for the operator or an executor; the value is encoded as JSON. */
  write(table, key, value) {
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#apply({ puts: [{ table, part: '', key, value: encoded }] });
  }

  /** Removes a row for the operator or an executor. */
  remove(table, key) {
    if (this.#rows.has(getId({ table, key }))) this.#apply({ remove: [{ table, key }] });
  }

  /** Reads the JSON value of a row as the operator does; undefined if there is none. */
  read(table, part, key) {
    const row = this.#rows.get(getId({ table, part, key }));
    return row === undefined
      ? undefined
      : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  }

  async #handle({ method, url, body }) {
    const query = url.searchParams;
    switch (`${method} ${url.pathname}`) {
      case 'POST /api/rows-tx':
        return this.#transact(body);
      case 'GET /api/rows-get':
        return this.#get(query);
      case 'GET /api/rows-parts':
        return this.#listParts(query);
      case 'GET /api/rows-feed':
        return this.#feed(query);
      default:
        return this.#answer(404, {});
    }
  }

  #answer(status, body) {
    const now_ms = Math.round(performance.now());
    return { status, body: { ...body, row_version: this.#version, now_ms } };
  }

  async #transact(transaction) {
    const { expected_revision = [], puts = [], remove = [] } = transaction;
    const entries = [...expected_revision, ...puts, ...remove];
    const parts = new Set(entries.map(({ part = '' }) => part));
    const bytes = puts.reduce((sum, { value }) => sum + value.length, 0);
    const isTooLarge =
      entries.length > MAXIMUM_ENTRIES ||
      bytes > MAXIMUM_BYTES ||
      puts.some(({ value }) => value.length > MAXIMUM_ROW_BYTES);
    if (isTooLarge || parts.size > 1) return this.#answer(400, {});
    if ([...puts, ...remove].some(({ table }) => FOREIGN_TABLES.includes(table)))
      return this.#answer(403, {});
    const [part = ''] = parts;
    const turn = (this.#queues.get(part) ?? Promise.resolve()).then(() => sleep(TRANSACTION_MS));
    this.#queues.set(part, turn);
    await turn;
    const found = this.#apply(transaction);
    return found === undefined ? this.#answer(200, {}) : this.#answer(412, { rows: found });
  }

  /** Performs a transaction; returns the present rows if a condition does not hold. */
  #apply({ expected_revision = [], puts = [], remove = [] }) {
    const holds = ({ row_version, ...key }) =>
      (this.#rows.get(getId(key))?.row_version ?? 0) === row_version;
    if (!expected_revision.every(holds))
      return expected_revision.flatMap((key) => this.#rows.get(getId(key)) ?? []);
    this.#version += 1;
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, row_version: this.#version };
      this.#rows.set(getId(row), row);
      this.#history.push(row);
    }
    for (const { table, part = '', key } of remove) {
      this.#rows.delete(getId({ table, part, key }));
      this.#history.push({ table, part, key, row_version: this.#version, deleted: true });
    }
    for (const notify of [...this.#waiters]) notify();
    return undefined;
  }

  #get(query) {
    const [table, part, from] = ['table', 'part', 'from'].map((name) => query.get(name) ?? '');
    const target = query.get('target');
    const limit = Math.min(MAXIMUM_ROWS, Number(query.get('limit') ?? MAXIMUM_ROWS));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .filter(({ key }) => target === null || key < target)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    let bytes = 0;
    const page = rows.slice(0, limit).filter(({ value }, index) => {
      bytes += value.length;
      return index === 0 || bytes <= MAXIMUM_BYTES;
    });
    return this.#answer(200, { rows: page, has_more: page.length < rows.length });
  }

  #listParts(query) {
    const after = query.get('after') ?? '';
    const rows = [...this.#rows.values()].filter(({ table }) => table === query.get('table'));
    const parts = [...new Set(rows.map(({ part }) => part))].sort();
    return this.#answer(200, { parts: parts.filter((part) => part > after) });
  }

  async #feed(query) {
    const after = Number(query.get('after') ?? 0);
    const waitMs = Math.min(MAXIMUM_WAIT_MS, Number(query.get('wait_ms') ?? 0));
    const find = () =>
      this.#history.filter(
        ({ table, row_version }) => table === query.get('table') && row_version > after,
      );
    const endsAt = performance.now() + waitMs;
    while (find().length === 0 && performance.now() < endsAt)
      await this.#waitForChange(endsAt - performance.now());
    return this.#answer(200, { rows: find() });
  }

  #waitForChange(waitMs) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#waiters.add(finish);
    });
  }
}

function getId({ table, part = '', key }) {
  return JSON.stringify([table, part, key]);
}
