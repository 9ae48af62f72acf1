/** Golden tests of the records and keys in the state store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../../src/core/records.js';
import type { JobId, ZoneName } from '../../src/core/types.js';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';
import { cborWithText, GoldenFile, type GoldenValue, hex, unhex } from './golden_file.js';
import { electionCalls } from './leader_records.js';
import { gangSpec, jobRecords, machineRecords, scatteredRecord } from './samples.js';

const VALUE_BYTES = 8192;
const MAX_IMAGES = 16;

const bytesOf = (entry: GoldenValue): Buffer => unhex((entry as { cbor: string }).cbor);
const comparable = (record: records.JobRecord | null): unknown => record && { ...record, done: record.done.pairs() };
const reencodeJob = (value: unknown, valueBytes = VALUE_BYTES): Buffer => {
  const record = records.decodeJob(value);
  assert.ok(record);
  return encodeCbor(records.encodeJob(record, valueBytes));
};

/** A job description as other releases may have stored it, under its stored field names. */
const storedSpec = {
  id: 'job-5',
  tasks: 9,
  types: ['c8'],
  jobClass: 'ab',
  team: 'cd',
  shape: 'array',
  rank: 1,
  cpus: 2,
  gpus: 3,
  memGb: 4,
  image: 'ef',
  imageGb: 5,
  zone: 'gh',
  sameZone: false,
  spread: true,
  spotOk: true,
  estimateS: 6,
  checkpointS: 7,
  saveS: 8,
  deadlineS: null,
};
const storedJob = { v: 1, spec: storedSpec, at: 17, state: 'accepted', term: 3, zone: 'gh', done: [[0, 4]] };
const { spotOk: _, deadlineS: __, ...storedSpecWithoutFields } = storedSpec;

/** Records that this release does not write itself. It must preserve the whole description when it writes them back. */
const otherReleaseJobs: Readonly<Record<string, unknown>> = {
  'as written here': storedJob,
  'fields added to the description': {
    ...storedJob,
    spec: { added: [1, { two: 'three' }], ...storedSpec, colour: 'green', 7: 'seven', 'stored:x': null },
  },
  'fields added to the record': { ...storedJob, mood: 'good' },
  'fields missing from the description': { ...storedJob, spec: storedSpecWithoutFields },
  'an empty description': { ...storedJob, spec: {} },
  'zones that are no list': { ...storedJob, zones: 'gh' },
  'zones that are no names': { ...storedJob, zones: ['gh', 7] },
  'no zone and no zones': { v: 1, spec: storedSpec, at: 17, state: 'accepted', term: 0, done: [] },
  'a service as done': { ...storedJob, state: 'done', spec: { ...storedSpec, shape: 'service' } },
  'a service with results': { ...storedJob, spec: { ...storedSpec, shape: 'service' } },
  'a shape of a later release': { ...storedJob, spec: { ...storedSpec, shape: 'swarm', rank: 9 } },
  'a description of wrong types': { ...storedJob, spec: { ...storedSpec, tasks: 'many', zone: 7 } },
};

const invalidJobs: readonly unknown[] = [
  null,
  undefined,
  7,
  'text',
  [],
  {},
  { ...storedJob, v: 2 },
  { ...storedJob, v: undefined },
  { ...storedJob, spec: null },
  { ...storedJob, spec: [] },
  { ...storedJob, done: {} },
  { ...storedJob, state: 'lost' },
];

function jobTests(golden: GoldenFile): void {
  test('golden: job records are encoded as before and can be decoded', () => {
    for (const [name, record] of Object.entries(jobRecords)) {
      const entry = cborWithText(encodeCbor(records.encodeJob(record, VALUE_BYTES)));
      golden.check(`job: ${name}`, entry);
      const value = decodeCbor(bytesOf(entry));
      assert.deepEqual(comparable(records.decodeJob(value)), comparable(record), name);
      assert.deepEqual(reencodeJob(value), bytesOf(entry), name);
    }
  });

  test('golden: a record that cannot hold all results holds as many as before', () => {
    for (let bytes = 400; bytes <= 8192; bytes += bytes < 900 ? 25 : 900) {
      const value = records.encodeJob(scatteredRecord, bytes);
      golden.check(`job in ${bytes} bytes`, [value.done.length, JSON.stringify(value).length, hex(encodeCbor(value))]);
    }
    const started = { ...scatteredRecord, startZone: null };
    const zones = ['zone-1', 'zone-2'] as ZoneName[];
    let least = 0;
    while (!records.fitsWithStartZones(started, zones, least)) least += 1;
    golden.check('least bytes of a value with two zones', least);
  });

  test('golden: records of other releases are decoded and encoded again as before', () => {
    for (const [name, value] of Object.entries(otherReleaseJobs)) {
      golden.check(`job of another release: ${name}`, cborWithText(reencodeJob(decodeCbor(encodeCbor(value)))));
    }
    for (const value of invalidJobs) assert.equal(records.decodeJob(value), null);
  });
}

