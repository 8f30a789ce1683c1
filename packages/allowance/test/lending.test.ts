import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  Allowances,
  formatTeamResource,
  PermitGroupKind,
  PendingLoans,
  planLoans,
} from '@currantgap/allowance';
import { EnvironmentState } from '@currantgap/environment';
import { createDocument, MANTOJUMA } from '@currantgap/standins';

const GROUP = { kind: PermitGroupKind.Team, name: 'kurzeme' };
const RESOURCE = formatTeamResource('kurzeme');

function createState(): EnvironmentState {
  const snapshot = { sequence: 1, documentHash: 'h', keys: [], dataCentresOut: [], vmsLeaving: [] };
  return new EnvironmentState(
    snapshot,
    createDocument(MANTOJUMA, (vm) => vm),
  );
}

function createLenderAndBorrower(): { lender: Allowances; borrower: Allowances } {
  const state = createState();
  const lender = new Allowances('a', state);
  const borrower = new Allowances('b', state);
  for (const allowances of [lender, borrower]) {
    allowances.configure(state);
    allowances.setMembers(['a', 'b'], true);
  }
  lender.reclaimUnowned([], ['a', 'b']);
  return { lender, borrower };
}

function sendReport(from: Allowances, name: string, to: Allowances, recipient: string): void {
  const sent = from.buildReport(recipient);
  to.receiveReport(name, sent);
  from.recordSent(recipient, sent);
  from.acknowledge(recipient, sent.transfers);
}

describe('loan planning', () => {
  it('moves permits to entries with greater need and keeps their total', () => {
    const loans = planLoans([
      { holder: 'a', held: 10, need: 0 },
      { holder: 'b', held: 0, need: 8 },
    ]);
    assert.deepEqual(loans, [{ from: 'a', to: 'b', count: 9 }]);
  });

  it('plans no loan for a difference of less than one permit', () => {
    const loans = planLoans([
      { holder: 'a', held: 4, need: 3 },
      { holder: 'b', held: 3, need: 3 },
    ]);
    assert.deepEqual(loans, []);
  });
});

describe('a saturated entry', () => {
  it('lends each released permit instead of reusing it', () => {
    const { lender, borrower } = createLenderAndBorrower();
    const { limit } = createState().findTeam('kurzeme') ?? { limit: 0 };
    for (let index = 0; index < limit; index += 1) lender.take(RESOURCE);
    lender.setDemand([{ service: 'velves', team: 'kurzeme', running: limit, waiting: limit }]);
    borrower.setDemand([{ service: 'velves', team: 'kurzeme', running: 0, waiting: 2 * limit }]);
    sendReport(borrower, 'b', lender, 'a');
    lender.lend();
    assert.equal(lender.lendPending().size, 0);
    lender.release(RESOURCE);
    assert.deepEqual([...lender.lendPending()], ['b']);
    sendReport(lender, 'a', borrower, 'b');
    assert.equal(borrower.count(RESOURCE).held, 1);
    assert.equal(lender.canTake(RESOURCE), false);
  });

  it('lends no more than planned', () => {
    const pendingLoans = new PendingLoans();
    let given = 0;
    const give = (_group: unknown, count: number): number => {
      const available = Math.min(1, count);
      given += available;
      return available;
    };
    pendingLoans.set([{ group: GROUP, to: 'b', count: 2 }], give);
    for (let round = 0; round < 5; round += 1) pendingLoans.lendAvailable(give);
    assert.equal(given, 2);
    assert.equal(pendingLoans.countUnreported('b', GROUP), 2);
  });
});

describe('a lowered limit', () => {
  it('allows starts once every member has applied it and none exceeds its permits', () => {
    const { lender, borrower } = createLenderAndBorrower();
    const lowered = createDocument(
      { ...MANTOJUMA, teams: MANTOJUMA.teams.map((team) => ({ ...team, limit: 4 })) },
      (vm) => vm,
    );
    const snapshot = { ...createState().createSnapshot(), sequence: 2 };
    lender.configure(new EnvironmentState(snapshot, lowered));
    sendReport(borrower, 'b', lender, 'a');
    assert.equal(lender.canTake(RESOURCE), false);
    borrower.configure(new EnvironmentState(snapshot, lowered));
    sendReport(borrower, 'b', lender, 'a');
    assert.ok(lender.canTake(RESOURCE));
  });
});
