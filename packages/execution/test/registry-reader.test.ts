import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { decodeTargetEntry } from '@currantgap/platform-adapter';
import { setLogSink } from '@currantgap/telemetry';
import { RegistryReader } from '../src/registry-reader.ts';
import { LEASE_MS, PREDECESSOR, TermHarness } from './term-harness.ts';

const VALUE = JSON.stringify({
  service: 'kartes',
  address: '10.128.0.9:8080',
  zone: 'riga-a',
  state: 'ready',
  capacity: { cpu: 16_000 },
});

function createRow(key: string, value: string) {
  return { table: 'servers', part: '', key, value, version: 1, isDeleted: false };
}

describe('RegistryReader', () => {
  let lines: string[] = [];

  beforeEach(() => {
    lines = [];
    setLogSink((line) => {
      if (line.includes('registry row not decodable')) lines.push(line);
    });
  });

  // Found by the users, TWICE: a target that has started lately may hold the longest lease.
  it('awaits a target that has started lately for the longest lease, and others for that of the predecessor', () => {
    for (const [ageMs, leaseMs] of [
      [2_000, 10_000 / 0.98],
      [60_000, LEASE_MS],
    ] as const) {
      const { context } = new TermHarness({ predecessor: PREDECESSOR });
      const reader = new RegistryReader(context, { table: 'servers', decode: decodeTargetEntry });
      const value = JSON.stringify({ ...JSON.parse(VALUE), born: Date.now() - ageMs });
      reader.apply([createRow('t1', value)], true);
      const { reconciliation } = context;
      const expectedAt = reconciliation.predecessorDeposedAt + leaseMs;
      assert.equal(reconciliation.listPending(expectedAt - 1).length, 1);
      assert.equal(reconciliation.listPending(expectedAt).length, 0);
      assert.equal(context.fleet.find('t1')?.leasesExpireAt, expectedAt);
    }
  });

  // Guards against an owner that stops following the registry at a row of another writer.
  it('goes on past rows that it cannot decode, with a line for each', () => {
    const { context } = new TermHarness();
    const reader = new RegistryReader(context, {
      table: 'servers',
      decode: (id, value) => {
        if (value === 'throw') throw new RangeError('too deep');
        return decodeTargetEntry(id, value);
      },
    });
    const rows = [
      createRow('i-a', VALUE),
      createRow('i-b', VALUE.replace('8080', '99999')),
      createRow('i-c', 'throw'),
      createRow('i-d', VALUE),
    ];
    reader.apply(rows, true);
    reader.apply(rows, false);
    const registered = [...context.fleet.targets].filter(({ isRegistered }) => isRegistered);
    assert.deepEqual(
      registered.map(({ id }) => id),
      ['i-a', 'i-d'],
    );
    assert.equal(lines.length, 2, 'an entry that stays odd is told once');
    assert.match(lines[1] ?? '', /too deep/);
  });

  it('gives up a target whose entry became odd, and takes it back', () => {
    const { context } = new TermHarness();
    const reader = new RegistryReader(context, { table: 'servers', decode: decodeTargetEntry });
    const isRegistered = () => context.fleet.find('i-a')?.isRegistered === true;
    const seen = [VALUE, 'odd', VALUE, 'odd'].map((value) => {
      reader.apply([createRow('i-a', value)], false);
      return isRegistered();
    });
    assert.deepEqual(seen, [true, false, true, false]);
    assert.equal(lines.length, 2);
  });
});
