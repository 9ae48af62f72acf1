import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HeartbeatResponse, JobStatus, PeerStatus, UserResponse } from '../../src/core/messages.js';
import type { Attempt, Command, ControllerName, FencingToken, JobId, MachineId } from '../../src/core/types.js';
import { encodeFrame, FrameSplitter, type PeerFrame } from '../../src/io/peers/peer_codec.js';
import { peerFrames as sampleFrames } from '../support/sample_messages.js';
import { GoldenFile, hex, thrownBy, unhex } from './golden_file.js';
import { emptyReport, fullReport, gangSpec, specs } from './samples.js';

const { id: job } = gangSpec;
const machine = 'i-000231' as MachineId;
const statuses: JobStatus[] = ['queued', 'running', 'done', 'cancelled'];
const flags = [false, true];

const status = (
  isLeader: boolean,
  stateStoreReachable: boolean,
  prefersDirectHeartbeats: boolean,
  acknowledges: boolean,
): PeerStatus => ({
  sinceLastHeartbeatMs: 1234.5,
  heartbeatsPerSecond: 12.25,
  isLeader,
  stateStoreReachable,
  prefersDirectHeartbeats,
  acknowledgesCancellations: acknowledges,
});
const statusFrames: PeerFrame[] = flags.flatMap((leading) =>
  flags.flatMap((storeOk) =>
    flags.flatMap((takes) =>
      flags.map((acknowledges): PeerFrame => {
        return { kind: 'status', status: status(leading, storeOk, takes, acknowledges) };
      }),
    ),
  ),
);

const requestFrames: PeerFrame[] = [
  { kind: 'request', id: 1, request: { op: 'query', id: job } },
  { kind: 'request', id: 2 ** 50 + 1, request: { op: 'cancel', id: job } },
  { kind: 'request', id: 3, request: { op: 'submit', id: job, spec: null, problem: 'crew is not a text' } },
  ...Object.values(specs).map(
    (spec): PeerFrame => ({ kind: 'request', id: 4, request: { op: 'submit', id: spec.id, spec, problem: '' } }),
  ),
];

const userAnswers: UserResponse[] = [
  ...statuses.map((jobStatus): UserResponse => ({ status: 200, id: job, jobStatus, done: 3, running: 2 ** 32 - 1 })),
  { status: 201, id: job, jobStatus: 'queued', done: 0, running: 0 },
  { status: 400, problem: '' },
  { status: 404, problem: 'no such job' },
  { status: 422, problem: 'unknown team' },
  { status: 503, problem: 'später' },
  { status: 503, problem: 'later', retryAfterSeconds: 7 },
];

const commands: Command[] = [
  { op: 'start', job, index: 3, attempt: 5n as Attempt },
  { op: 'stop', job, index: 4, attempt: ((1n << 64n) - 1n) as Attempt, gracePeriodSeconds: 2.5 },
  { op: 'acknowledge', job, index: 99_999, attempt: 7n as Attempt },
];
const workerAnswers: HeartbeatResponse[] = [
  { status: 200, fencingToken: 41n as FencingToken, commands: [] },
  { status: 200, fencingToken: ((1n << 63n) + 1n) as FencingToken, commands },
  { status: 421, redirectTo: 'perch-2' as ControllerName },
  { status: 421, redirectTo: null },
  { status: 503 },
];

const frames: readonly PeerFrame[] = [
  { kind: 'hello', sender: 'perch-1' as ControllerName },
  ...statusFrames,
  ...requestFrames,
  ...userAnswers.map((response, i): PeerFrame => ({ kind: 'requestResponse', id: 20 + i, response })),
  { kind: 'heartbeat', id: 40, heartbeat: fullReport },
  { kind: 'heartbeat', id: 41, heartbeat: emptyReport },
  ...workerAnswers.map((response, i): PeerFrame => ({ kind: 'heartbeatResponse', id: 50 + i, machine, response })),
  { kind: 'cancellation', id: 60, job: 'job-00007' as JobId },
  { kind: 'cancellationAck', id: 60 },
  ...sampleFrames,
];

/** Frames with one byte changed, and with bytes missing or added. */
function spoiled(frame: Buffer): Buffer[] {
  const changed = Array.from({ length: Math.min(frame.length, 140) }, (_, i) => {
    const copy = Buffer.from(frame);
    copy.writeUInt8(0xff - copy.readUInt8(i), i);
    return copy;
  });
  const resized = [-1, -3, 1, 5].map((by) => {
    const copy = Buffer.concat([frame, Buffer.alloc(5)]).subarray(0, frame.length + by);
    copy.writeUInt32BE(copy.length - 4, 0);
    return copy;
  });
  return [...changed, ...resized];
}

/** What a receiver makes of bytes: the frames that it reads, written again; what it skips; why it ends the connection. */
function readAs(bytes: Buffer): string {
  const splitter = new FrameSplitter();
  try {
    const read = splitter.push(bytes).map((frame) => hex(encodeFrame(frame)));
    return read.length > 0 ? read.join(' ') : `nothing, skipped: ${splitter.skipped}`;
  } catch (error) {
    return `refused: ${(error as Error).message}`;
  }
}

/** Every kind of frame between nodes, and what becomes of frames that are wrong. */
export function peerTests(): void {
  const golden = new GoldenFile('peer_frames');

  test('golden: frames between nodes are written as they were, and read back', () => {
    frames.forEach((frame, i) => {
      const bytes = encodeFrame(frame);
      golden.check(`frame ${i}`, hex(bytes));
      assert.deepEqual(new FrameSplitter().push(unhex(hex(bytes))), [frame]);
    });
  });

  test('golden: frames that are wrong are read, skipped or refused as they were', () => {
    const last = new Map(frames.map((frame) => [encodeFrame(frame).readUInt8(5), frame]));
    for (const [kind, frame] of last) {
      golden.check(`spoiled frames of kind ${kind}`, spoiled(encodeFrame(frame)).map(readAs));
    }
    golden.check('frame of a length out of bounds', [
      thrownBy(() => new FrameSplitter().push(unhex('000400010300'))),
      thrownBy(() => new FrameSplitter().push(unhex('000000010300'))),
    ]);
  });

  golden.checkComplete();
}
