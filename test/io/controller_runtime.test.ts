import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { join } from 'node:path';
import { type TestContext, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { loadPlatform } from '../../src/config/platform.js';
import { loadTuning } from '../../src/config/tuning.js';
import { ALL_OFF } from '../../src/core/features.js';
import type { ControllerName } from '../../src/core/types.js';
import { ControllerRuntime } from '../../src/io/controller_runtime.js';
import type { Log } from '../../src/io/log.js';
import { encodeFrame } from '../../src/io/peers/peer_codec.js';
import { allocatePort } from '../support/processes.js';

const repositoryFile = (path: string): string => fileURLToPath(new URL(join('../../../../', path), import.meta.url));
const PEER = 'node-b' as ControllerName;
const FRAME_KIND_OFFSET = 5;

/**
 * Time limit for connections to be closed, in milliseconds. Open calls to the state store time out after 1.5 s, so
 * connections that end within this limit were ended by `close`.
 */
const CLOSED_WITHIN_MS = 1000;

function unknownFrame(): Buffer {
  const frame = encodeFrame({ kind: 'hello', sender: PEER });
  frame.writeUInt8(99, FRAME_KIND_OFFSET);
  return frame;
}

/** A service that accepts connections and never responds. */
async function unresponsiveService(t: TestContext): Promise<{ server: Server; address: string; sockets: Socket[] }> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => {});
    socket.resume();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets };
}

async function freeAddress(): Promise<string> {
  return `127.0.0.1:${await allocatePort()}`;
}

async function connected(address: string): Promise<Socket> {
  const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
  socket.on('error', () => {});
  await once(socket, 'connect');
  return socket;
}

/** Resolves when the resources that are released in this turn of the event loop have been released. */
const endOfTurn = (): Promise<void> => new Promise((resolve) => setImmediate(() => setImmediate(resolve)));

/** Resolves when a connection has ended, with or without an error. */
const closed = (socket: Socket): Promise<void> => new Promise((resolve) => void socket.once('close', () => resolve()));

test('a closed runtime leaves no listener, connection or timer behind', async (t) => {
  const stateStore = await unresponsiveService(t);
  const peer = await unresponsiveService(t);
  const platform = {
    ...loadPlatform(repositoryFile('test/settings.toml')),
    listenAddress: await freeAddress(),
    peerListenAddress: await freeAddress(),
    peers: [
      { name: PEER, address: peer.address },
      { name: 'node-c' as ControllerName, address: '127.0.0.1:1' },
    ],
    stateStoreAddress: stateStore.address,
  };
  const resources = (): string[] => process.getActiveResourcesInfo().sort();
  await endOfTurn();
  const before = resources();
  const events = new EventEmitter();
  const log: Log = ({ event }) => void events.emit(event);
  const runtime = new ControllerRuntime(platform, loadTuning(repositoryFile('deploy/tuning.toml')), ALL_OFF, log);
  // When `close` is called, a call to the state store is open, the peer is connected, and there are inbound connections
  // from users and from a peer.
  const startEvents = [once(events, 'started'), once(stateStore.server, 'connection'), once(peer.server, 'connection')];
  runtime.start();
  await Promise.all(startEvents);
  const slowUser = await connected(platform.listenAddress);
  slowUser.write('POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n');
  const user = await connected(platform.listenAddress);
  user.write('GET /up HTTP/1.1\r\nhost: x\r\n\r\n');
  await once(user, 'data');
  const inbound = await connected(platform.peerListenAddress);
  inbound.write(unknownFrame());
  await once(events, 'unknown peer frames skipped');
  const closedSockets = [slowUser, user, inbound, ...stateStore.sockets, ...peer.sockets].map(closed);
  runtime.close();
  const deadline = AbortSignal.timeout(CLOSED_WITHIN_MS);
  await Promise.all(closedSockets);
  assert.ok(!deadline.aborted, 'connections ended only when their calls timed out, not when the runtime was closed');
  await endOfTurn();
  assert.deepEqual(resources(), before);
});
