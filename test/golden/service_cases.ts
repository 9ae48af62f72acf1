/** Golden tests of the calls to the state store, the cloud and the workers, and of the responses. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type {
  CloudOperation,
  CloudResponse,
  CloudResult,
  CommandPush,
  CommandPushResult,
  StateStoreOperation,
  StateStoreResponse,
  StateStoreResult,
} from '../../src/core/messages.js';
import {
  type AgentEpoch,
  type Attempt,
  type CloudMachine,
  type FencingToken,
  type LeaseId,
  type MachineId,
  type MachineType,
  type MachineTypeName,
  revision,
  type ZoneName,
} from '../../src/core/types.js';
import { decodeCloudResponse, encodeCloudRequest } from '../../src/io/cloud/cloud_codec.js';
import type { HttpRequest } from '../../src/io/http/http_request.js';
import { decodeStateStoreResponse, encodeStateStoreRequest } from '../../src/io/state_store/state_store_codec.js';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';
import {
  COMMANDS_PATH,
  decodePushedCommandsResponse,
  encodePushedCommands,
} from '../../src/io/workers/worker_codec.js';
import { wireHeartbeat } from '../support/sample_messages.js';
import { cborWithText, GoldenFile, type GoldenValue, thrownMessage } from './golden_file.js';
import { gangSpec } from './samples.js';

const MAX_UINT64 = (1n << 64n) - 1n;

/** Returns the golden entry of an outgoing call, with its body encoded to bytes. */
const callEntry = ({ method, path, body }: HttpRequest): GoldenValue =>
  body === undefined
    ? { line: `${method} ${path}` }
    : { line: `${method} ${path}`, body: cborWithText(encodeCbor(body)) };

/** Returns the body as decoded from its encoding; null stays null. */
const received = (body: unknown): unknown => (body === null ? null : decodeCbor(encodeCbor(body)));

const stateStoreCalls: Readonly<Record<string, StateStoreOperation>> = {
  get: { op: 'get', key: 'j/job-17' },
  'list from the start': { op: 'list', prefix: 'j/', after: null, limit: 100 },
  'list from a key on': { op: 'list', prefix: 'm/', after: 'm/3', limit: 7 },
  'transaction that compares only': {
    op: 'compareAndSwap',
    conditions: [
      { key: 'leader', version: revision(MAX_UINT64) },
      { key: 'j/job-17', version: revision(0) },
    ],
    changes: [],
  },
  'transaction with changes': {
    op: 'compareAndSwap',
    conditions: [{ key: 'leader', version: revision(41) }],
    changes: [
      { put: 'a', value: { x: [1, null, true, 0.5] } },
      { put: 'b', value: 'text', lease: MAX_UINT64 as LeaseId },
      { drop: 'c' },
    ],
  },
  grant: { op: 'grant', ttlMs: 4200 },
  renew: { op: 'renew', lease: MAX_UINT64 as LeaseId },
  revoke: { op: 'revoke', lease: 7n as LeaseId },
  watch: { op: 'watch', prefix: 'j/', after: revision(MAX_UINT64), waitMs: 1000 },
};

const stateStoreResponses: readonly (readonly [keyof typeof stateStoreCalls, unknown, StateStoreResponse])[] = [
  [
    'get',
    { k: 'a/b', data: { x: 1 }, feather: 412, tether: 7 },
    { item: { key: 'a/b', value: { x: 1 }, version: revision(412) } },
  ],
  [
    'list from the start',
    { entries: [{ k: 'j/1', data: null, feather: MAX_UINT64 }], has_next: true, molt: 9 },
    { items: [{ key: 'j/1', value: null, version: revision(MAX_UINT64) }], more: true, revision: revision(9) },
  ],
  ['list from a key on', { entries: [], molt: 9 }, { items: [], more: false, revision: revision(9) }],
  ['transaction with changes', { molt: 433 }, { revision: revision(433) }],
  ['grant', { tether: MAX_UINT64, life_ms: 4200 }, { lease: MAX_UINT64 as LeaseId }],
  ['renew', {}, {}],
  ['revoke', null, {}],
  [
    'watch',
    {
      news: [
        { put: 'a', data: 7, feather: 5 },
        { drop: 'b', feather: 6 },
      ],
      molt: 6,
    },
    {
      events: [
        { put: 'a', value: 7, version: revision(5) },
        { drop: 'b', version: revision(6) },
      ],
      revision: revision(6),
    },
  ],
];

