import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RangeSet } from '../src/core/jobs/range_set.js';
import * as records from '../src/core/records.js';
import type { ImageName, MachineId, MachineTypeName, WallClockTime, ZoneName } from '../src/core/types.js';
import { encodeFrame, FrameSplitter, type PeerFrame } from '../src/io/peers/peer_codec.js';
import { decodeCbor, encodeCbor } from '../src/io/wire/cbor.js';
import type { Build } from './sim/build.js';
import { oldJobRecord, oldMachineRecord } from './sim/old_names.js';
import { loadOldVersions, oldFrame } from './sim/old_versions.js';
import { jobSpec, peerFrames } from './support/sample_messages.js';

/*
 * Checks that this version and the old versions in test/old_versions.txt write the same keys, records and peer frames,
 * and that each reads what the other has written.
 */

/** Returns a value as the state store returns it, after CBOR encoding and decoding. */
const throughStore = (value: unknown): unknown => decodeCbor(encodeCbor(value));

const VALUE_BYTES = 8192;
const oldVersions = await loadOldVersions();

const jobRecords: records.JobRecord[] = (['accepted', 'done', 'cancelled'] as const).flatMap((state) => [
  {
    spec: jobSpec,
    submittedAt: 1_790_000_000_123 as WallClockTime,
    state,
    startTerm: 0,
    startZone: null,
    startZones: null,
    done: new RangeSet(),
  },
  {
    spec: {
      ...jobSpec,
      kind: 'array',
      taskCount: 100,
      allowedMachineTypes: null,
      zone: 'a' as ZoneName,
      deadlineSeconds: null,
      toleratesSpot: true,
    },
    submittedAt: 1_790_000_000_000 as WallClockTime,
    state,
    startTerm: 7,
    startZone: 'a' as ZoneName,
    startZones: null,
    done: RangeSet.from([
      [0, 3],
      [8, 8],
      [20, 99],
    ]),
  },
]);

const machineRecords: records.MachineRecord[] = [
  {
    id: 'i-000231' as MachineId,
    address: '10.1.0.232:9000',
    type: 'g8' as MachineTypeName,
    zone: 'a' as ZoneName,
    spot: true,
    images: ['img-1', 'img-2'] as ImageName[],
    imagePullSpeed: 0.83,
  },
  {
    id: 'i-000232' as MachineId,
    address: '',
    type: 'c8' as MachineTypeName,
    zone: 'b' as ZoneName,
    spot: false,
    images: [],
    imagePullSpeed: 1,
  },
];

const oldMachines = machineRecords.map(oldMachineRecord);

const comparable = (record: records.JobRecord | null): unknown =>
  record && { ...record, done: record.done.pairs(VALUE_BYTES) };

/** Returns a job record as decoded by a version that doesn't know the field `startZones`. */
function withoutZones(record: records.JobRecord): unknown {
  const { startZones: _, ...known } = oldJobRecord(record);
  return { ...known, done: record.done.pairs(VALUE_BYTES) };
}

/** Returns the frames of the kinds that a version knows. Later kinds are sent only to peers that announced them. */
const framesKnownTo = (build: Build): PeerFrame[] =>
  peerFrames.filter(
    ({ kind }) => build.name !== 'production' || (kind !== 'cancellation' && kind !== 'cancellationAck'),
  );

for (const [name, old] of oldVersions) {
  test(`${name}: keys and job records are encoded identically and read by both versions`, () => {
    assert.equal(old.records.LEADER_KEY, records.LEADER_KEY);
    assert.equal(old.records.TERM_KEY, records.TERM_KEY);
    assert.equal(old.records.jobKey(jobSpec.id), records.jobKey(jobSpec.id));
    assert.equal(old.records.pageKey(3), records.pageKey(3));
    for (const record of jobRecords) {
      const oldValue = throughStore(old.records.encodeJob(oldJobRecord(record), VALUE_BYTES));
      const newValue = throughStore(records.encodeJob(record, VALUE_BYTES));
      assert.deepEqual(newValue, oldValue);
      assert.deepEqual(comparable(records.decodeJob(oldValue)), comparable(record));
      assert.deepEqual(comparable(old.records.decodeJob(newValue)), withoutZones(record));
    }
  });

  test(`${name}: ignores the start zones in a job record, and omits them when it writes the record again`, () => {
    for (const record of jobRecords) {
      const withZones = { ...record, startZones: ['a', 'b'] as ZoneName[] };
      const value = throughStore(records.encodeJob(withZones, VALUE_BYTES));
      assert.deepEqual(comparable(records.decodeJob(value)), comparable(withZones));
      const read = old.records.decodeJob(value);
      assert.deepEqual(comparable(read), withoutZones(record));
      const rewritten = throughStore(old.records.encodeJob(read as records.JobRecord, VALUE_BYTES));
      assert.deepEqual(comparable(records.decodeJob(rewritten)), comparable(record));
    }
  });

  test(`${name}: registry pages are encoded identically and read by both versions`, () => {
    const oldValue = throughStore(old.records.encodePage(oldMachines, 16));
    const newValue = throughStore(records.encodePage(machineRecords, 16));
    assert.deepEqual(newValue, oldValue);
    assert.deepEqual(records.decodePage(oldValue), { machines: machineRecords, complete: true });
    const decoded = old.records.decodePage(newValue) as unknown;
    assert.deepEqual(decoded, old.names === 'names-2' ? { machines: oldMachines, complete: true } : oldMachines);
  });

  test(`${name}: the value of the leader key is read unchanged by both versions`, () => {
    const value = throughStore({ node: 'perch-1', incarnation: '0f3a', lease: '17', term: 4 });
    const expected = { node: 'perch-1', incarnation: '0f3a', lease: '17', term: 4 };
    assert.deepEqual(records.decodeLeader(value), expected);
    assert.deepEqual(old.records.decodeLeader(value), expected);
  });

  test(`${name}: peer frames are encoded to the same bytes and read by both versions`, () => {
    for (const frame of framesKnownTo(old)) {
      const newBytes = encodeFrame(frame);
      const oldBytes = old.encodeFrame(oldFrame(old, frame) as PeerFrame);
      // The production version neither sets nor reads the bit of a status that announces support for later kinds.
      const announces = frame.kind === 'status' && old.name === 'production';
      if (!announces) assert.deepEqual(newBytes, oldBytes, frame.kind);
      assert.deepEqual(new old.splitterClass().push(newBytes), [oldFrame(old, frame)]);
      const expected = announces ? { ...frame, status: { ...frame.status, acknowledgesCancellations: false } } : frame;
      assert.deepEqual(new FrameSplitter().push(oldBytes), [expected]);
    }
  });
}

test('a service that an old leader stored as done is read as accepted, with all of its replicas to run', () => {
  const service = { ...jobSpec, kind: 'service' as const, taskCount: 3 };
  const done = {
    ...(jobRecords[0] as records.JobRecord),
    spec: service,
    state: 'done' as const,
    done: RangeSet.from([[0, 2]]),
  };
  for (const { records: old } of oldVersions.values()) {
    const read = records.decodeJob(throughStore(old.encodeJob(oldJobRecord(done), VALUE_BYTES)));
    assert.equal(read?.state, 'accepted');
    assert.equal(read?.done.count, 0);
    const cancelled = records.decodeJob(
      throughStore(old.encodeJob({ ...oldJobRecord(done), state: 'cancelled' }, VALUE_BYTES)),
    );
    assert.equal(cancelled?.state, 'cancelled');
  }
});
