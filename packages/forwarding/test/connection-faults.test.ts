import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { Duplex } from 'node:stream';
import { describe, it } from 'node:test';
import { Logger } from '@currantgap/telemetry';
import { acceptForwarder } from '../src/handshake.ts';

/** A socket that sends nothing and receives what a test pushes. */
class FakeSocket extends Duplex {
  override _read(): void {
    // Data is pushed by the test.
  }

  override _write(_chunk: Buffer, _encoding: string, callback: () => void): void {
    callback();
  }
}

// Guards the process against a peer that resets its connection while it is refused: seen as an exit of a
// node, "Unhandled 'error' event … read ECONNRESET", right after a change of the owner.
describe('a forwarder that is refused', () => {
  it('may reset its connection without harm', async () => {
    const socket = new FakeSocket();
    const request = { headers: {} } as IncomingMessage;
    acceptForwarder({ request, socket, head: Buffer.alloc(0), acceptor: undefined }, new Logger());
    // Without a listener for errors, which `events.once` would add.
    const closed = new Promise((resolve) => socket.on('close', resolve));
    socket.destroy(new Error('read ECONNRESET'));
    await closed;
    assert.ok(socket.destroyed);
  });
});
