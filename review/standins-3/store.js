import { listen, readText, sendJson } from './http.js';

/** Rows that one page of a table has at most. */
const PAGE_ROWS = 500;
/** Milliseconds that a call takes. */
const CALL_MS = 4;
const LONGEST_WAIT_MS = 30_000;

/**
 * Stand-in of the platform's store: transactions, pages and change feeds over tables of rows. Keeps its
 * whole history.
 */
export class StandinStore {
  /** Rows by table, part and key; a removed row stays, marked as deleted, for the change feed. */
  #rows = new Map();
  #version = 0;
  #startedAt = performance.now();
  #waiting = new Set();
  #server;
  /**
   * Decides what becomes of a transaction: undefined for the usual, or the milliseconds after which it is
   * performed without an answer.
   */
  delayTransaction = () => undefined;

  /** Starts listening; resolves with the address. */
  async open() {
    const { server, address } = await listen((incoming, response) =>
      this.#handle(incoming, response),
    );
    this.#server = server;
    return address;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row as the operator or an executor. */
  put(table, key, value) {
    this.#perform({ puts: [{ table, part: '', key, value: encode(JSON.stringify(value)) }] });
  }

  /** Removes a row as the operator or an executor. */
  remove(table, key) {
    this.#perform({ remove: [{ table, part: '', key }] });
  }

  /** Reads the JSON value of a row; undefined if there is none. */
  peek(table, part, key) {
    const row = this.#find({ table, part, key });
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  async #handle(incoming, response) {
    const url = new URL(incoming.url, 'http://store');
    const text = await readText(incoming);
    await sleep(CALL_MS);
    if (url.pathname === '/api/rows-tx') this.#handleTransaction(JSON.parse(text), response);
    else if (url.pathname === '/api/rows-get') this.#handleGet(url.searchParams, response);
    else if (url.pathname === '/api/rows-feed') this.#handleFeed(url.searchParams, response);
    else sendJson(response, 404, {});
  }

  #handleTransaction(transaction, response) {
    const delayMs = this.delayTransaction(transaction);
    if (delayMs !== undefined) {
      // The answer is lost; the channel delivers nothing further.
      setTimeout(() => this.#perform(transaction), delayMs).unref();
      return;
    }
    const { status, body } = this.#perform(transaction);
    sendJson(response, status, { ...body, ...this.#describe() });
  }

  #perform({ expected_revision: expected = [], puts = [], remove = [] }) {
    const current = expected.map((key) => this.#find(key));
    const isMet = expected.every(
      (key, index) => (current[index]?.row_version ?? 0) === key.row_version,
    );
    if (!isMet) return { status: 412, body: { rows: current.filter((row) => row !== undefined) } };
    this.#version += 1;
    for (const key of remove) {
      if (this.#find(key) !== undefined) this.#set({ ...toKey(key), value: '', deleted: true });
    }
    for (const { value, ...key } of puts) this.#set({ ...toKey(key), value });
    for (const notify of [...this.#waiting]) notify();
    return { status: 200, body: {} };
  }

  #handleGet(query, response) {
    const [table, part] = [query.get('table'), query.get('part') ?? ''];
    const [from, to] = [query.get('from') ?? '', query.get('target')];
    const limit = Math.min(Number(query.get('limit') ?? PAGE_ROWS), PAGE_ROWS);
    const found = this.#list(table)
      .filter((row) => row.part === part && row.deleted !== true)
      .filter(({ key }) => compare(key, from) >= 0 && (to === null || compare(key, to) < 0))
      .sort((left, right) => compare(left.key, right.key));
    const body = { rows: found.slice(0, limit), has_more: found.length > limit };
    sendJson(response, 200, { ...body, ...this.#describe() });
  }

  #handleFeed(query, response) {
    const [table, after] = [query.get('table'), Number(query.get('after'))];
    const waitMs = Math.min(Number(query.get('wait_ms') ?? 0), LONGEST_WAIT_MS);
    const list = () =>
      this.#list(table)
        .filter((row) => row.row_version > after)
        .sort((left, right) => left.row_version - right.row_version);
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      sendJson(response, 200, { rows: list(), ...this.#describe() });
    };
    const check = () => {
      if (list().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    this.#waiting.add(check);
    check();
  }

  #describe() {
    const nowMs = Math.round(performance.now() - this.#startedAt);
    return { row_version: this.#version, now_ms: nowMs };
  }

  #list(table) {
    return [...this.#rows.values()].filter((row) => row.table === table);
  }

  #find(key) {
    const row = this.#rows.get(JSON.stringify(toKey(key)));
    return row === undefined || row.deleted === true ? undefined : row;
  }

  #set(row) {
    this.#rows.set(JSON.stringify(toKey(row)), { ...row, row_version: this.#version });
  }
}

function toKey({ table, part = '', key }) {
  return { table, part, key };
}

function compare(left, right) {
  return Buffer.compare(Buffer.from(left), Buffer.from(right));
}

function encode(text) {
  return Buffer.from(text, 'utf8').toString('base64');
}

function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