const malformedStateStoreResponses: readonly (readonly [keyof typeof stateStoreCalls, number, unknown])[] = [
  ['get', 200, null],
  ['get', 200, { k: 7 }],
  ['get', 200, { k: 'a', data: 1, feather: -1 }],
  ['get', 404, null],
  ['get', 404, {}],
  ['list from the start', 200, {}],
  ['list from the start', 200, { entries: [7], molt: 1 }],
  ['list from the start', 200, { entries: [] }],
  ['transaction with changes', 200, { molt: 1.5 }],
  ['grant', 200, { tether: 'x' }],
  ['watch', 200, { news: {}, molt: 1 }],
  ['watch', 200, { news: [7], molt: 1 }],
  ['watch', 200, { news: [{ feather: 1 }], molt: 1 }],
];

/** Tests for calls to the state store and for the decoding of its responses. */
export function stateStoreTests(): void {
  const golden = new GoldenFile('state_service');
  const callNamed = (name: string): StateStoreOperation => stateStoreCalls[name] as StateStoreOperation;

  test('golden: calls to the state store are encoded as before', () => {
    for (const [name, op] of Object.entries(stateStoreCalls))
      golden.check(`call: ${name}`, callEntry(encodeStateStoreRequest(op)));
  });

  test('golden: responses of the state store are decoded as before', () => {
    for (const [name, body, value] of stateStoreResponses) {
      golden.check(`answer: ${name}`, cborWithText(encodeCbor(body)));
      assert.deepEqual(decodeStateStoreResponse(callNamed(name), 200, received(body)), { ok: true, value });
    }
    assert.deepEqual(decodeStateStoreResponse(callNamed('get'), 404, received({ molt: 431 })), {
      ok: true,
      value: { item: null, revision: revision(431) },
    });
    const conflict = { failed: ['j/1', 7, 'leader'], molt: 3 };
    assert.deepEqual(decodeStateStoreResponse(callNamed('transaction with changes'), 409, received(conflict)), {
      ok: false,
      error: { code: 'conflict', keys: ['j/1', 'leader'] },
    });
    const failures: readonly (readonly [number, StateStoreResult])[] = [
      [400, { ok: false, error: { code: 'invalidRequest' } }],
      [404, { ok: false, error: { code: 'gone' } }],
      [409, { ok: false, error: { code: 'conflict', keys: [] } }],
      [410, { ok: false, error: { code: 'gone' } }],
      [429, { ok: false, error: { code: 'throttled' } }],
      [500, { ok: false, error: { code: 'outcomeUnknown' } }],
      [503, { ok: false, error: { code: 'unavailable' } }],
    ];
    for (const [name, op] of Object.entries(stateStoreCalls)) {
      for (const [status, failure] of failures) {
        if (status === 404 && op.op === 'get') continue;
        assert.deepEqual(decodeStateStoreResponse(op, status, null), failure, `${name} ${status}`);
      }
    }
  });

  test('golden: malformed responses of the state store are rejected with the same texts as before', () => {
    malformedStateStoreResponses.forEach(([name, status, body], i) => {
      const message = thrownMessage(() => decodeStateStoreResponse(callNamed(name), status, received(body)));
      golden.check(`malformed answer ${i}`, [name, status, cborWithText(encodeCbor(body)), message]);
    });
  });

  golden.checkComplete();
}

