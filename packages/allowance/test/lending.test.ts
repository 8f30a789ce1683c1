import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  Allowances,
  formatTeamResource,
  GroupKind,
  OwedLoans,
  planLoans,
} from '@currantgap/allowance';
import { EnvironmentState } from '@currantgap/environment';
import { createDocument, MANTOJUMA } from '@currantgap/standins';

const GROUP = { kind: GroupKind.Team, name: 'kurzeme' };
const RESOURCE = formatTeamResource('kurzeme');

function createState(): EnvironmentState {
  const snapshot = { sequence: 1, documentHash: 'h', keys: [], dataCentresOut: [], vmsLeaving: [] };
  return new EnvironmentState(
    snapshot,
    createDocument(MANTOJUMA, (vm) => vm),
  );
}

function createPair(): { rich: Allowances; poor: Allowances } {
  const state = createState();
  const rich = new Allowances('a', state);
  const poor = new Allowances('b', state);
  for (const allowances of [rich, poor]) {
    allowances.configure(state);
    allowances.setMembers(['a', 'b'], true);
  }
  rich.settle([], ['a', 'b']);
  return { rich, poor };
}

function report(from: Allowances, name: string, to: Allowances, other: string): void {
  const sent = from.buildReport(other);
  to.receiveReport(name, sent);
  from.recordSent(other, sent);
  from.acknowledge(other, sent.transfers);
}

describe('the plan of loans', () => {
  it('moves permits towards need and keeps their sum', () => {
    const loans = planLoans([
      { holder: 'a', held: 10, need: 0 },
      { holder: 'b', held: 0, need: 8 },
    ]);
    assert.deepEqual(loans, [{ from: 'a', to: 'b', count: 9 }]);
  });

  it('moves nothing for a difference of less than one permit', () => {
    const loans = planLoans([
      { holder: 'a', held: 4, need: 3 },
      { holder: 'b', held: 3, need: 3 },
    ]);
    assert.deepEqual(loans, []);
  });
});

describe('a saturated entry', () => {
  it('lends each permit that falls free instead of using it again', () => {
    const { rich, poor } = createPair();
    const { limit } = createState().findTeam('kurzeme') ?? { limit: 0 };
    for (let index = 0; index < limit; index += 1) rich.take(RESOURCE);
    rich.setDemand([{ service: 'velves', team: 'kurzeme', running: limit, waiting: limit }]);
    poor.setDemand([{ service: 'velves', team: 'kurzeme', running: 0, waiting: 2 * limit }]);
    report(poor, 'b', rich, 'a');
    rich.lend();
    assert.equal(rich.settleLoans().size, 0);
    rich.release(RESOURCE);
    assert.deepEqual([...rich.settleLoans()], ['b']);
    report(rich, 'a', poor, 'b');
    assert.equal(poor.count(RESOURCE).held, 1);
    assert.equal(rich.canTake(RESOURCE), false);
  });

  it('does not owe more than was planned', () => {
    const owed = new OwedLoans();
    let given = 0;
    const give = (_group: unknown, count: number): number => {
      const now = Math.min(1, count);
      given += now;
      return now;
    };
    owed.set([{ group: GROUP, to: 'b', count: 2 }], give);
    for (let turn = 0; turn < 5; turn += 1) owed.settle(give);
    assert.equal(given, 2);
    assert.equal(owed.countGiven('b', GROUP), 2);
  });
});

describe('a lowered limit', () => {
  it('settles once every member has it in force without work beyond its permits', () => {
    const { rich, poor } = createPair();
    const lowered = createDocument(
      { ...MANTOJUMA, teams: MANTOJUMA.teams.map((team) => ({ ...team, limit: 4 })) },
      (vm) => vm,
    );
    const snapshot = { ...createState().createSnapshot(), sequence: 2 };
    rich.configure(new EnvironmentState(snapshot, lowered));
    report(poor, 'b', rich, 'a');
    assert.equal(rich.canTake(RESOURCE), false);
    poor.configure(new EnvironmentState(snapshot, lowered));
    report(poor, 'b', rich, 'a');
    assert.ok(rich.canTake(RESOURCE));
  });
});
