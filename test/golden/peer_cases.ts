/** Golden tests of the frames between controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HeartbeatResponse, JobStatus, PeerStatus, UserResponse } from '../../src/core/messages.js';
import type { Attempt, Command, ControllerName, FencingToken, JobId, MachineId } from '../../src/core/types.js';
import { encodeFrame, FrameSplitter, type PeerFrame } from '../../src/io/peers/peer_codec.js';
import { peerFrames as sampleFrames } from '../support/sample_messages.js';
import { GoldenFile, hex, thrownMessage, unhex } from './golden_file.js';
import { emptyHeartbeat, fullHeartbeat, gangSpec, specs } from './samples.js';

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
const statusFrames: PeerFrame[] = flags.flatMap((isLeader) =>
  flags.flatMap((storeReachable) =>
    flags.flatMap((prefersDirect) =>
      flags.map((acknowledges): PeerFrame => {
        return { kind: 'status', status: status(isLeader, storeReachable, prefersDirect, acknowledges) };
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

const userResponses: UserResponse[] = [
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
const heartbeatResponses: HeartbeatResponse[] = [
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
  ...userResponses.map((response, i): PeerFrame => ({ kind: 'requestResponse', id: 20 + i, response })),
  { kind: 'heartbeat', id: 40, heartbeat: fullHeartbeat },
  { kind: 'heartbeat', id: 41, heartbeat: emptyHeartbeat },
  ...heartbeatResponses.map((response, i): PeerFrame => ({ kind: 'heartbeatResponse', id: 50 + i, machine, response })),
  { kind: 'cancellation', id: 60, job: 'job-00007' as JobId },
  { kind: 'cancellationAck', id: 60 },
  ...sampleFrames,
];

/** Returns copies of the frame with one byte changed, and copies with bytes missing or added. */
function corruptedCopies(frame: Buffer): Buffer[] {
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

/**
 * Returns how a receiver handles the bytes: the frames that it decodes (encoded again), the number of frames that it
 * skips, or the error for which it closes the connection.
 */
function decodeAndDescribe(bytes: Buffer): string {
  const splitter = new FrameSplitter();
  try {
    const read = splitter.push(bytes).map((frame) => hex(encodeFrame(frame)));
    return read.length > 0 ? read.join(' ') : `nothing, skipped: ${splitter.skipped}`;
  } catch (error) {
    return `refused: ${(error as Error).message}`;
  }
}

/** Tests for every kind of frame between controllers, and for malformed frames. */
export function peerTests(): void {
  const golden = new GoldenFile('peer_frames');

  test('golden: frames between controllers are encoded as before and can be decoded', () => {
    frames.forEach((frame, i) => {
      const bytes = encodeFrame(frame);
      golden.check(`frame ${i}`, hex(bytes));
      assert.deepEqual(new FrameSplitter().push(unhex(hex(bytes))), [frame]);
    });
  });

  test('golden: malformed frames are decoded, skipped or rejected as before', () => {
    const last = new Map(frames.map((frame) => [encodeFrame(frame).readUInt8(5), frame]));
    for (const [kind, frame] of last) {
      golden.check(`spoiled frames of kind ${kind}`, corruptedCopies(encodeFrame(frame)).map(decodeAndDescribe));
    }
    golden.check('frame of a length out of bounds', [
      thrownMessage(() => new FrameSplitter().push(unhex('000400010300'))),
      thrownMessage(() => new FrameSplitter().push(unhex('000000010300'))),
    ]);
  });

  golden.checkComplete();
}
