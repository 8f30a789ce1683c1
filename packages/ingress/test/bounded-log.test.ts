import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { BoundedLog } from '@currantgap/ingress';
import { Logger, setLogSink } from '@currantgap/telemetry';

describe('BoundedLog', () => {
  // Guards against a log that callers with wrong keys fill.
  it('writes 20 lines a second and counts the others', () => {
    const lines: string[] = [];
    setLogSink((line) => lines.push(line));
    let now = 0;
    const log = new BoundedLog(new Logger(), 'request not routed', () => now);
    for (let request = 0; request < 25; request += 1) log.write({});
    assert.equal(lines.length, 20);
    now = 1_000;
    log.write({});
    setLogSink(() => undefined);
    assert.match(lines[20] ?? '', /"omitted":5/);
  });
});
