import assert from 'node:assert/strict';
import { before, describe, it } from 'node:test';
import { NodeConfiguration } from '../src/node-configuration.ts';
import { OperatorFeedConsumer } from '../src/operator-feed-consumer.ts';
import {
  HttpClient,
  HttpStore,
  OPERATOR_TABLE,
  type NodeBounds,
} from '@currantgap/platform-adapter';
import type { HttpFault, HttpRequestOptions, HttpResponse } from '@currantgap/platform-adapter';
import { MemoryStore, VirtualTime, waitUntil } from '@currantgap/standins';
import { PageSizer } from '@currantgap/store';
import { Logger, setLogSink } from '@currantgap/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';

setLogSink(() => undefined);

/**
 * Milliseconds after the end of a disruption from which a node must handle requests by the
 * configuration that is acknowledged (`contact_ms` of the deployments).
 */
const CONTACT_MS = 3_000;
/** Milliseconds after which a caller who was answered 503 comes back (`retry-after`). */
const RETRY_AFTER_MS = 1_000;
/** Milliseconds within which a configuration must be in force (`config_apply_ms`). */
const APPLY_MS = 2_000;
const ROW = { table: OPERATOR_TABLE, part: '', key: 'config' };

/** A connection to a store that takes requests and answers none while it is silent. */
class SilenceableClient extends HttpClient {
  readonly store = new MemoryStore();
  isSilent = false;
  /** Milliseconds that a response is on its way. */
  delayMs = 0;

  constructor() {
    super(1);
  }

  override async send(options: HttpRequestOptions): Promise<Result<HttpResponse, HttpFault>> {
    const deadline = performance.now() + options.timeoutMs;
    const body = this.isSilent ? undefined : await this.#answer(options);
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (body !== undefined && !this.isSilent) return ok({ status: 200, body, transferMs: 0 });
    await sleep(deadline - performance.now());
    return err({ message: 'no answer', isUnsent: false });
  }

  /** Writes a configuration as an operator does. */
  async configure(version: number): Promise<void> {
    const value = JSON.stringify({ version, routes: [], services: [], tenants: [] });
    await this.store.commit({ conditions: [], puts: [{ ...ROW, value }], removals: [] });
  }

  async #answer({ path }: HttpRequestOptions): Promise<object> {
    const { pathname, searchParams } = new URL(path, 'http://store');
    const after = Number(searchParams.get('after'));
    const waitMs = Number(searchParams.get('wait_ms'));
    if (pathname === '/api/rows-tx') return { row_version: 0 };
    const page =
      pathname === '/api/rows-get'
        ? await this.store.read({ table: ROW.table, part: ROW.part })
        : await this.store.poll({ table: ROW.table, after, waitMs });
    const { rows, version } = page._unsafeUnwrap();
    return {
      rows: rows.map((row) => ({
        ...row,
        value: Buffer.from(row.value).toString('base64'),
        row_version: row.version,
      })),
      row_version: version,
      now_ms: this.store.now,
    };
  }
}

