/** Golden tests of the responses with which the core rejects users' requests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Output, UserRequest, UserResponse } from '../../src/core/messages.js';
import type {
  ControllerName,
  JobId,
  JobSpec,
  MachineId,
  MonotonicTime,
  TeamName,
  TeamQuota,
  ZoneName,
} from '../../src/core/types.js';
import { checkExpiry } from '../../src/io/output_expiry.js';
import { encodeFrame } from '../../src/io/peers/peer_codec.js';
import { encodeUserResponse } from '../../src/io/users/user_codec.js';
import { encodeCbor } from '../../src/io/wire/cbor.js';
import { CURRENT_BUILD } from '../sim/build.js';
import { LIMITS } from '../sim/deployment.js';
import { type JobOptions, makeJobSpec } from '../sim/job_options.js';
import { C8 } from '../sim/machine_types.js';
import { World } from '../sim/world.js';
import { cborWithText, GoldenFile, type GoldenValue, hex } from './golden_file.js';

const zones = ['a', 'b'] as ZoneName[];
/** Time within which a world elects a leader, in milliseconds. */
const SETTLE_MS = 30_000;
const RESPONSE_TIMEOUT_MS = 6000;

function teamOf(name: string, cpuLimit: number, gpuLimit: number): TeamQuota {
  return { name: name as TeamName, guaranteed: { cpus: 0, gpus: 0 }, limit: { cpus: cpuLimit, gpus: gpuLimit } };
}

function makeWorld(controllers: number): World {
  const types = [{ ...C8, zones }];
  const teams = [teamOf('crew', 0, 0), teamOf('tight', 2, 0)];
  const limits = { ...LIMITS, maxValueBytes: 1024 };
  return new World({ seed: 3, controllers, zones, teams, types, capacity: 2, tuning: CURRENT_BUILD.tuning, limits });
}

const entryOf = (response: UserResponse | null): GoldenValue =>
  response && {
    status: response.status,
    retryAfter: 'retryAfterSeconds' in response ? (response.retryAfterSeconds ?? 0) : 0,
    body: cborWithText(encodeCbor(encodeUserResponse(response))),
  };

/** Sends a request to a controller and returns its response, or null if none arrives within `ANSWER_MS`. */
function sendRequest(world: World, controllerIndex: number, request: UserRequest): UserResponse | null {
  let response: UserResponse | null = null;
  world.controllers[controllerIndex]?.receiveUserRequest(request, (given) => {
    response = given;
  });
  world.clock.runUntil(world.clock.now + RESPONSE_TIMEOUT_MS);
  return response;
}

const submit = (spec: JobSpec): UserRequest => ({ op: 'submit', id: spec.id, spec, problem: '' });
const smallArray = makeJobSpec('job-1', 'array', { tasks: '2' });

const rejectedJobs: Readonly<Record<string, readonly [JobSpec['kind'], JobOptions]>> = {
  'team not known': ['array', { team: 'nobody' }],
  'more processors than any machine': ['array', { cpus: '9' }],
  'more memory than any machine': ['array', { memoryGb: '33' }],
  'graphics processors that no machine has': ['array', { gpus: '1' }],
  'type not known': ['array', { machineTypes: 'nosuch' }],
  'zone not known': ['array', { zone: 'c' }],
  'beyond the limit of its team': ['array', { team: 'tight', cpus: '3' }],
  'whole beyond the limit of its team': ['gang', { team: 'tight', cpus: '1', tasks: '3' }],
  'together and apart': ['gang', { tasks: '2', singleZone: 'yes', zoneSpread: 'yes' }],
  'apart in one zone': ['service', { tasks: '2', zone: 'a', zoneSpread: 'yes' }],
  'longer than a value': ['array', { class: 'x'.repeat(700) }],
};

/** Tests for the texts with which the core rejects users' requests. */
export function problemTests(): void {
  const golden = new GoldenFile('problems');

  test('golden: requests are rejected with the same texts as before', () => {
    const world = makeWorld(3);
    world.startControllers();
    world.clock.runUntil(SETTLE_MS);
    const check = (entry: string, request: UserRequest): void =>
      golden.check(entry, entryOf(sendRequest(world, 0, request)));
    for (const [name, [kind, options]] of Object.entries(rejectedJobs)) {
      check(name, submit(makeJobSpec('job-9', kind, options)));
    }
    check('malformed', { op: 'submit', id: 'job-9' as JobId, spec: null, problem: 'crew is not a text' });
    check('asked for, not known', { op: 'query', id: 'job-9' as JobId });
    check('called off, not known', { op: 'cancel', id: 'job-9' as JobId });
    check('taken', submit(smallArray));
    check('taken before', submit(smallArray));
    check('taken before, now malformed', {
      op: 'submit',
      id: smallArray.id,
      spec: null,
      problem: 'crew is not a text',
    });
    check('called off', { op: 'cancel', id: smallArray.id });
    check('called off before', { op: 'cancel', id: smallArray.id });
    check('taken before and called off', submit(smallArray));
  });

  test('golden: requests during a state store outage are rejected with the same texts as before', () => {
    const world = makeWorld(2);
    world.startControllers();
    world.clock.runUntil(SETTLE_MS);
    world.stateStore.outage(60_000);
    const check = (entry: string, request: UserRequest): void =>
      golden.check(entry, entryOf(sendRequest(world, 0, request)));
    check('outage: submission', submit(smallArray));
    check('outage: question', { op: 'query', id: smallArray.id });
    check('outage: calling off', { op: 'cancel', id: smallArray.id });
  });

  test('golden: a request that no peer answers is rejected with the same text as before', () => {
    const world = makeWorld(2);
    world.startControllers();
    world.clock.runUntil(SETTLE_MS);
    world.stateStore.refusedHosts.add('perch-0');
    world.clock.runUntil(SETTLE_MS + 1500);
    world.network.partition('perch-0', 'perch-1', 10_000, 'drop');
    golden.check('no peer answers', entryOf(sendRequest(world, 0, submit(smallArray))));
  });

  test('golden: a controller without machine types rejects requests with the same text as before', () => {
    const world = makeWorld(1);
    world.network.partition('cloud', '*', 60_000, 'drop');
    world.startControllers();
    world.clock.runUntil(SETTLE_MS);
    golden.check('no machine types', entryOf(sendRequest(world, 0, submit(smallArray))));
  });

  test('golden: responses that are sent too late are replaced as before', () => {
    const late = { expiresAt: 5 as MonotonicTime };
    const response: UserResponse = { status: 200, id: smallArray.id, jobStatus: 'queued', done: 0, running: 0 };
    const machine = 'i-1' as MachineId;
    const recipient = 'perch-1' as ControllerName;
    const expired = (output: Output): Output | null => checkExpiry(output, 5 as MonotonicTime).output;
    const user = expired({ kind: 'userResponse', requestId: 1, response, ...late });
    assert.ok(user?.kind === 'userResponse');
    golden.check('late answer', entryOf(user.response));
    const forwardedResponse = expired({
      kind: 'peerMessage',
      recipient,
      message: { kind: 'requestResponse', id: 1, response },
      ...late,
    });
    const report = { kind: 'heartbeatResponse', id: 2, machine, response: { status: 421, redirectTo: null } } as const;
    for (const [entry, output] of [
      ['late answer of a peer', forwardedResponse],
      ['late answer of a peer to a report', expired({ kind: 'peerMessage', recipient, message: report, ...late })],
    ] as const) {
      assert.ok(output?.kind === 'peerMessage');
      golden.check(entry, hex(encodeFrame(output.message)));
    }
  });

  golden.checkComplete();
}
