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
  it('is accepted when it is valid', () => {
    assert.deepEqual(listMessages(VALID), []);
  });

  describe('with invalid content', () => {
    it('reports line and column of a TOML syntax error', () => {
      assert.match(listMessages('pools = [')[0] ?? '', /^env\.toml:1:\d+: /);
    });

    it('suggests the nearest key for an unknown one', () => {
      const messages = listMessages(VALID.replace('limit = 4', 'limt = 4, limit = 4'));
      assert.match(messages[0] ?? '', /teams\[0\]\.limt: unknown key\. Write "limit"/);
    });

    it('suggests the nearest pool for a VM of an unknown pool', () => {
      const messages = listMessages(VALID.replace('pool = "velves", rack', 'pool = "velvs", rack'));
      assert.match(messages[0] ?? '', /vms\[0\]\.pool: unknown pool "velvs"\. Write "velves"/);
    });

    it('reports all faults at once', () => {
      const text = VALID.replace('10.0.0.2', '10.0.0.1').replace(
        'dataCentre = "riga" },\n]',
        'dataCentre = "rig" },\n]',
      );
      assert.equal(listMessages(text).length, 2);
    });

    it('rejects a disruption budget that leaves no VM in service', () => {
      const messages = listMessages(
        VALID.replace('maximumUnavailable = 1', 'maximumUnavailable = 2'),
      );
      assert.match(messages[0] ?? '', /leaves none in service\. Write at most 1/);
    });

    it('rejects a service with open access when the team "open" is missing', () => {
      const messages = listMessages(VALID.replace('access = "team"', 'access = "open"'));
      assert.match(messages[0] ?? '', /needs a team "open"/);
    });
  });
});