const cloudCalls: Readonly<Record<string, CloudOperation>> = {
  types: { op: 'types' },
  'list from the start': { op: 'list', after: null },
  'list from a machine on': { op: 'list', after: 'i/00 7' as MachineId },
  rent: {
    op: 'provision',
    idempotencyKey: '0f3a-41-7',
    machineType: 'g8' as MachineTypeName,
    zone: 'a' as ZoneName,
    spot: true,
    count: 3,
  },
  delete: { op: 'terminate', machines: ['i-1', 'i-2'] as MachineId[] },
  'delete nothing': { op: 'terminate', machines: [] },
};

const wireType = {
  name: 'g8',
  cpus: 96,
  gpus: 8,
  mem_gb: 768.5,
  local_gb: 500,
  fetch_gb_per_s: 0.5,
  rate: 30.25,
  spot_price: 9.5,
  startup_s: 90,
  groves: ['a', 'b'],
};
const machineType: MachineType = {
  name: 'g8' as MachineTypeName,
  cpus: 96,
  gpus: 8,
  memoryGb: 768.5,
  imageCacheGb: 500,
  imagePullGbPerSecond: 0.5,
  pricePerHour: 30.25,
  spotPricePerHour: 9.5,
  bootSeconds: 90,
  zones: ['a', 'b'] as ZoneName[],
};
const wireMachine = { ref: 'i-1', addr: 'h:1', breed: 'g8', grove: 'a', loaners: true, mood: 'booting', held_s: 7.5 };
const listedMachine: CloudMachine = {
  id: 'i-1' as MachineId,
  address: 'h:1',
  type: 'g8' as MachineTypeName,
  zone: 'a' as ZoneName,
  spot: true,
  phase: 'booting',
  ageSeconds: 7.5,
};

const cloudResponses: readonly (readonly [keyof typeof cloudCalls, unknown, CloudResponse])[] = [
  ['types', { breeds: [{ ...wireType, more: 1 }] }, { machineTypes: [machineType] }],
  [
    'list from the start',
    {
      perches: [
        wireMachine,
        { ...wireMachine, mood: 'running', loaners: false },
        { ...wireMachine, mood: 'failed', addr: null },
      ],
      has_next: true,
    },
    {
      machines: [
        listedMachine,
        { ...listedMachine, phase: 'running', spot: false },
        { ...listedMachine, phase: 'failed', address: '' },
      ],
      more: true,
    },
  ],
  ['list from a machine on', { perches: [] }, { machines: [], more: false }],
  ['rent', { perches: ['i-8', 'i-9'] }, { provisioned: ['i-8', 'i-9'] as MachineId[] }],
  ['delete', {}, {}],
];

const malformedCloudResponses: readonly (readonly [keyof typeof cloudCalls, unknown])[] = [
  ['types', null],
  ['types', { breeds: {} }],
  ['types', { breeds: [7] }],
  ...Object.keys(wireType).map((key) => ['types', { breeds: [{ ...wireType, [key]: -1 }] }] as const),
  ['list from the start', { perches: [7] }],
  ...Object.keys(wireMachine)
    .filter((key) => key !== 'addr')
    .map((key) => ['list from the start', { perches: [{ ...wireMachine, [key]: -1 }] }] as const),
  ['list from the start', { perches: [{ ...wireMachine, mood: 'lost' }] }],
  ['rent', {}],
  ['delete', []],
];

