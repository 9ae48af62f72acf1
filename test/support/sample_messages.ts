import type { UserRequest, UserResponse } from '../../src/core/messages.js';
import type { Attempt, ControllerName, FencingToken, MachineId } from '../../src/core/types.js';
import type { PeerFrame } from '../../src/io/peers/peer_codec.js';
import { decodeJobSpec } from '../../src/io/users/user_codec.js';
import { decodeHeartbeat } from '../../src/io/workers/worker_codec.js';

/* Sample messages of users, workers and peers. */

/** A job submission, as encoded on the wire. */
export const wireJob = {
  ref: 'job-000412',
  flock: 'train',
  crew: 'vision',
  shape: 'ensemble',
  rank: 'urgent',
  chicks: 16,
  cpus: 8.0,
  gpus: 1.0,
  mem_gb: 64.0,
  plumage: 'img-07',
  image_gb: 6.2,
  breeds: ['g8'],
  grove: null,
  same_place: true,
  apart: false,
  loaners: true,
  flight_s: 240.0,
  cache_s: 30.0,
  stash_s: 4.0,
  due_s: 900.0,
};

/** A job submission that is accepted, with the required fields only. */
export const smallWireJob = {
  ref: 'job-1',
  flock: 'f',
  crew: 'c',
  shape: 'batch',
  rank: 'low',
  chicks: 2,
  cpus: 1,
  gpus: 0,
  mem_gb: 1,
  plumage: 'i',
  image_gb: 1,
  same_place: false,
  apart: false,
  loaners: false,
  flight_s: 5,
  cache_s: 0,
  stash_s: 0,
};

/** A worker's heartbeat, as encoded on the wire. */
export const wireHeartbeat = {
  perch: 'i-000231',
  addr: '10.1.0.232:9000',
  breed: 'g8',
  grove: 'a',
  loaners: true,
  roost: 1,
  chirp: 88,
  crest: 41,
  warning_s: null,
  chicks: [
    { chick: 'job-000412/3', hop: 2, mood: 'running' },
    { chick: 'job-000398/0', hop: 1, mood: 'exited', cause: 'done' },
  ],
};

/** The submission `wireJob`, as decoded for the core. */
export const jobSpec = decodeJobSpec(wireJob);
/** Frames of every kind between controllers, with every shape of payload. */
export const peerFrames: PeerFrame[] = [
  { kind: 'hello', sender: 'perch-1' as ControllerName },
  {
    kind: 'status',
    status: {
      isLeader: true,
      stateStoreReachable: false,
      sinceLastHeartbeatMs: 1234,
      heartbeatsPerSecond: 12.5,
      prefersDirectHeartbeats: true,
      acknowledgesCancellations: false,
    },
  },
  {
    kind: 'status',
    status: {
      isLeader: false,
      stateStoreReachable: true,
      sinceLastHeartbeatMs: -1,
      heartbeatsPerSecond: 0,
      prefersDirectHeartbeats: false,
      acknowledgesCancellations: true,
    },
  },
  { kind: 'cancellation', id: 14, job: jobSpec.id },
  { kind: 'cancellationAck', id: 14 },
  { kind: 'request', id: 7, request: { op: 'submit', id: jobSpec.id, spec: jobSpec, problem: '' } },
  { kind: 'request', id: 8, request: { op: 'submit', id: jobSpec.id, spec: null, problem: 'crew is not a text' } },
  {
    kind: 'request',
    id: 8,
    request: {
      op: 'submit',
      id: jobSpec.id,
      spec: { ...jobSpec, allowedMachineTypes: null, deadlineSeconds: null },
      problem: '',
    },
  },
  { kind: 'request', id: 9, request: { op: 'query', id: jobSpec.id } as UserRequest },
  {
    kind: 'requestResponse',
    id: 7,
    response: { status: 201, id: jobSpec.id, jobStatus: 'queued', done: 0, running: 0 },
  },
  {
    kind: 'requestResponse',
    id: 8,
    response: { status: 503, problem: 'später', retryAfterSeconds: 1 } as UserResponse,
  },
  { kind: 'requestResponse', id: 9, response: { status: 404, problem: 'no such job' } },
];

peerFrames.push(
  { kind: 'heartbeat', id: 2 ** 50 + 1, heartbeat: decodeHeartbeat(wireHeartbeat) },
  {
    kind: 'heartbeat',
    id: 11,
    heartbeat: {
      ...decodeHeartbeat({ ...wireHeartbeat, chicks: [] }),
      interruptionNoticeSeconds: 7.5,
      spot: false,
      fencingToken: ((1n << 64n) - 1n) as FencingToken,
      tasks: [
        {
          job: jobSpec.id,
          index: 99_999,
          attempt: (1n << 60n) as Attempt,
          phase: 'exited',
          exitReason: 'gang_incomplete',
          checkpointSaved: true,
        },
      ],
    },
  },
  { kind: 'heartbeatResponse', id: 11, machine: 'i-1' as MachineId, response: { status: 503 } },
  { kind: 'heartbeatResponse', id: 12, machine: 'i-1' as MachineId, response: { status: 421, redirectTo: null } },
  {
    kind: 'heartbeatResponse',
    id: 13,
    machine: 'i-1' as MachineId,
    response: {
      status: 200,
      fencingToken: ((1n << 63n) + 1n) as FencingToken,
      commands: [
        { op: 'start', job: jobSpec.id, index: 3, attempt: 5n as Attempt },
        { op: 'stop', job: jobSpec.id, index: 4, attempt: 6n as Attempt, gracePeriodSeconds: 2.5 },
        { op: 'acknowledge', job: jobSpec.id, index: 5, attempt: 7n as Attempt },
      ],
    },
  },
);
