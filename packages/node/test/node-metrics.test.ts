import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { HttpClient, HttpStore } from '@currantgap/platform-adapter';
import { PageSizer } from '@currantgap/store';
import { Logger, setLogSink } from '@currantgap/telemetry';
import { setTimeout as sleep } from 'node:timers/promises';
import { NodeMetrics } from '../src/node-metrics.ts';
import { OperatorFeedConsumer } from '../src/operator-feed-consumer.ts';

setLogSink(() => undefined);

// Guards against gauges that say 0 s of knowledge that a node does not have, so that no alert fires.
describe('the gauges of how old knowledge is', () => {
  it('tell a node that has never heard the operators from one that just has', async () => {
    const store = new HttpStore(() => 'store:1', new HttpClient(1));
    const feed = new OperatorFeedConsumer(store, new PageSizer(1_000), new Logger(), () => {
      // Nothing depends on the change here.
    });
    const metrics = new NodeMetrics();
    metrics.registerConfiguration(() => feed);
    await sleep(10);
    const text = await metrics.registry.metrics();
    const line = /^currantgap_operator_feed_age_seconds (.*)$/m.exec(text);
    assert.ok(Number(line?.[1]) >= 0.005, text);
  });

  it('tell nothing of submissions on a node that does not own the fleet', async () => {
    const metrics = new NodeMetrics();
    metrics.registerOwner(() => undefined);
    const text = await metrics.registry.metrics();
    assert.doesNotMatch(text, /^currantgap_intake_feed_age_seconds /m);
  });
});
