import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LeasePolicy, NORMAL_LEASE_MS } from '../src/lease-policy.ts';

const MAXIMUM_MS = 10_000;

/** Announces and records what the policy asks for, as a lease renewal does. */
function announce(policy: LeasePolicy, now: number): number {
  const announcedMs = policy.computeAnnouncedMs(now);
  policy.recordAnnounced(announcedMs);
  return announcedMs;
}

describe('the leases on targets', () => {
  it('are short while the store is fast', () => {
    const policy = new LeasePolicy(MAXIMUM_MS);
    policy.recordStoreLatency(10, 0);
    announce(policy, 0);
    assert.equal(policy.computeLeaseMs(0), NORMAL_LEASE_MS);
  });

  it('are longer while the store is slow, but not before a successor would know', () => {
    const policy = new LeasePolicy(MAXIMUM_MS);
    policy.recordStoreLatency(300, 0);
    assert.equal(policy.computeLeaseMs(0), NORMAL_LEASE_MS);
    assert.ok(announce(policy, 0) > NORMAL_LEASE_MS);
    assert.ok(policy.computeLeaseMs(1) > NORMAL_LEASE_MS);
  });

  it('stay announced as longer until the last longer one has ended', () => {
    const policy = new LeasePolicy(MAXIMUM_MS);
    policy.extend(1_000);
    const extendedMs = announce(policy, 0);
    assert.equal(policy.computeLeaseMs(999), extendedMs);
    assert.equal(policy.computeLeaseMs(1_000), NORMAL_LEASE_MS);
    assert.equal(announce(policy, 999 + extendedMs - 1), extendedMs);
    assert.equal(announce(policy, 999 + extendedMs), NORMAL_LEASE_MS);
    policy.extend(20_000);
    assert.equal(policy.computeLeaseMs(10_000), NORMAL_LEASE_MS, 'not announced again yet');
  });

  // Guards against TWICE: the second of two quick successors did not know of leases of the first owner.
  it('are announced as long as those of an earlier owner while these may last', () => {
    const policy = new LeasePolicy(MAXIMUM_MS, {
      earlierLeaseMs: 6_000,
      earlierLeasesEndAt: 7_000,
    });
    assert.equal(announce(policy, 0), 6_000);
    assert.equal(policy.computeLeaseMs(0), NORMAL_LEASE_MS);
    assert.equal(announce(policy, 6_999), 6_000);
    assert.equal(announce(policy, 7_000), NORMAL_LEASE_MS);
  });

  it('are never longer than what targets grant', () => {
    const policy = new LeasePolicy(2_000);
    policy.extend(1_000);
    announce(policy, 0);
    assert.equal(policy.computeLeaseMs(0), 2_000);
  });
});
