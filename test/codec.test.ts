import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Attempt, ControllerName, FencingToken, JobId } from '../src/core/types.js';
import { revision } from '../src/core/types.js';
import { decodeCloudResponse } from '../src/io/cloud/cloud_codec.js';
import {
  encodeFrame,
  FrameSplitter,
  MAX_FRAME_BYTES,
  PEER_VERSION,
  type PeerFrame,
} from '../src/io/peers/peer_codec.js';
import { decodeStateStoreResponse, encodeStateStoreRequest } from '../src/io/state_store/state_store_codec.js';
import { decodeJobSpec, encodeUserResponse } from '../src/io/users/user_codec.js';
import { decodeCbor, encodeCbor } from '../src/io/wire/cbor.js';
import { WireError } from '../src/io/wire/wire_error.js';
import { decodeHeartbeat, encodeHeartbeatResponse } from '../src/io/workers/worker_codec.js';
import { peerFrames, wireHeartbeat, wireJob } from './support/sample_messages.js';

test('64-bit counts and tokens are preserved in CBOR', () => {
  const maxUint64 = (1n << 64n) - 1n;
  const decoded = decodeHeartbeat(
    decodeCbor(encodeCbor({ ...wireHeartbeat, crest: maxUint64, chirp: (1n << 53n) + 1n })),
  );
  assert.equal(decoded.fencingToken, maxUint64);
  assert.equal(decoded.sequence, (1n << 53n) + 1n);
  const encoded = encodeHeartbeatResponse({ status: 200, fencingToken: maxUint64 as FencingToken, commands: [] });
  assert.equal((decodeCbor(encodeCbor(encoded)) as { crest: bigint }).crest, maxUint64);
});

test('a job and a heartbeat are decoded to typed values, and unknown fields are ignored', () => {
  const spec = decodeJobSpec({ ...wireJob, colour: 'green' });
  assert.equal(spec.kind, 'gang');
  assert.equal(spec.priorityLevel, 2);
  assert.equal(spec.deadlineSeconds, 900);
  assert.deepEqual(spec.allowedMachineTypes, ['g8']);
  const decoded = decodeHeartbeat({ ...wireHeartbeat, mystery: [1, 2] });
  assert.equal(decoded.tasks.length, 2);
  assert.deepEqual([decoded.tasks[0]?.index, decoded.tasks[0]?.attempt, decoded.tasks[1]?.exitReason], [3, 2n, 'done']);
  const { breeds: _, grove: __, due_s: ___, ...without } = wireJob;
  assert.equal(decodeJobSpec(without).allowedMachineTypes, null);
  assert.equal(decodeJobSpec(without).deadlineSeconds, null);
});

test('malformed jobs and heartbeats are rejected', () => {
  const malformedFields: Record<string, unknown>[] = [
    { shape: 'swarm' },
    { shape: 'toString' },
    { cpus: -1 },
    { gpus: Number.POSITIVE_INFINITY },
    { mem_gb: Number.NaN },
    { chicks: 0 },
    { chicks: 100_001 },
    { chicks: 1.5 },
    { ref: 'job-' },
    { ref: '../job-1' },
    { rank: 3 },
    { breeds: [1] },
    { same_place: 'yes' },
    { crew: undefined },
  ];
  for (const wrong of malformedFields)
    assert.throws(() => decodeJobSpec({ ...wireJob, ...wrong }), WireError, JSON.stringify(wrong));
  for (const wrong of [
    { chicks: {} },
    { chicks: [{ chick: 'job-1', hop: 1, mood: 'running' }] },
    { crest: -1 },
    { chirp: 'x' },
  ]) {
    assert.throws(() => decodeHeartbeat({ ...wireHeartbeat, ...wrong }), WireError, JSON.stringify(wrong));
  }
  assert.throws(() => decodeHeartbeat(null), WireError);
});

test('responses use the wire names', () => {
  const id = 'job-000412' as JobId;
  assert.deepEqual(encodeUserResponse({ status: 200, id, jobStatus: 'cancelled', done: 3, running: 0 }), {
    ref: id,
    mood: 'withdrawn',
    done: 3,
    running: 0,
  });
  const stop = { op: 'stop', job: id, index: 1, attempt: 7n as Attempt, gracePeriodSeconds: 10 } as const;
  assert.deepEqual(encodeHeartbeatResponse({ status: 200, fencingToken: 41n as FencingToken, commands: [stop] }), {
    crest: 41n,
    calls: [{ call: 'stop', chick: 'job-000412/1', hop: 7n, settle_s: 10 }],
  });
  assert.deepEqual(encodeHeartbeatResponse({ status: 421, redirectTo: 'perch-2' as ControllerName }), {
    nest: 'perch-2',
  });
});

