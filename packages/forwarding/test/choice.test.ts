import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseForwarder, sortSuccessors } from '../src/choice.ts';
import type { ForwarderInfo } from '../src/handshake.ts';
import { createTarget } from './harness.ts';

function createInfo(node: string, changes: Partial<ForwarderInfo> = {}): ForwarderInfo {
  return { node, dataCentre: 'riga-a', cores: 1, linkMbps: 100, epoch: 1, clockMs: 0, ...changes };
}

function createForwarders(...infos: ForwarderInfo[]): { info: ForwarderInfo }[] {
  return infos.map((info) => ({ info }));
}

const TARGETS = Array.from({ length: 400 }, (_, index) => createTarget(`t${index}`));

function countByNode(forwarders: readonly { info: ForwarderInfo }[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const target of TARGETS) {
    const node = chooseForwarder(forwarders, target, 'cesis')?.info.node ?? '';
    counts.set(node, (counts.get(node) ?? 0) + 1);
  }
  return counts;
}

describe('the forwarder of a target', () => {
  it('has a share of the targets in proportion to its cores', () => {
    const counts = countByNode(createForwarders(createInfo('a', { cores: 3 }), createInfo('b')));
    assert.ok((counts.get('a') ?? 0) > 270 && (counts.get('a') ?? 0) < 330);
  });

  it('changes only for the targets of a forwarder that has left', () => {
    const all = createForwarders(createInfo('a'), createInfo('b'), createInfo('c'));
    const left = all.slice(0, 2);
    for (const target of TARGETS) {
      const before = chooseForwarder(all, target, 'cesis')?.info.node;
      if (before === 'c') continue;
      assert.equal(chooseForwarder(left, target, 'cesis')?.info.node, before);
    }
  });

  it('is in another data centre only if there is none nearer, the owner included', () => {
    const [far] = createForwarders(createInfo('a', { dataCentre: 'liepaja' }));
    assert.ok(far);
    const target = createTarget('t1', 'cesis');
    assert.equal(chooseForwarder([far], target, 'riga-a'), far);
    assert.equal(chooseForwarder([far], target, 'cesis'), undefined);
    const [near] = createForwarders(createInfo('b', { dataCentre: 'cesis', cores: 0.1 }));
    assert.equal(chooseForwarder([far, near ?? far], target, 'cesis'), near);
  });
});

describe('the successors of an owner', () => {
  it('are the strongest nodes first, and of equal ones those in other data centres', () => {
    const infos = [
      createInfo('weak', { cores: 0.3 }),
      createInfo('near'),
      createInfo('far', { dataCentre: 'cesis' }),
      createInfo('slow', { dataCentre: 'cesis', linkMbps: 10 }),
      createInfo('strong', { cores: 1.35 }),
    ];
    assert.deepEqual(sortSuccessors(infos, 'riga-a'), ['strong', 'far', 'near', 'slow', 'weak']);
  });
});
