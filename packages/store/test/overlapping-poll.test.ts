import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemoryStore } from '@currantgap/standins';
import type { FeedPage, FeedQuery, StoreFault } from '@currantgap/store';
import type { Result } from 'neverthrow';
import { pollOverlapping } from '../src/overlapping-poll.ts';

const WAIT_MS = 1_500;
/** Milliseconds from a poll to the one that is sent beside it. */
const REPLACED_MS = 2_000;

/** A store to which the connection of the first poll has fallen silent. */
class SilentStore extends MemoryStore {
  readonly polls: FeedQuery[] = [];

  override async poll(query: FeedQuery): Promise<Result<FeedPage, StoreFault>> {
    this.polls.push(query);
    return this.polls.length === 1 ? new Promise(() => undefined) : super.poll(query);
  }
}

// The days "severed" and "unanswered": a feed on a connection that carries nothing more, without a reset.
// What is stored meanwhile is known once the poll is replaced, on a connection that is not silent.
describe('a poll whose connection falls silent for good', () => {
  it('is replaced after two seconds by one that avoids connections silent since', async (context) => {
    context.mock.timers.enable({ apis: ['setTimeout'] });
    const store = new SilentStore();
    const row = { table: 'intake', part: 'jobs-0', key: 'a', value: '1' };
    store.load([row]);
    const page = pollOverlapping(store, { table: 'intake', after: 0, waitMs: WAIT_MS });
    context.mock.timers.tick(REPLACED_MS - 1);
    assert.equal(store.polls.length, 1);
    context.mock.timers.tick(1);
    assert.equal(store.polls.length, 2);
    assert.ok((store.polls[1]?.silentSince ?? 0) > 0);
    context.mock.timers.reset();
    assert.deepEqual(
      (await page)._unsafeUnwrap().rows.map(({ key }) => key),
      ['a'],
    );
  });
});
