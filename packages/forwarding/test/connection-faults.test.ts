import assert from 'node:assert/strict';
import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { describe, it } from 'node:test';
import { Logger } from '@currantgap/telemetry';
import { acceptForwarder } from '../src/handshake.ts';
import { LineChannel } from '../src/line-channel.ts';

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
    const request = new IncomingMessage(new Socket());
    acceptForwarder({ request, socket, head: Buffer.alloc(0), acceptor: undefined }, new Logger());
    // Without a listener for errors, which `events.once` would add.
    const closed = new Promise((resolve) => socket.on('close', resolve));
    socket.destroy(new Error('read ECONNRESET'));
    await closed;
    assert.ok(socket.destroyed);
  });
});

// Guards the process against a peer whose first bytes are malformed: seen as an exit of a node, "Cannot
// access 'channel' before initialization".
describe('a channel that received bytes before it was created', () => {
  function open(head: string): { channel: LineChannel; events: string[] } {
    const events: string[] = [];
    const channel: LineChannel = new LineChannel({
      socket: new FakeSocket(),
      head: Buffer.from(head),
      onValue: (value) => events.push(`value ${JSON.stringify(value)} ${channel.isClosed}`),
      onClosed: (reason) => events.push(`closed ${channel.isClosed}: ${reason}`),
    });
    return { channel, events };
  }

  it('delivers them once its creator knows the channel', async () => {
    const { events } = open('{"a":1}\n');
    assert.deepEqual(events, []);
    await new Promise((resolve) => setImmediate(resolve));
    assert.deepEqual(events, ['value {"a":1} false']);
  });

  it('closes after a malformed line', async () => {
    const { channel, events } = open('no JSON\n');
    await new Promise((resolve) => setImmediate(resolve));
    assert.ok(channel.isClosed);
    assert.match(events.join(), /^closed true: a line was malformed/);
  });
});