describe('OperatorFeedConsumer', () => {
  // Guards against nodes that no longer follow the operators after a row that cannot be applied.
  it('goes on past odd rows of another writer', async () => {
    const client = new SilenceableClient();
    const lines: string[] = [];
    setLogSink((line) => {
      if (line.includes('operator row not applied')) lines.push(line);
    });
    const store = new HttpStore(() => 'store:1', client);
    const feed = new OperatorFeedConsumer(store, new PageSizer(1_000), new Logger(), () => {
      // Nothing depends on the change here.
    });
    const put = async (key: string, value: string) =>
      client.store.commit({ conditions: [], puts: [{ ...ROW, key, value }], removals: [] });
    await put('config', '{"version":1e300,"routes":[]}');
    await put('odd', '['.repeat(20_000));
    await put('wave/1', '{"wave":1e400,"machines":["m"]}');
    await put('wave/2', '{"wave":2,"machines":["m"],"duration_s":5,"cap":1}');
    void feed.run();
    await waitUntil(() => [...feed.view.waves].length > 0);
    await client.configure(3);
    await waitUntil(() => feed.routes?.configuration.version === 3);
    feed.stop();
    setLogSink(() => undefined);
    assert.deepEqual(
      [...feed.view.waves].map(({ number }) => number),
      [2],
    );
    assert.equal(lines.length, 1);
  });

  describe('after a store that was silent is back', () => {
    const time = new VirtualTime();

    before(() => {
      time.start();
    });

    // Guards against CONFIG: nodes served by an old configuration until 3.3 s after a silent store was back.
    it('has a configuration in force in time', async () => {
      const latest: string[] = [];
      for (let silentMs = 200; silentMs <= 6_000; silentMs += 200) {
        const client = new SilenceableClient();
        const store = new HttpStore(() => 'store:1', client);
        const feed = new OperatorFeedConsumer(store, new PageSizer(1_000), new Logger(), () => {
          // Nothing depends on the change here.
        });
        await client.configure(1);
        void feed.run();
        await time.run(2_000, () => feed.routes !== undefined);
        client.isSilent = true;
        // Writes of the ingress that the store does not answer either.
        for (let write = 0; write < 8; write += 1) {
          void store.commit({ conditions: [], puts: [], removals: [] });
        }
        await time.run(silentMs);
        await client.configure(2);
        client.isSilent = false;
        const backAt = time.now;
        await time.run(10_000, () => feed.routes?.configuration.version === 2);
        if (time.now - backAt > CONTACT_MS) latest.push(`${silentMs}: ${time.now - backAt}`);
        feed.stop();
        await time.run(10_000);
      }
      assert.deepEqual(
        latest,
        [],
        'milliseconds of silence, and until the configuration is in force',
      );
    });

    // Guards against nodes that answer 503 for as long again as a poll after a silent store is back.
    it('has its configuration confirmed when a caller comes back', async () => {
      const latest: string[] = [];
      for (let silentMs = 3_000; silentMs <= 9_000; silentMs += 200) {
        const client = new SilenceableClient();
        const store = new HttpStore(() => 'store:1', client);
        const feed = new OperatorFeedConsumer(store, new PageSizer(1_000), new Logger(), () => {
          // Nothing depends on the change here.
        });
        const getBounds = () => ({ configurationApplyMs: APPLY_MS }) as NodeBounds;
        const configuration = new NodeConfiguration({ feed, store, getBounds });
        await client.configure(1);
        void feed.run();
        await time.run(2_000, () => feed.routes !== undefined);
        client.isSilent = true;
        await time.run(silentMs);
        client.isSilent = false;
        const backAt = time.now;
        while (configuration.ageMs > APPLY_MS && time.now < backAt + 10_000) {
          configuration.requestRefresh();
          await time.run(100, () => configuration.ageMs <= APPLY_MS);
        }
        if (time.now - backAt > RETRY_AFTER_MS) latest.push(`${silentMs}: ${time.now - backAt}`);
        feed.stop();
        await time.run(10_000);
      }
      assert.deepEqual(
        latest,
        [],
        'milliseconds of silence, and until the age is within the bound',
      );
    });

    it('takes a newer configuration, and no older one, that is read beside the feed', async () => {
      const client = new SilenceableClient();
      const store = new HttpStore(() => 'store:1', client);
      const feed = new OperatorFeedConsumer(store, new PageSizer(1_000), new Logger(), () => {
        // Nothing depends on the change here.
      });
      await client.configure(5);
      void feed.run();
      await time.run(2_000, () => feed.routes !== undefined);
      feed.stop();
      const seen: unknown[] = [];
      for (const version of [6, 4]) {
        await time.run(10_000);
        await client.configure(version);
        const getBounds = () => ({ configurationApplyMs: APPLY_MS }) as NodeBounds;
        new NodeConfiguration({ feed, store, getBounds }).requestRefresh();
        await time.run(100);
        seen.push([feed.routes?.configuration.version, feed.configurationAgeMs < APPLY_MS]);
      }
      assert.deepEqual(seen, [
        [6, true],
        [6, false],
      ]);
    });

    // Guards against a slow response that counts as current when it arrives.
    it('is as old as the request of the read that has confirmed it', async () => {
      const client = new SilenceableClient();
      const store = new HttpStore(() => 'store:1', client);
      const feed = new OperatorFeedConsumer(store, new PageSizer(1_000), new Logger(), () => {
        // Nothing depends on the change here.
      });
      await client.configure(1);
      void feed.run();
      await time.run(2_000, () => feed.routes !== undefined);
      feed.stop();
      await time.run(10_000);
      const getBounds = () => ({ configurationApplyMs: APPLY_MS }) as NodeBounds;
      client.delayMs = 700;
      const reader = new HttpStore(() => 'store:1', client);
      new NodeConfiguration({ feed, store: reader, getBounds }).requestRefresh();
      await time.run(750);
      assert.ok(feed.configurationAgeMs >= 700, `${feed.configurationAgeMs} ms`);
      assert.ok(feed.configurationAgeMs <= APPLY_MS, `${feed.configurationAgeMs} ms`);
    });
  });
});
