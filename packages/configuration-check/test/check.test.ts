import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Configuration, Route } from '@currantgap/model';
import { checkConfiguration, compareConfigurations, Severity } from '../src/index.ts';

const ROUTE: Route = {
  name: 'checks',
  host: 'host.example',
  pathPrefix: '/checks/',
  service: 'kartes',
  priority: 0,
  maxAttempts: 2,
  stretch: 1.6,
  latencyObjectiveMs: 600,
  isPublic: false,
  advice: undefined,
};

const NO_CAP = { cpuMillis: 0, memoryMb: 0, gpus: 0 };
const TEAM = { name: 'kurzeme', keys: ['k1'], weight: 10, cap: NO_CAP };

const VALID: Configuration = {
  version: 1,
  routes: [ROUTE],
  services: [
    { name: 'kartes', isCapacityEnforced: true, isSpare: false },
    { name: 'palig', isCapacityEnforced: true, isSpare: true },
  ],
  teams: [TEAM],
  limits: { headerBytes: 1_000, bodyBytes: 10_000, headerTimeoutMs: 10, idleTimeoutMs: 20 },
};

function check(changes: Partial<Configuration>): string[] {
  return checkConfiguration({ ...VALID, ...changes }).map(
    ({ severity, section, name }) => `${severity} ${section} ${name}`,
  );
}

function checkRoute(changes: Partial<Route>): string[] {
  return check({ routes: [ROUTE, { ...ROUTE, name: 'r2', pathPrefix: '/r2/', ...changes }] });
}

describe('the check of a configuration', () => {
  it('finds nothing in a valid one', () => {
    assert.deepEqual(check({}), []);
  });

  describe('of routes', () => {
    it('finds routes that lead nowhere or never match', () => {
      assert.deepEqual(checkRoute({ service: 'velves' }), ['error routes r2']);
      assert.deepEqual(checkRoute({ service: 'palig' }), ['error routes r2']);
      assert.deepEqual(checkRoute({ pathPrefix: 'r2/' }), ['error routes r2']);
      assert.deepEqual(checkRoute({ host: 'a/b' }), ['error routes r2']);
      assert.deepEqual(checkRoute({ name: 'checks' }), ['error routes checks']);
    });

    it('tells a prefix that stands twice from one that takes a part of another', () => {
      assert.deepEqual(checkRoute({ pathPrefix: '/checks/' }), ['error routes r2']);
      assert.deepEqual(checkRoute({ pathPrefix: '/checks/a' }), ['warning routes checks']);
    });

    it('finds limits under which nothing can run', () => {
      assert.deepEqual(checkRoute({ stretch: 0, maxAttempts: 0 }).length, 2);
      const advice = { decideMs: 500, eachMs: 10, validMs: 400 };
      assert.deepEqual(checkRoute({ advice }), ['error routes r2']);
    });
  });

  describe('of teams', () => {
    it('finds weights of 0, keys of two teams and negative caps', () => {
      const other = { ...TEAM, name: 'vidzeme', keys: ['k2'] };
      const checkTeam = (changes: object) => check({ teams: [TEAM, { ...other, ...changes }] });
      assert.deepEqual(checkTeam({}), []);
      assert.deepEqual(checkTeam({ weight: 0 }), ['error teams vidzeme']);
      assert.deepEqual(checkTeam({ keys: ['k1'] }), ['error teams vidzeme']);
      assert.deepEqual(checkTeam({ cap: { ...NO_CAP, gpus: -1 } }), ['error teams vidzeme']);
      assert.deepEqual(checkTeam({ keys: [] }), ['warning teams vidzeme']);
    });

    it('finds that nobody has a key', () => {
      const teams = [{ ...TEAM, keys: [] }];
      assert.deepEqual(check({ teams }), ['error routes checks', 'warning teams kurzeme']);
    });
  });

  it('finds pools without routes, further spare pools and limits that contradict each other', () => {
    const spare = { name: 'p2', isCapacityEnforced: true, isSpare: true };
    const unused = { ...spare, name: 'lauks', isSpare: false };
    const services = [...VALID.services, spare, unused];
    assert.deepEqual(check({ services }), ['warning services lauks', 'warning services p2']);
    const limits = { ...VALID.limits, bodyBytes: 100, idleTimeoutMs: 1 };
    const severities = checkConfiguration({ ...VALID, limits }).map(({ severity }) => severity);
    assert.deepEqual(severities, [Severity.Error, Severity.Warning]);
  });
});

describe('the comparison of two configurations', () => {
  it('names added, removed and changed entries, and never prints a key', () => {
    const after: Configuration = {
      ...VALID,
      routes: [{ ...ROUTE, stretch: 2 }],
      services: VALID.services.slice(0, 1),
      teams: [
        { ...TEAM, keys: ['k3', 'k4'] },
        { ...TEAM, name: 'latgale' },
      ],
    };
    const changes = compareConfigurations(VALID, after);
    assert.deepEqual(
      changes.map(({ kind, name, fields }) => [kind, name, ...fields].join(' ')),
      [
        'changed checks stretch: 1.6 -> 2',
        'removed palig',
        'added latgale',
        'changed kurzeme keys: 2 granted, 1 withdrawn',
      ],
    );
  });
});
