import { ProxyFailure } from '@currantgap/standins';
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { getState } from './platform-steps.ts';

const POLL_MS = 100;

function setFailure(failure: ProxyFailure): void {
  const [proxy] = getState().proxies;
  assert.ok(proxy, 'the first node reaches the store by a proxy');
  proxy.failure = failure;
}

When('the first node is cut off from the store', () => {
  setFailure(ProxyFailure.Partition);
});

When('the first node reaches the store again', () => {
  setFailure(ProxyFailure.None);
});

Then('the first node is not ready and the others are', async () => {
  const { deployment } = getState();
  const [first, ...others] = deployment.nodes;
  assert.ok(first);
  while (await deployment.isReady(first)) await sleep(POLL_MS);
  for (const node of others) assert.equal(await deployment.isReady(node), true);
});