/** Tests for calls to the cloud and for the decoding of its responses. */
export function cloudTests(): void {
  const golden = new GoldenFile('cloud');
  const callNamed = (name: string): CloudOperation => cloudCalls[name] as CloudOperation;

  test('golden: calls to the cloud are encoded as before', () => {
    for (const [name, op] of Object.entries(cloudCalls))
      golden.check(`call: ${name}`, callEntry(encodeCloudRequest(op)));
  });

  test('golden: responses of the cloud are decoded as before', () => {
    for (const [name, body, value] of cloudResponses) {
      golden.check(`answer: ${name}`, cborWithText(encodeCbor(body)));
      assert.deepEqual(decodeCloudResponse(callNamed(name), 200, received(body)), { ok: true, value });
    }
    const full = received({ error: 'no capacity' });
    const failures: readonly (readonly [number, unknown, CloudResult, CloudResult])[] = [
      [400, null, { ok: false, error: { code: 'invalidRequest' } }, { ok: false, error: { code: 'invalidRequest' } }],
      [404, null, { ok: false, error: { code: 'outcomeUnknown' } }, { ok: false, error: { code: 'outcomeUnknown' } }],
      [429, null, { ok: false, error: { code: 'throttled' } }, { ok: false, error: { code: 'throttled' } }],
      [500, null, { ok: false, error: { code: 'outcomeUnknown' } }, { ok: false, error: { code: 'outcomeUnknown' } }],
      [503, null, { ok: false, error: { code: 'unavailable' } }, { ok: false, error: { code: 'unavailable' } }],
      [503, full, { ok: false, error: { code: 'noCapacity' } }, { ok: false, error: { code: 'unavailable' } }],
    ];
    for (const [name, op] of Object.entries(cloudCalls)) {
      for (const [status, body, provisionResult, otherResult] of failures) {
        const failure = op.op === 'provision' ? provisionResult : otherResult;
        assert.deepEqual(decodeCloudResponse(op, status, body), failure, `${name} ${status}`);
      }
    }
  });

  test('golden: malformed responses of the cloud are rejected with the same texts as before', () => {
    malformedCloudResponses.forEach(([name, body], i) => {
      const message = thrownMessage(() => decodeCloudResponse(callNamed(name), 200, received(body)));
      golden.check(`malformed answer ${i}`, [name, cborWithText(encodeCbor(body)), message]);
    });
  });

  golden.checkComplete();
}

const { id: job } = gangSpec;
const commandPushes: Readonly<Record<string, CommandPush>> = {
  'no commands': {
    address: 'h:1',
    fencingToken: MAX_UINT64 as FencingToken,
    agentEpoch: 3n as AgentEpoch,
    commands: [],
  },
  'all commands': {
    address: 'h:1',
    fencingToken: 41n as FencingToken,
    agentEpoch: MAX_UINT64 as AgentEpoch,
    commands: [
      { op: 'start', job, index: 3, attempt: 5n as Attempt },
      { op: 'stop', job, index: 4, attempt: MAX_UINT64 as Attempt, gracePeriodSeconds: 2.5 },
      { op: 'acknowledge', job, index: 5, attempt: 7n as Attempt },
    ],
  },
};

/** Tests for commands pushed to workers and for the decoding of the responses. Heartbeats are in http_cases.ts. */
export function commandTests(): void {
  const golden = new GoldenFile('worker_commands');

  test('golden: commands to workers are encoded as before', () => {
    golden.check('path', COMMANDS_PATH);
    for (const [name, op] of Object.entries(commandPushes))
      golden.check(name, cborWithText(encodeCbor(encodePushedCommands(op))));
  });

  test('golden: responses of workers are decoded as before', () => {
    const body = received(wireHeartbeat);
    const values = [200, 409].map((status) => decodePushedCommandsResponse(status, body));
    const [executed, notExecuted] = values as [CommandPushResult, CommandPushResult];
    assert.ok(executed.ok && executed.value.executed);
    assert.ok(notExecuted.ok && !notExecuted.value.executed);
    assert.deepEqual(executed.value.heartbeat, notExecuted.value.heartbeat);
    for (const status of [201, 400, 404, 421, 429, 500, 503]) {
      assert.deepEqual(decodePushedCommandsResponse(status, body), { ok: false, error: { code: 'invalidRequest' } });
    }
    golden.check(
      'malformed answer',
      thrownMessage(() => decodePushedCommandsResponse(200, null)),
    );
  });

  golden.checkComplete();
}
