import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { describe, type TestContext, test } from 'node:test';
import type { PeerMessage } from '../../src/core/messages.js';
import type { ControllerName, JobId } from '../../src/core/types.js';
import type { Log } from '../../src/io/log.js';
import { encodeFrame, FrameSplitter, type PeerFrame } from '../../src/io/peers/peer_codec.js';
import { PeerConnections } from '../../src/io/peers/peer_connections.js';

const SELF = 'perch-1' as ControllerName;
const PEER = 'perch-2' as ControllerName;
const UNKNOWN_CONTROLLER = 'perch-9' as ControllerName;
const LARGE_TEXT_BYTES = 100_000;
const MESSAGE: PeerMessage = { kind: 'cancellation', id: 7, job: 'job-1' as JobId };

/**
 * A listener that stands in for a peer. It emits `connected` for each connection and `frame` for each frame received.
 */
class Peer extends EventEmitter {
  readonly sockets: Socket[] = [];
  private readonly server: Server = createServer((socket) => this.accept(socket));
  /** Whether the peer reads no data from its connections. */
  paused = false;

  async listen(port = 0): Promise<number> {
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  private accept(socket: Socket): void {
    const splitter = new FrameSplitter();
    this.sockets.push(socket);
    socket.on('error', () => {});
    if (!this.paused) {
      socket.on('data', (part) => {
        for (const frame of splitter.push(part)) this.emit('frame', frame);
      });
    }
    this.emit('connected');
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

interface Setup {
  readonly connections: PeerConnections;
  readonly peer: Peer;
  /** Emits `message` with the sender and the message, and each log event under its name. */
  readonly events: EventEmitter;
  readonly ownPort: number;
}

async function freePort(): Promise<number> {
  const peer = new Peer();
  const port = await peer.listen();
  peer.close();
  return port;
}

/** Creates the connections of a controller to one peer. Everything is closed after the test. */
function connectionsTo(t: TestContext, peer: Peer, peerPort: number, ownPort: number): Setup {
  const events = new EventEmitter();
  const log: Log = ({ event, fields }) => void events.emit(event, fields);
  const onMessage = (sender: ControllerName, message: PeerMessage): void =>
    void events.emit('message', sender, message);
  const peers = [{ name: PEER, address: `127.0.0.1:${peerPort}` }];
  const connections = new PeerConnections(SELF, peers, onMessage, log);
  t.after(() => {
    connections.close();
    peer.close();
  });
  connections.listen(`127.0.0.1:${ownPort}`);
  return { connections, peer, events, ownPort };
}

async function start(t: TestContext, configure: (peer: Peer) => void = () => {}): Promise<Setup> {
  const peer = new Peer();
  configure(peer);
  const peerPort = await peer.listen();
  return connectionsTo(t, peer, peerPort, await freePort());
}

const nextFrame = async (peer: Peer): Promise<PeerFrame> => ((await once(peer, 'frame')) as [PeerFrame])[0];

/** Resolves when a connection has ended, with or without an error. */
const closed = (socket: Socket): Promise<void> => new Promise((resolve) => void socket.once('close', () => resolve()));

/** Opens a connection to the controller, as the peer does. */
async function connectTo({ ownPort }: Setup, t: TestContext): Promise<Socket> {
  const socket = connect(ownPort, '127.0.0.1');
  socket.on('error', () => {});
  socket.resume();
  t.after(() => socket.destroy());
  await once(socket, 'connect');
  return socket;
}

describe('the connection to a peer', () => {
  test('starts with a hello frame that names the controller, and carries its messages', async (t) => {
    const { peer, connections } = await start(t);
    assert.deepEqual(await nextFrame(peer), { kind: 'hello', sender: SELF });
    connections.send(PEER, MESSAGE);
    assert.deepEqual(await nextFrame(peer), MESSAGE);
  });

  test('is reopened when the peer closes it', async (t) => {
    const { peer } = await start(t);
    await nextFrame(peer);
    peer.sockets[0]?.end();
    assert.deepEqual(await nextFrame(peer), { kind: 'hello', sender: SELF });
    assert.equal(peer.sockets.length, 2);
  });

  test('is opened when the peer starts to listen, and earlier messages are dropped', async (t) => {
    const peerPort = await freePort();
    const peer = new Peer();
    const { connections } = connectionsTo(t, peer, peerPort, await freePort());
    connections.send(PEER, MESSAGE);
    await peer.listen(peerPort);
    assert.deepEqual(await nextFrame(peer), { kind: 'hello', sender: SELF });
    const secondMessage: PeerMessage = { ...MESSAGE, id: 8 };
    connections.send(PEER, secondMessage);
    assert.deepEqual(await nextFrame(peer), secondMessage);
  });

  test('is closed and reopened when the peer reads no data', async (t) => {
    const { peer, connections } = await start(t, (unresponsive) => {
      unresponsive.paused = true;
    });
    await once(peer, 'connected');
    const large: PeerMessage = {
      kind: 'requestResponse',
      id: 1,
      response: { status: 422, problem: 'x'.repeat(LARGE_TEXT_BYTES) },
    };
    const reconnected = once(peer, 'connected');
    const sending = setInterval(() => connections.send(PEER, large), 1);
    await reconnected;
    clearInterval(sending);
    assert.equal(peer.sockets.length, 2);
  });
});

describe('a connection from a peer', () => {
  test('delivers only messages that follow the hello frame', async (t) => {
    const setup = await start(t);
    const socket = await connectTo(setup, t);
    const received = once(setup.events, 'message');
    socket.write(
      Buffer.concat([
        encodeFrame({ ...MESSAGE, id: 1 }),
        encodeFrame({ kind: 'hello', sender: PEER }),
        encodeFrame({ ...MESSAGE, id: 2 }),
      ]),
    );
    assert.deepEqual(await received, [PEER, { ...MESSAGE, id: 2 }]);
  });

  for (const [opener, name] of [
    ['an unknown controller', UNKNOWN_CONTROLLER],
    ['the controller itself', SELF],
  ] as const) {
    test(`is closed when ${opener} opened it`, async (t) => {
      const socket = await connectTo(await start(t), t);
      const end = closed(socket);
      socket.write(encodeFrame({ kind: 'hello', sender: name }));
      await end;
    });
  }

  test('is closed on a malformed frame, and the reason is logged', async (t) => {
    const setup = await start(t);
    const socket = await connectTo(setup, t);
    const end = closed(socket);
    const logged = once(setup.events, 'peer connection dropped');
    socket.write(Buffer.alloc(64, 0xff));
    assert.deepEqual(await logged, [{ peer: null, reason: 'frame length out of bounds' }]);
    await end;
  });
});
