import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MAXIMUM_PAUSE_MS } from '@currantgap/ownership';
import { StoreFailure } from '@currantgap/standins';
import { setLogSink } from '@currantgap/telemetry';
import { WatchPause } from '../src/watch-pause.ts';
import { ROUND_TRIP_MS, VirtualFleet, type FleetNode } from './virtual-fleet.ts';
import { VirtualTime } from '@currantgap/standins';

setLogSink(() => undefined);

const time = new VirtualTime();
time.start();

const NODES = 15;
const SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);
const OBSERVED_MS = 20_000;
/** Milliseconds past lease expiry on the store's clock before the lease counts as expired. */
const EXPIRY_MARGIN_MS = 100;
/**
 * Least milliseconds after which a caller who was refused comes back, less those for which the
 * refusal must have been seen before: a version must be seen once in this time.
 */
const SEEN_WITHIN_MS = 2_000 - 800;

type Act = (fleet: VirtualFleet, owner: FleetNode) => Promise<number>;
type Change = (fleet: VirtualFleet) => void;

/** Plays an act with a fleet of one seed. */
async function play(
  act: Act,
  {
    seed = 1,
    isConnected = true,
    nodes = NODES,
  }: Partial<Record<'seed' | 'nodes', number>> & {
    isConnected?: boolean;
  } = {},
): Promise<number> {
  const fleet = new VirtualFleet(time, seed, isConnected);
  const result = await act(fleet, await fleet.open(nodes));
  await fleet.close();
  return result;
}

/** Plays an act with fleets that pause and with ones that never do; returns how much later it was. */
async function compare(act: Act): Promise<number[]> {
  const differences: number[] = [];
  for (const seed of SEEDS) {
    const watching = await play(act, { seed, isConnected: false });
    differences.push((await play(act, { seed })) - watching);
  }
  return differences;
}

/** Counts the polls of one watcher for each renewal. */
async function countPolls(fleet: VirtualFleet): Promise<number> {
  const { watcherPolls, renewals } = fleet;
  await time.run(OBSERVED_MS);
  const polls = (fleet.watcherPolls - watcherPolls) / fleet.watchers.length;
  return polls / (fleet.renewals - renewals);
}

function kill(nodes: readonly FleetNode[]): void {
  for (const { link } of nodes) link.isDead = true;
}

function endPauses({ nodes }: VirtualFleet): void {
  for (const { ownership } of nodes) ownership.endPause();
}

describe('the nodes that are not named as successors', () => {
  it('poll for fewer than half of the renewals', async () => {
    assert.ok((await play(countPolls)) < 0.5);
  });

  it('see the version of the store often enough for callers who were refused', async () => {
    const silenceMs = await play(async (fleet) => {
      await time.run(OBSERVED_MS);
      return Math.max(...fleet.watchers.map(({ link }) => link.longestSilenceMs));
    });
    assert.ok(silenceMs > MAXIMUM_PAUSE_MS / 2);
    assert.ok(silenceMs <= SEEN_WITHIN_MS, `${silenceMs}`);
  });

  const changes: Record<string, Change> = {
    'no connection leads to the owner': (fleet) => {
      fleet.isConnected = false;
    },
    'no successor is named': (fleet) => {
      fleet.successors = [];
    },
    'the owner has not settled': (fleet) => {
      fleet.isSettled = false;
    },
    'the clock of the store is not known': ({ nodes }) => {
      for (const { link } of nodes) link.isClockKnown = false;
    },
  };
  for (const [condition, change] of Object.entries(changes)) {
    it(`poll for every renewal while ${condition}`, async () => {
      const polls = await play(async (fleet) => {
        change(fleet);
        await time.run(2 * MAXIMUM_PAUSE_MS);
        return countPolls(fleet);
      });
      assert.ok(Math.abs(polls - 1) < 0.05, `${polls}`);
    });
  }

  it('poll for every renewal after a call to the store has failed', async () => {
    const polls = await play(async (fleet) => {
      fleet.store.failure = StoreFailure.Down;
      await time.run(MAXIMUM_PAUSE_MS + ROUND_TRIP_MS);
      fleet.store.failure = StoreFailure.None;
      await time.run(2 * MAXIMUM_PAUSE_MS);
      return countPolls(fleet);
    });
    assert.ok(Math.abs(polls - 1) < 0.05, `${polls}`);
  });
});

