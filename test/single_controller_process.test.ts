import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { test } from 'node:test';
import { encodeCbor } from '../src/io/wire/cbor.js';
import { exchange } from './support/http.js';
import { allocateAddress, mainModule, repositoryRoot, writeExampleSettings } from './support/processes.js';
import { smallWireJob } from './support/sample_messages.js';

/* Starts the compiled program as a single process. No state store or cloud listens at the addresses in its settings. */

test('a single controller starts, is healthy, and returns 503 while it cannot reach the state store', async (t) => {
  const { port, peerPort } = await allocateAddress('node-a');
  const settings = writeExampleSettings((text) =>
    text.replace('127.0.0.1:18080', `127.0.0.1:${port}`).replace('127.0.0.1:18081', `127.0.0.1:${peerPort}`),
  );
  const child = spawn(process.execPath, [mainModule, '--config', settings], {
    cwd: repositoryRoot,
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  t.after(() => child.kill());
  await new Promise<void>((resolve, reject) => {
    child.stderr.on('data', (part: Buffer) => part.toString().includes('started') && resolve());
    child.on('exit', () => reject(new Error('the controller exited before it logged that it had started')));
  });
  const up = await exchange(port, 'GET', '/up');
  const submitted = await exchange(port, 'POST', '/v2/runs', { body: encodeCbor(smallWireJob) });
  assert.equal(up.status, 200);
  assert.equal(submitted.status, 503);
  assert.equal(submitted.headers['retry-after'], '1');
});