const otherReleasePages: Readonly<Record<string, unknown>> = {
  'as written here': { v: 2, machines: [['i-1', 'h:1', 'c8', 'a', 0, 0.5, ['x']]] },
  'machines of a later release': {
    v: 2,
    machines: [['i-1', 'h:1', 'c8', 'a', 1, 2, ['x'], 'more'], { id: 'i-2' }, []],
  },
  'machines with less': { v: 2, machines: [['i-1'], ['i-2', null, 'c8', 'a', true, -1, 'x'], ['', 'h:1']] },
  'fields added': { v: 2, machines: [], more: 1 },
};
const invalidPages: readonly unknown[] = [null, 7, [], {}, { v: 1, machines: [] }, { v: 3, machines: [] }, { v: 2 }];

function pageTests(golden: GoldenFile): void {
  test('golden: machine registry pages are encoded as before and can be decoded', () => {
    for (const images of [MAX_IMAGES, 2, 1, 0]) {
      const entry = cborWithText(encodeCbor(records.encodePage(machineRecords, images)));
      golden.check(`page with ${images} images a machine`, entry);
      const page = records.decodePage(decodeCbor(bytesOf(entry)));
      assert.equal(page?.complete, true);
      if (images === MAX_IMAGES) assert.deepEqual(page?.machines, machineRecords);
      assert.deepEqual(encodeCbor(records.encodePage(page?.machines ?? [], images)), bytesOf(entry));
    }
    for (const [name, value] of Object.entries(otherReleasePages)) {
      const page = records.decodePage(decodeCbor(encodeCbor(value)));
      assert.ok(page);
      const { cbor, says } = cborWithText(encodeCbor(records.encodePage(page.machines, MAX_IMAGES))) as Record<
        string,
        GoldenValue
      >;
      golden.check(`page of another release: ${name}`, {
        complete: page.complete,
        cbor: cbor ?? null,
        says: says ?? null,
      });
    }
    for (const value of invalidPages) assert.equal(records.decodePage(value), null);
  });
}

function leaderTests(golden: GoldenFile): void {
  test('golden: keys are unchanged', () => {
    golden.check('keys', [
      records.LEADER_KEY,
      records.TERM_KEY,
      records.JOB_PREFIX,
      records.MACHINE_PREFIX,
      records.jobKey(gangSpec.id),
      records.jobKey('job-00007' as JobId),
      records.pageKey(0),
      records.pageKey(12),
    ]);
  });

  test('golden: a new leader writes the leader and term records as before', () => {
    const terms: Readonly<Record<string, unknown>> = {
      none: null,
      'an earlier one': { n: 4 },
      'one since which zones are kept': { n: 4, zones: 2 },
      'one of a later release': { n: 4, zones: 9, more: true },
    };
    for (const [name, term] of Object.entries(terms)) {
      for (const recordsZones of [false, true]) {
        const calls = electionCalls(term, recordsZones);
        golden.check(
          `election, term on record: ${name}, zones kept: ${recordsZones}`,
          calls.map(({ path, body }) => [path, body]),
        );
      }
    }
  });

  test('golden: the leader record can be decoded', () => {
    const leader: records.LeaderRecord = { node: 'perch-1', incarnation: '0f3a', lease: '17', term: 4 };
    const stored = { node: 'perch-1', incarnation: '0f3a', lease: '17', term: 4 };
    assert.deepEqual(records.decodeLeader(decodeCbor(encodeCbor(stored))), leader);
    for (const value of [null, 7, 'x', []]) assert.equal(records.decodeLeader(value), null);
  });
}

/** Tests for all records and keys in the state store. */
export function recordTests(): void {
  const golden = new GoldenFile('records');
  jobTests(golden);
  pageTests(golden);
  leaderTests(golden);
  golden.checkComplete();
}
