import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { decodeTargetEntry } from '@currantgap/platform-adapter';
import { setLogSink } from '@currantgap/telemetry';
import { RegistryReader } from '../src/registry-reader.ts';
import { TermHarness } from './term-harness.ts';

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
