import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { parseDocument } from '@currantgap/environment';

const VALID = `
dataCentres = [{ name = "riga", region = "latvia" }]
pools = [{ name = "velves", maximumUnavailable = 1 }]
services = [{ name = "velves", pool = "velves", access = "team" }]
teams = [{ name = "kurzeme", share = 1, limit = 4 }]
vms = [
  { name = "a", address = "10.0.0.1:80", pool = "velves", rack = "r1", dataCentre = "riga" },
  { name = "b", address = "10.0.0.2:80", pool = "velves", rack = "r1", dataCentre = "riga" },
]
`;

function listMessages(text: string): string[] {
  const result = parseDocument({ fileName: 'env.toml', text });
  return result.isOk() ? [] : result.error.map((fault) => `${fault.message} ${fault.remedy}`);
}

describe('an environment document', () => {
  it('is accepted when it is complete', () => {
    assert.deepEqual(listMessages(VALID), []);
  });

  describe('with faults', () => {
    it('names line and column of broken TOML', () => {
      assert.match(listMessages('pools = [')[0] ?? '', /^env\.toml:1:\d+: /);
    });

    it('names the nearest key for an unknown one', () => {
      const messages = listMessages(VALID.replace('limit = 4', 'limt = 4, limit = 4'));
      assert.match(messages[0] ?? '', /teams\[0\]\.limt: unknown key\. Write "limit"/);
    });

    it('reports a VM of an unknown pool with the nearest name', () => {
      const messages = listMessages(VALID.replace('pool = "velves", rack', 'pool = "velvs", rack'));
      assert.match(messages[0] ?? '', /vms\[0\]\.pool: unknown pool "velvs"\. Write "velves"/);
    });

    it('reports every fault at once', () => {
      const text = VALID.replace('10.0.0.2', '10.0.0.1').replace(
        'dataCentre = "riga" },\n]',
        'dataCentre = "rig" },\n]',
      );
      assert.equal(listMessages(text).length, 2);
    });

    it('refuses a budget that leaves no VM in service', () => {
      const messages = listMessages(
        VALID.replace('maximumUnavailable = 1', 'maximumUnavailable = 2'),
      );
      assert.match(messages[0] ?? '', /leaves none in service\. Write at most 1/);
    });

    it('refuses a service open to all without a team to count for', () => {
      const messages = listMessages(VALID.replace('access = "team"', 'access = "open"'));
      assert.match(messages[0] ?? '', /needs a team "open"/);
    });
  });
});
