import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  findUnownedPermits,
  formatTeamResource,
  PermitLedger,
  type PermitTransfer,
} from '@currantgap/allowance';

const RESOURCE = formatTeamResource('kurzeme');
const LIMIT = 4;
const NAMES = ['a', 'b', 'c'] as const;

function createLedgers(): Map<string, PermitLedger> {
  const ledgers = new Map(NAMES.map((name) => [name, new PermitLedger(name)]));
  for (const ledger of ledgers.values()) ledger.setLimit(RESOURCE, LIMIT, 1);
  reclaim(ledgers, 'a', [...NAMES]);
  return ledgers;
}

function get(ledgers: Map<string, PermitLedger>, name: string): PermitLedger {
  const ledger = ledgers.get(name);
  assert.ok(ledger);
  return ledger;
}

function reclaim(ledgers: Map<string, PermitLedger>, reclaimer: string, members: string[]): void {
  const records = members.flatMap((name) => get(ledgers, name).listRecords());
  const limits = new Map([[RESOURCE, LIMIT]]);
  get(ledgers, reclaimer).receive(
    findUnownedPermits({ members: new Set(members), records, limits }),
  );
}

function countHeld(ledgers: Map<string, PermitLedger>, members: readonly string[] = NAMES): number {
  return members.reduce((sum, name) => sum + get(ledgers, name).count(RESOURCE).held, 0);
}

describe('a permit ledger', () => {
  it('assigns all permits to the entry that reclaims first', () => {
    const ledgers = createLedgers();
    assert.equal(get(ledgers, 'a').count(RESOURCE).held, LIMIT);
    assert.equal(countHeld(ledgers), LIMIT);
  });

  it('gives only free permits', () => {
    const ledgers = createLedgers();
    const ledger = get(ledgers, 'a');
    for (let index = 0; index < LIMIT - 1; index += 1) assert.ok(ledger.take(RESOURCE));
    assert.equal(ledger.give(RESOURCE, LIMIT, 'b').length, 1);
    assert.equal(ledger.take(RESOURCE), false);
  });

  it('keeps a transfer until it is acknowledged', () => {
    const ledgers = createLedgers();
    const given = get(ledgers, 'a').give(RESOURCE, 2, 'b');
    assert.equal(get(ledgers, 'a').listOutgoing('b').length, 2);
    get(ledgers, 'a').acknowledge('b', given);
    assert.ok(get(ledgers, 'a').isDrained());
  });

  describe('after a limit was lowered', () => {
    it('refuses permits until the limit reduction is finished', () => {
      const ledger = get(createLedgers(), 'a');
      ledger.setLimit(RESOURCE, 2, 2);
      assert.equal(ledger.take(RESOURCE), false);
      ledger.finishLimitReduction(RESOURCE);
      assert.ok(ledger.take(RESOURCE));
    });

    it('reports running work in excess of its permits', () => {
      const ledger = get(createLedgers(), 'a');
      for (let index = 0; index < LIMIT; index += 1) ledger.take(RESOURCE);
      ledger.setLimit(RESOURCE, 1, 2);
      assert.deepEqual(ledger.listExcessUsage(), [{ resource: RESOURCE, count: LIMIT - 1 }]);
    });

    it('makes the same permits usable again when the limit is raised', () => {
      const ledger = get(createLedgers(), 'a');
      ledger.setLimit(RESOURCE, 1, 2);
      ledger.setLimit(RESOURCE, LIMIT, 3);
      assert.equal(ledger.count(RESOURCE).held, LIMIT);
    });
  });

  describe('when an owner is lost', () => {
    it('reclaims its permits, including those in transfer to it', () => {
      const ledgers = createLedgers();
      get(ledgers, 'b').receive(get(ledgers, 'a').give(RESOURCE, 2, 'b'));
      get(ledgers, 'a').give(RESOURCE, 1, 'b');
      reclaim(ledgers, 'a', ['a', 'c']);
      assert.equal(countHeld(ledgers, ['a', 'c']), LIMIT);
    });

    it('does not reclaim a permit in transfer between members', () => {
      const ledgers = createLedgers();
      const given = get(ledgers, 'a').give(RESOURCE, 1, 'c');
      reclaim(ledgers, 'a', ['a', 'c']);
      get(ledgers, 'c').receive(given);
      assert.equal(countHeld(ledgers, ['a', 'c']), LIMIT);
    });
  });

  it('never duplicates a permit when transfers are lost, repeated or reordered', () => {
    const command = fc.record({
      kind: fc.constantFrom('give', 'deliver', 'take', 'release', 'settle'),
      from: fc.constantFrom(...NAMES),
      to: fc.constantFrom(...NAMES),
      pick: fc.nat(),
    });
    fc.assert(
      fc.property(fc.array(command, { maxLength: 60 }), (commands) => {
        const ledgers = createLedgers();
        const sent: { to: string; transfer: PermitTransfer }[] = [];
        for (const { kind, from, to, pick } of commands) {
          const ledger = get(ledgers, from);
          if (kind === 'give' && from !== to) {
            const given = ledger.give(RESOURCE, 1 + (pick % 2), to);
            sent.push(...given.map((transfer) => ({ to, transfer })));
          } else if (kind === 'deliver' && sent.length > 0) {
            const message = sent[pick % sent.length];
            if (message) get(ledgers, message.to).receive([message.transfer]);
          } else if (kind === 'take') {
            ledger.take(RESOURCE);
          } else if (kind === 'release' && ledger.count(RESOURCE).running > 0) {
            ledger.release(RESOURCE);
          } else if (kind === 'settle') {
            reclaim(ledgers, from, [...NAMES]);
          }
          assert.ok(countHeld(ledgers) <= LIMIT);
          const running = NAMES.reduce(
            (sum, name) => sum + get(ledgers, name).count(RESOURCE).running,
            0,
          );
          assert.ok(running <= LIMIT);
        }
      }),
      { seed: 20261204, numRuns: 2000 },
    );
  });
});