describe('a take-over while nodes pause', () => {
  it('comes as soon as without pauses when the owner releases the lease', async () => {
    const differences = await compare(async (fleet, owner) => {
      const [first] = fleet.successors;
      void owner.ownership.release();
      const durationMs = await fleet.measureTakeOver(owner);
      assert.equal(fleet.owner?.name, first);
      return durationMs;
    });
    for (const difference of differences) assert.ok(Math.abs(difference) < 1, `${difference}`);
  });

  it('comes as soon as without pauses when the owner was killed', async () => {
    const differences = await compare(async (fleet, owner) => {
      const [first] = fleet.successors;
      kill([owner]);
      const durationMs = await fleet.measureTakeOver(owner);
      assert.equal(fleet.owner?.name, first);
      return durationMs;
    });
    for (const difference of differences) assert.ok(Math.abs(difference) < 1, `${difference}`);
  });

  it('is known to all nodes within a second when the owner was killed without a sign', async () => {
    for (const seed of SEEDS) {
      const durationMs = await play(
        async (fleet, owner) => {
          kill([owner]);
          await fleet.measureTakeOver(owner);
          const takenAt = time.now;
          const others = fleet.nodes.filter((node) => node !== owner);
          await time.run(OBSERVED_MS, () =>
            others.every(({ ownership }) => ownership.lease?.node === fleet.owner?.name),
          );
          return time.now - takenAt;
        },
        { seed },
      );
      assert.ok(durationMs <= ROUND_TRIP_MS, `${durationMs}`);
    }
  });

  it('falls to another node, later by no more than the margin, when the successors died too', async () => {
    const differences = await compare(async (fleet, owner) => {
      kill([owner, ...fleet.named]);
      return fleet.measureTakeOver(owner);
    });
    for (const difference of differences) {
      assert.ok(difference <= EXPIRY_MARGIN_MS, `${difference}`);
    }
  });

  it('falls to another node that learns of the release when the successors died', async () => {
    const differences = await compare(async (fleet, owner) => {
      kill(fleet.named);
      void owner.ownership.release().then(() => {
        endPauses(fleet);
      });
      return fleet.measureTakeOver(owner);
    });
    for (const difference of differences) {
      assert.ok(difference <= 2 * ROUND_TRIP_MS, `${difference}`);
    }
  });

  it('falls to another node after its pause when no news of the release reach it', async () => {
    const differences = await compare(async (fleet, owner) => {
      kill(fleet.named);
      void owner.ownership.release();
      return fleet.measureTakeOver(owner);
    });
    for (const difference of differences) {
      assert.ok(difference <= MAXIMUM_PAUSE_MS + ROUND_TRIP_MS, `${difference}`);
    }
  });

  it('does not happen while the store fails for as long as a pause, nor right after it', async () => {
    for (const seed of SEEDS) {
      const terms = await play(
        async (fleet, owner) => {
          fleet.store.failure = StoreFailure.Down;
          await time.run(fleet.draw() * MAXIMUM_PAUSE_MS);
          fleet.store.failure = StoreFailure.None;
          await time.run(OBSERVED_MS);
          assert.equal(fleet.owner, owner);
          return owner.ownership.term?.epoch ?? 0;
        },
        { seed },
      );
      assert.equal(terms, 1);
    }
  });
});

describe('a pause', () => {
  it('lasts until its deadline, or until it is ended', async () => {
    const pause = new WatchPause();
    let ended = 0;
    const count = (): void => {
      ended += 1;
    };
    void pause.waitUntil(time.now + 500).then(count);
    await time.run(499);
    assert.equal(ended, 0);
    await time.run(1);
    assert.equal(ended, 1);
    void pause.waitUntil(time.now + 500).then(count);
    await time.run(100);
    pause.end();
    await time.run(0);
    assert.equal(ended, 2);
  });

  it('is skipped once if it was ended before it began', async () => {
    const pause = new WatchPause();
    pause.end();
    const { now } = time;
    await pause.waitUntil(now + 500);
    let isOver = false;
    void pause.waitUntil(now + 500).then(() => {
      isOver = true;
    });
    await time.run(499);
    assert.equal(isOver, false);
    await time.run(1);
    assert.ok(isOver);
  });
});