test('responses of the state store are decoded by their status', () => {
  const get = { op: 'get', key: 'a/b' } as const;
  assert.deepEqual(decodeStateStoreResponse(get, 404, { molt: 431 }), {
    ok: true,
    value: { item: null, revision: revision(431) },
  });
  const found = decodeStateStoreResponse(get, 200, { k: 'a/b', data: { x: 1 }, feather: 412, tether: 7 });
  assert.ok(found.ok && 'item' in found.value && found.value.item?.version === 412n);
  const compareAndSwap = { op: 'compareAndSwap', conditions: [], changes: [] } as const;
  for (const [status, code] of [
    [503, 'unavailable'],
    [400, 'invalidRequest'],
    [500, 'outcomeUnknown'],
  ] as const) {
    assert.deepEqual(decodeStateStoreResponse(compareAndSwap, status, null), { ok: false, error: { code } });
  }
  assert.deepEqual(decodeStateStoreResponse(compareAndSwap, 429, null), { ok: false, error: { code: 'throttled' } });
  assert.deepEqual(decodeStateStoreResponse(compareAndSwap, 409, { failed: ['j/1', 7], molt: 3 }), {
    ok: false,
    error: { code: 'conflict', keys: ['j/1'] },
  });
  assert.deepEqual(decodeStateStoreResponse({ op: 'renew', lease: 7n as never }, 404, null), {
    ok: false,
    error: { code: 'gone' },
  });
  assert.deepEqual(
    encodeStateStoreRequest({ op: 'watch', prefix: 'j/', after: revision(431), waitMs: 100 }).path,
    '/follow?under=j/&after=431&wait_ms=100',
  );
});

test('a cloud without capacity is distinguished from an unavailable cloud', () => {
  const provision = {
    op: 'provision',
    idempotencyKey: 'r-1',
    machineType: 'g8',
    zone: 'a',
    spot: true,
    count: 1,
  } as never;
  assert.deepEqual(decodeCloudResponse(provision, 503, { error: 'no capacity' }), {
    ok: false,
    error: { code: 'noCapacity' },
  });
  assert.deepEqual(decodeCloudResponse(provision, 503, { error: 'trouble' }), {
    ok: false,
    error: { code: 'unavailable' },
  });
});

test('peer frames are decoded as they were encoded, regardless of the chunk size of the stream', () => {
  const stream = Buffer.concat(peerFrames.map(encodeFrame));
  for (const size of [1, 3, 7, 64, stream.length]) {
    const splitter = new FrameSplitter();
    const received: PeerFrame[] = [];
    for (let i = 0; i < stream.length; i += size) received.push(...splitter.push(stream.subarray(i, i + size)));
    assert.deepEqual(received, peerFrames);
  }
});

test('malformed peer frames are rejected, and frames of unknown kinds or versions are skipped without an error', () => {
  const good = encodeFrame(peerFrames[0] as PeerFrame);
  const tooLong = Buffer.from(good);
  tooLong.writeUInt32BE(MAX_FRAME_BYTES + 1, 0);
  const unknownVersion = Buffer.from(good);
  unknownVersion.writeUInt8(PEER_VERSION + 1, 4);
  const unknownKind = Buffer.from(good);
  unknownKind.writeUInt8(99, 5);
  const truncated = Buffer.from(good);
  truncated.writeUInt32BE(5, 6);
  truncated.writeUInt32BE(0xffff, 6);
  for (const frame of [tooLong, truncated]) assert.throws(() => new FrameSplitter().push(frame));
  for (const frame of [unknownVersion, unknownKind]) {
    const splitter = new FrameSplitter();
    assert.deepEqual(splitter.push(Buffer.concat([good, frame, good])), [peerFrames[0], peerFrames[0]]);
    assert.equal(splitter.skipped, 1);
  }
  // Bytes that a later release adds at the end of a payload are ignored.
  const extended = Buffer.concat([good, Buffer.from([1, 2, 3])]);
  extended.writeUInt32BE(extended.length - 4, 0);
  assert.deepEqual(new FrameSplitter().push(extended), [peerFrames[0]]);
});
