import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { describe, it } from 'node:test';
import { OwnerLookupFault } from '@currantgap/ingress';
import { JobState } from '@currantgap/model';
import { HttpClient } from '@currantgap/platform-adapter';
import { listenOn } from '@currantgap/tasks';
import { handlePeerCall, OwnerClient, type OwnerView } from '../src/peer.ts';

const VIEW: OwnerView = {
  findState: () => JobState.Pending,
  countWaiting: () => ({ waiting: 3, currentAt: performance.now(), epoch: 1 }),
};

describe('OwnerClient', () => {
  it('reports an owner that does not answer, since another node may be the owner', async () => {
    let owner: OwnerView | undefined = VIEW;
    const server = createServer((request, response) => {
      handlePeerCall(request, response, owner);
    });
    const address = `127.0.0.1:${await listenOn(server, '127.0.0.1', 0)}`;
    const httpClient = new HttpClient(2);
    let reports = 0;
    const client = new OwnerClient(
      httpClient,
      () => ({ local: undefined, address }),
      () => {
        reports += 1;
      },
    );
    try {
      assert.equal(await client.findState('a'), JobState.Pending);
      assert.equal(reports, 0);
      const currentAt = performance.now() - 5_000;
      owner = { ...VIEW, countWaiting: () => ({ waiting: 3, currentAt, epoch: 1 }) };
      const count = await client.countWaiting('rute');
      assert.equal(count?.waiting, 3);
      assert.ok(count.currentAt <= currentAt, 'a count is no younger here than on the owner');
      owner = undefined;
      assert.equal(await client.findState('a'), OwnerLookupFault.Unreachable);
      assert.equal(reports, 1);
      server.close();
      server.closeAllConnections();
      assert.equal(await client.countWaiting('rute'), undefined);
      assert.equal(reports, 2);
    } finally {
      httpClient.close();
      server.close();
      server.closeAllConnections();
    }
  });
});
