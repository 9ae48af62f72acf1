import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { describe, type TestContext, test } from 'node:test';
import { HttpCallError, type HttpCallErrorCode, HttpClient } from '../../src/io/http/http_client.js';
import { encodeCbor } from '../../src/io/wire/cbor.js';

const REQUEST = { method: 'GET', path: '/x' } as const;
const TIMEOUT_MS = 5000;
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** A service that writes the raw bytes of its responses, and a client of it. Both are closed after the test. */
class Service {
  readonly sockets: Socket[] = [];
  readonly client: HttpClient;

  private constructor(
    private readonly server: Server,
    sockets: number,
  ) {
    this.client = new HttpClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, sockets);
  }

  /** `respond` is called for each chunk of data that the service receives. */
  static async start(t: TestContext, respond: (socket: Socket) => void, sockets = 1): Promise<Service> {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const service = new Service(server, sockets);
    server.on('connection', (socket) => {
      service.sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', () => respond(socket));
    });
    t.after(() => service.stop());
    return service;
  }

  /** Stops listening, and resolves when the client has closed all its connections. */
  async allClosed(): Promise<void> {
    this.server.close();
    await once(this.server, 'close');
  }

  private stop(): void {
    this.client.close();
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

const head = (status: number, length: number): string => `HTTP/1.1 ${status} X\r\ncontent-length: ${length}\r\n\r\n`;
const responseWith = (body: Uint8Array): Buffer => Buffer.concat([Buffer.from(head(200, body.length)), body]);

const hasErrorCode = (code: HttpCallErrorCode) => (error: unknown) =>
  error instanceof HttpCallError && error.code === code;

describe('an outgoing call ends', () => {
  test('with the response, and the next call reuses the connection', async (t) => {
    const service = await Service.start(t, (socket) => {
      socket.write(service.sockets.length === 1 ? responseWith(encodeCbor({ a: 1n << 60n })) : '');
    });
    const first = await service.client.send(REQUEST, TIMEOUT_MS);
    assert.deepEqual(first, { status: 200, body: { a: 1n << 60n } });
    await service.client.send({ ...REQUEST, method: 'POST', body: { b: 1 } }, TIMEOUT_MS);
    assert.equal(service.sockets.length, 1);
  });

  test('with the response even if the status is an error and the body is empty', async (t) => {
    const service = await Service.start(t, (socket) => socket.write(head(503, 0)));
    assert.deepEqual(await service.client.send(REQUEST, TIMEOUT_MS), { status: 503, body: null });
  });

  test('as connectionFailed if the port has no listener', async () => {
    const client = new HttpClient('127.0.0.1:1', 1);
    await assert.rejects(client.send(REQUEST, TIMEOUT_MS), hasErrorCode('connectionFailed'));
    client.close();
  });

  test('as connectionFailed if the connection ends without a response', async (t) => {
    const service = await Service.start(t, (socket) => socket.end());
    await assert.rejects(service.client.send(REQUEST, TIMEOUT_MS), hasErrorCode('connectionFailed'));
  });

  test('as connectionFailed if the response is not HTTP', async (t) => {
    const service = await Service.start(t, (socket) => socket.end('nonsense\r\n\r\n'));
    await assert.rejects(service.client.send(REQUEST, TIMEOUT_MS), hasErrorCode('connectionFailed'));
    await service.allClosed();
  });

  test('with an HttpCallError if the connection ends in the middle of the body', async (t) => {
    const service = await Service.start(t, (socket) => socket.end(`${head(200, 100)}short`));
    await assert.rejects(service.client.send(REQUEST, TIMEOUT_MS), HttpCallError);
    await service.allClosed();
  });

  test('as connectionFailed if the chunks of the body are malformed', async (t) => {
    const service = await Service.start(t, (socket) =>
      socket.write('HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n'),
    );
    await assert.rejects(service.client.send(REQUEST, TIMEOUT_MS), hasErrorCode('connectionFailed'));
    await service.allClosed();
  });

  test('as unusableBody if the body is not CBOR', async (t) => {
    const service = await Service.start(t, (socket) => socket.write(responseWith(Buffer.from('nonsense'))));
    await assert.rejects(service.client.send(REQUEST, TIMEOUT_MS), hasErrorCode('unusableBody'));
  });

  test('as unusableBody as soon as the body is too long, and the connection is closed', async (t) => {
    const service = await Service.start(t, (socket) => {
      socket.write(head(200, 2 * MAX_RESPONSE_BYTES));
      socket.write(Buffer.alloc(MAX_RESPONSE_BYTES + 1));
    });
    await assert.rejects(service.client.send(REQUEST, TIMEOUT_MS), hasErrorCode('unusableBody'));
    await service.allClosed();
  });

  test('as timedOut if no response arrives in time, and the connection is closed', async (t) => {
    const service = await Service.start(t, () => {});
    await assert.rejects(service.client.send(REQUEST, 50), hasErrorCode('timedOut'));
    await service.allClosed();
  });

  test('as timedOut if the body is not complete in time, and the connection is closed', async (t) => {
    const service = await Service.start(t, (socket) => socket.write(`${head(200, 100)}short`));
    await assert.rejects(service.client.send(REQUEST, 50), hasErrorCode('timedOut'));
    await service.allClosed();
  });

  test('as timedOut if no connection becomes free in time, while the call on the connection continues', async (t) => {
    const service = await Service.start(t, () => {});
    const first = service.client.send(REQUEST, TIMEOUT_MS);
    await assert.rejects(service.client.send(REQUEST, 50), hasErrorCode('timedOut'));
    assert.equal(service.sockets.length, 1);
    service.sockets[0]?.write(head(200, 0));
    assert.equal((await first).status, 200);
  });

  test('as clientClosed if the client is closed, whether the call was sent or waited for a connection', async (t) => {
    const service = await Service.start(t, () => service.client.close());
    const sent = service.client.send(REQUEST, TIMEOUT_MS);
    const waiting = service.client.send(REQUEST, TIMEOUT_MS);
    await Promise.all([
      assert.rejects(sent, hasErrorCode('clientClosed')),
      assert.rejects(waiting, hasErrorCode('clientClosed')),
    ]);
    await service.allClosed();
  });
});

test('closing a client closes its idle connections', async (t) => {
  const service = await Service.start(t, (socket) => socket.write(head(200, 0)));
  await service.client.send(REQUEST, TIMEOUT_MS);
  service.client.close();
  await service.allClosed();
});
