import { StoreFaultKind, type Row, type StoreFault, type Transaction } from '@currantgap/store';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readText, sendJson, StandinServer } from '../http-server.ts';
import { MemoryStore } from '../memory-store.ts';

/** Request body of a transaction. */
interface WireTransaction {
  readonly expected_revision?: readonly (WireRow & { readonly row_version: number })[];
  readonly puts?: readonly (WireRow & { readonly value: string })[];
  readonly remove?: readonly WireRow[];
}

interface WireRow {
  readonly table: string;
  readonly part?: string;
  readonly key: string;
}

const STATUS: Readonly<Record<StoreFaultKind, number>> = {
  [StoreFaultKind.Refused]: 503,
  [StoreFaultKind.Conflict]: 412,
  [StoreFaultKind.HistoryGone]: 410,
  [StoreFaultKind.Invalid]: 400,
  [StoreFaultKind.Unknown]: 0,
};

/** HTTP stand-in of the platform's store; an unknown outcome closes the connection. */
export class StoreServer extends StandinServer {
  readonly store = new MemoryStore();

  protected async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const query = url.searchParams;
    const table = query.get('table') ?? '';
    if (url.pathname === '/api/rows-tx') {
      const body = JSON.parse(await readText(request)) as WireTransaction;
      const result = await this.store.commit(decodeTransaction(body));
      result.match(
        (version) => {
          this.#send(response, { row_version: version });
        },
        (fault) => {
          this.#sendFault(response, fault);
        },
      );
    } else if (url.pathname === '/api/rows-get') {
      const result = await this.store.read({
        table,
        part: query.get('part') ?? '',
        from: query.get('from') ?? '',
        limit: Number(query.get('limit') ?? 500),
      });
      result.match(
        ({ rows, hasMore, version }) => {
          const body = { rows: rows.map(encodeRow), has_more: hasMore, row_version: version };
          this.#send(response, body);
        },
        (fault) => {
          this.#sendFault(response, fault);
        },
      );
    } else {
      const after = Number(query.get('after') ?? 0);
      const waitMs = Number(query.get('wait_ms') ?? 0);
      const result = await this.store.poll({ table, after, waitMs });
      result.match(
        ({ rows, version }) => {
          this.#send(response, { rows: rows.map(encodeRow), row_version: version });
        },
        (fault) => {
          this.#sendFault(response, fault);
        },
      );
    }
  }

  #send(response: ServerResponse, body: object): void {
    sendJson(response, 200, { ...body, now_ms: this.store.now });
  }

  #sendFault(response: ServerResponse, fault: StoreFault): void {
    if (fault.kind === StoreFaultKind.Unknown) response.destroy();
    else sendJson(response, STATUS[fault.kind], { rows: fault.rows.map(encodeRow) });
  }
}

function decodeTransaction(body: WireTransaction): Transaction {
  return {
    conditions: (body.expected_revision ?? []).map(({ table, part, key, row_version }) => ({
      table,
      part: part ?? '',
      key,
      version: row_version,
    })),
    puts: (body.puts ?? []).map(({ table, part, key, value }) => ({
      table,
      part: part ?? '',
      key,
      value: Buffer.from(value, 'base64').toString('utf8'),
    })),
    removals: (body.remove ?? []).map(({ table, part, key }) => ({ table, part: part ?? '', key })),
  };
}

function encodeRow(row: Row): object {
  const { table, part, key, version, isDeleted } = row;
  const value = Buffer.from(row.value, 'utf8').toString('base64');
  return { table, part, key, value, row_version: version, ...(isDeleted ? { deleted: true } : {}) };
}
