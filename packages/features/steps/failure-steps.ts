import { ChangeKind, hashContent } from '@currantgap/environment';
import { OperatorPath, teamsSchema } from '@currantgap/operator';
import {
  EntryProcess,
  LABEL_HEADER,
  RUN_MS_HEADER,
  TableFailure,
  TargetFailure,
  type CallerResponse,
} from '@currantgap/standins';
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { FleetWorld, SendOptions } from './world.ts';

const MS_PER_SECOND = 1_000;
const FRESHNESS_BOUND_MS = 4_000;
const LONG_RUN_MS = 1_500;
const IDEMPOTENCY_KEY = 'order-1';
const LABEL = 'once';

async function wait(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

function findEnumValue<T extends string>(values: Record<string, T>, text: string): T {
  const position = Object.values<string>(values).indexOf(text);
  const value = Object.values(values)[position];
  assert.ok(value);
  return value;
}

Given(
  'a fleet with {int} entries and a maximum run time of {int} second',
  async function (this: FleetWorld, count: number, seconds: number) {
    await this.startFleet(count, { maximumRunMs: seconds * MS_PER_SECOND });
  },
);

Given(
  'a steady load from team {string} to {string}',
  function (this: FleetWorld, team: string, service: string) {
    this.startLoad(8, async () => this.sendToReady(team, service));
  },
);

When('every entry is stopped gracefully and restarted in turn', async function (this: FleetWorld) {
  for (const entry of this.fleet.entries) {
    assert.equal(await entry.stop(), 0);
    await entry.start();
    await entry.waitUntilReady();
    await this.fleet.waitForMembers(this.fleet.entries.length);
    await this.fleet.waitForPermits();
  }
});

When('the load ends', async function (this: FleetWorld) {
  await this.endLoad();
});

Then(
  'every response is complete or states that the request did not run',
  function (this: FleetWorld) {
    assert.ok(this.responses.length > 0);
    assert.ok(this.responses.some((response) => response.outcome === 'ran'));
    for (const response of this.responses) assert.ok(['ran', 'not-run'].includes(response.outcome));
  },
);

Then('no response is lost', function (this: FleetWorld) {
  assert.equal(this.responses.filter((response) => response.status === 0).length, 0);
  const ran = this.responses.filter((response) => response.outcome === 'ran').length;
  assert.equal(this.listRuns().length, ran);
});

When(
  'team {string} keeps {int} requests of {int} ms to {string} in flight at all entries',
  async function (this: FleetWorld, team: string, count: number, ms: number, service: string) {
    const options = { headers: { [RUN_MS_HEADER]: String(ms) } };
    this.startLoad(count, async (index) =>
      this.send(team, service, index % this.fleet.entries.length, options),
    );
    await wait(FRESHNESS_BOUND_MS);
  },
);

When('entry {int} is killed and restarted', async function (this: FleetWorld, entry: number) {
  const killed = this.fleet.getEntry(entry - 1);
  await killed.kill();
  await killed.start();
  await killed.waitUntilReady();
  await wait(FRESHNESS_BOUND_MS);
});

Then(
  'team {string} never had more than {int} requests running',
  function (this: FleetWorld, team: string, limit: number) {
    assert.ok(this.fleet.log.getPeak(team) <= limit, `peak ${this.fleet.log.getPeak(team)}`);
  },
);

Then(
  'team {string} had at least {int} requests running at some time',
  function (this: FleetWorld, team: string, count: number) {
    assert.ok(this.fleet.log.getPeak(team) >= count, `peak ${this.fleet.log.getPeak(team)}`);
  },
);

When(
  'the table is {string} for {int} seconds',
  async function (this: FleetWorld, failure: string, seconds: number) {
    this.fleet.platform.table.failure = findEnumValue(TableFailure, failure);
    await wait(seconds * MS_PER_SECOND);
  },
);

When(
  'a change is submitted while the table is {string}',
  async function (this: FleetWorld, failure: string) {
    this.fleet.platform.table.failure = findEnumValue(TableFailure, failure);
    this.failure = await this.tryChange({
      kind: ChangeKind.TakeOutDataCentre,
      dataCentre: 'riga',
    });
  },
);

Then('the change is refused and not applied', async function (this: FleetWorld) {
  assert.ok(this.failure);
  const { sequence } = await this.fleet.getStatus(0);
  this.fleet.platform.table.failure = TableFailure.None;
  await wait(FRESHNESS_BOUND_MS);
  assert.equal((await this.fleet.getStatus(0)).sequence, sequence);
});

When(
  'data centre {string} is taken out at entry {int} while responses of the table are lost',
  async function (this: FleetWorld, dataCentre: string, entry: number) {
    const { sequence } = await this.fleet.getStatus(entry - 1);
    this.sequence = sequence + 1;
    this.fleet.platform.table.failure = TableFailure.ResponseLost;
    await this.tryChange({ kind: ChangeKind.TakeOutDataCentre, dataCentre }, entry - 1);
    this.fleet.platform.table.failure = TableFailure.None;
  },
);

Then('the change is applied at every entry', async function (this: FleetWorld) {
  assert.equal(this.failure, undefined);
  await this.fleet.waitForSequence(this.sequence);
  assert.equal((await this.fleet.getStatus(0)).sequence, this.sequence);
});

When(
  'entry {int} is paused with requests of team {string} to {string} in flight',
  function (this: FleetWorld, entry: number, team: string, service: string) {
    this.fleet.getEntry(entry - 1).pause();
    const calls = Array.from({ length: 40 }, async () => this.send(team, service, entry - 1));
    this.pending = calls;
  },
);

When(
  'entry {int} resumes after the freshness bound',
  async function (this: FleetWorld, entry: number) {
    await wait(FRESHNESS_BOUND_MS);
    this.takenOutAt = performance.now();
    this.fleet.getEntry(entry - 1).resume();
    this.responses = await Promise.all(this.pending);
  },
);

Then(
  'nothing ran in data centre {string} after it was taken out',
  function (this: FleetWorld, dataCentre: string) {
    const vms = this.listVms(dataCentre);
    const late = this.fleet.log.runs.filter(
      (run) => vms.includes(run.vm) && run.startedAt >= this.takenOutAt,
    );
    assert.deepEqual(late, []);
    for (const response of this.responses) assert.ok(['ran', 'not-run'].includes(response.outcome));
  },
);

function createKeyedOptions(runMs?: number): SendOptions {
  return {
    headers: {
      'idempotency-key': IDEMPOTENCY_KEY,
      [LABEL_HEADER]: LABEL,
      ...(runMs === undefined ? {} : { [RUN_MS_HEADER]: String(runMs) }),
    },
  };
}

When(
  'a request with an idempotency key is sent to entry {int}',
  async function (this: FleetWorld, entry: number) {
    this.responses = [await this.send('kurzeme', 'velves', entry - 1, createKeyedOptions())];
  },
);

When(
  'a request with an idempotency key is sent to entry {int} and retried at entry {int}',
  async function (this: FleetWorld, first: number, second: number) {
    const responses: CallerResponse[] = [];
    responses.push(await this.send('kurzeme', 'velves', first - 1, createKeyedOptions()));
    assert.equal(responses[0]?.outcome, 'ran');
    await this.fleet.waitUntil(async () => {
      const response = await this.send('kurzeme', 'velves', second - 1, createKeyedOptions());
      responses[1] = response;
      return response.outcome === 'ran';
    });
    this.responses = responses;
  },
);

Then('it ran once and the second response says so', function (this: FleetWorld) {
  assert.equal(this.fleet.log.countLabel(LABEL), 1);
  assert.deepEqual([this.responses[1]?.status, this.responses[1]?.outcome], [409, 'ran']);
});

When(
  'a long request with an idempotency key is sent to entry {int}, which is killed',
  async function (this: FleetWorld, entry: number) {
    const pending = this.send('kurzeme', 'velves', entry - 1, createKeyedOptions(LONG_RUN_MS));
    await this.fleet.waitUntil(async () => Promise.resolve(this.fleet.log.countLabel(LABEL) === 1));
    await this.fleet.getEntry(entry - 1).kill();
    this.responses = [await pending];
  },
);

When('it is retried at entry {int}', async function (this: FleetWorld, entry: number) {
  this.responses.push(
    await this.send('kurzeme', 'velves', entry - 1, createKeyedOptions(LONG_RUN_MS)),
  );
});

Then(
  'it ran once and the second response says that the outcome is unknown',
  function (this: FleetWorld) {
    assert.equal(this.fleet.log.countLabel(LABEL), 1);
    assert.deepEqual([this.responses[1]?.status, this.responses[1]?.outcome], [409, 'unknown']);
  },
);

Given(
  'every target of {string} fails with {string}',
  function (this: FleetWorld, service: string, name: string) {
    const failure = findEnumValue(TargetFailure, name);
    for (const [vm, target] of this.fleet.targets) {
      if (vm.startsWith(`${service}-`)) target.failure = failure;
    }
  },
);

Then(
  'every response has status {int} and the outcome {string}',
  function (this: FleetWorld, status: number, outcome: string) {
    assert.ok(this.responses.length > 0);
    for (const response of this.responses) {
      assert.deepEqual([response.status, response.outcome], [status, outcome]);
    }
  },
);

When('an entry with another peer key starts', async function (this: FleetWorld) {
  const entry = new EntryProcess({
    name: 'entry-9',
    dataCentre: 'riga',
    environment: 'production',
    platform: this.fleet.platform.address,
    directory: mkdtempSync(join(tmpdir(), 'currantgap-')),
    command: this.command,
    peerKey: hashContent('another key'),
  });
  this.fleet.entries.push(entry);
  await entry.start();
  await this.fleet.waitUntil(async () => (await entry.getText('/healthz')) === 'ok');
});

Then('it never joins and the other entries log the refusal', async function (this: FleetWorld) {
  await this.fleet.waitUntil(async () =>
    Promise.resolve(
      readFileSync(this.fleet.getEntry(0).logFile, 'utf8').includes(
        'refused a peer with a wrong key',
      ),
    ),
  );
  assert.equal((await this.fleet.getStatus(0)).members.length, 2);
});

When('entry {int} is killed', async function (this: FleetWorld, entry: number) {
  await this.fleet.getEntry(entry - 1).kill();
});

Then(
  'after the quarantine the other entries hold every permit of team {string}',
  async function (this: FleetWorld, team: string) {
    await this.fleet.waitUntil(async () => {
      const lists = await Promise.all(
        this.fleet.entries
          .filter((entry) => entry.isRunning)
          .map(async (entry) => entry.createClient().get(OperatorPath.Teams, teamsSchema)),
      );
      const teams = lists.map((list) =>
        list._unsafeUnwrap().teams.find((other) => other.name === team),
      );
      const held = teams.reduce((sum, other) => sum + (other?.held ?? 0), 0);
      return held === teams[0]?.limit;
    });
  },
);
