import { ChangeKind, hashKey } from '@currantgap/environment';
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { FleetWorld } from './world.ts';

Given('a fleet with {int} entries', async function (this: FleetWorld, count: number) {
  await this.startFleet(count);
});

When(
  'team {string} sends {int} requests to {string} at every entry',
  async function (this: FleetWorld, team: string, count: number, service: string) {
    const calls = this.fleet.entries.flatMap((_, entry) =>
      Array.from({ length: count }, async () => this.send(team, service, entry)),
    );
    this.responses = await Promise.all(calls);
  },
);

Then(
  'every response is complete and has the outcome {string}',
  function (this: FleetWorld, outcome: string) {
    assert.ok(this.responses.length > 0);
    for (const response of this.responses) {
      assert.equal(response.outcome, outcome);
      assert.equal((JSON.parse(response.body) as { echo: string }).echo, 'payload');
    }
  },
);

Then('no request ran twice', function (this: FleetWorld) {
  const runs = this.listRuns();
  assert.equal(new Set(runs).size, runs.length);
  assert.equal(runs.length, this.responses.length);
});

When(
  'a request without a key is sent to {string}',
  async function (this: FleetWorld, service: string) {
    this.responses = [await this.send(undefined, service, 0)];
  },
);

Then(
  'it is refused with status {int} and the outcome {string}',
  function (this: FleetWorld, status: number, outcome: string) {
    assert.deepEqual([this.responses[0]?.status, this.responses[0]?.outcome], [status, outcome]);
    assert.deepEqual(this.listRuns(), []);
  },
);

Then('its response has the outcome {string}', function (this: FleetWorld, outcome: string) {
  assert.equal(this.responses[0]?.outcome, outcome);
});

When(
  'the key of team {string} is withdrawn at entry {int}',
  async function (this: FleetWorld, team: string, entry: number) {
    const keyHash = hashKey(this.fleet.keys.get(team) ?? '');
    const sequence = await this.fleet.change({ kind: ChangeKind.WithdrawKey, keyHash }, entry - 1);
    await this.fleet.waitForSequence(sequence);
  },
);

Then(
  'requests of team {string} to {string} are refused with status {int} at every entry',
  async function (this: FleetWorld, team: string, service: string, status: number) {
    const before = this.listRuns().length;
    for (const entry of this.fleet.entries.keys()) {
      const response = await this.send(team, service, entry);
      assert.deepEqual([response.status, response.outcome], [status, 'not-run']);
    }
    assert.equal(this.listRuns().length, before);
  },
);

When(
  'data centre {string} is taken out at entry {int}',
  async function (this: FleetWorld, dataCentre: string, entry: number) {
    const change = { kind: ChangeKind.TakeOutDataCentre, dataCentre } as const;
    const sequence = await this.fleet.change(change, entry - 1);
    await this.fleet.waitForSequence(sequence);
  },
);

Then('nothing ran in data centre {string}', function (this: FleetWorld, dataCentre: string) {
  const vms = this.listVms(dataCentre);
  assert.ok(vms.length > 0);
  assert.deepEqual(this.listRuns(vms), []);
});
