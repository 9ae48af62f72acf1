/**
 * Encodes and decodes the frames of the protocol between controllers. A frame consists of a four-byte length, a
 * version, a kind and a payload.
 *
 * - A frame whose length is out of bounds or whose payload is malformed causes the connection to be closed.
 * - A frame of an unknown kind or version is skipped. Its length tells where the next frame begins.
 * - A payload may contain additional bytes at the end, so that later releases can add fields.
 * - Releases that do not know kind 6 close the connection when they receive an unknown kind. Kinds from 6 on are
 *   therefore sent only to peers whose status says that they know them.
 */
import type { PeerMessage, PeerStatus } from '../../core/messages.js';
import type { ControllerName, MachineId } from '../../core/types.js';
import {
  bitIf,
  FRAME_HEADER_BYTES,
  FrameError,
  FrameReader,
  FrameWriter,
  hasBit,
  KIND_OFFSET,
  LENGTH_BYTES,
  VERSION_OFFSET,
} from './frame_buffer.js';
import { readJobId } from './job_id_payload.js';
import { readUserRequest, readUserResponse, writeUserRequest, writeUserResponse } from './user_payloads.js';
import { readHeartbeat, readHeartbeatResponse, writeHeartbeat, writeHeartbeatResponse } from './worker_payloads.js';

/** The version in the header of each frame. */
export const PEER_VERSION = 3;
/** The largest value of a frame's length field. */
export const MAX_FRAME_BYTES = 256 * 1024;
/** The smallest value of a frame's length field: version and kind without a payload. */
const MIN_FRAME_BYTES = 2;

/** The content of a frame. The first frame on a connection is `hello`, which names the sender. Messages follow. */
export type PeerFrame = { readonly kind: 'hello'; readonly sender: ControllerName } | PeerMessage;

/** The number of a kind on the wire is its index in this list. */
const KINDS = [
  'hello',
  'status',
  'request',
  'requestResponse',
  'heartbeat',
  'heartbeatResponse',
  'cancellation',
  'cancellationAck',
] as const;

/** Bits of the first byte of a status payload. */
const IS_LEADER_BIT = 1;
const STATE_STORE_REACHABLE_BIT = 2;
const PREFERS_DIRECT_HEARTBEATS_BIT = 4;
const ACKNOWLEDGES_CANCELLATIONS_BIT = 8;

function writeStatus(writer: FrameWriter, status: PeerStatus): void {
  writer.uint8(
    bitIf(status.isLeader, IS_LEADER_BIT) |
      bitIf(status.stateStoreReachable, STATE_STORE_REACHABLE_BIT) |
      bitIf(status.prefersDirectHeartbeats, PREFERS_DIRECT_HEARTBEATS_BIT) |
      bitIf(status.acknowledgesCancellations, ACKNOWLEDGES_CANCELLATIONS_BIT),
  );
  writer.float64(status.sinceLastHeartbeatMs);
  writer.float64(status.heartbeatsPerSecond);
}

function readStatus(reader: FrameReader): PeerStatus {
  const bits = reader.uint8();
  return {
    sinceLastHeartbeatMs: reader.float64(),
    heartbeatsPerSecond: reader.float64(),
    isLeader: hasBit(bits, IS_LEADER_BIT),
    stateStoreReachable: hasBit(bits, STATE_STORE_REACHABLE_BIT),
    prefersDirectHeartbeats: hasBit(bits, PREFERS_DIRECT_HEARTBEATS_BIT),
    acknowledgesCancellations: hasBit(bits, ACKNOWLEDGES_CANCELLATIONS_BIT),
  };
}

function writePayload(writer: FrameWriter, frame: PeerFrame): void {
  if (frame.kind === 'hello') {
    writer.text(frame.sender);
    return;
  }
  if (frame.kind === 'status') {
    writeStatus(writer, frame.status);
    return;
  }
  writer.float64(frame.id);
  switch (frame.kind) {
    case 'request':
      writeUserRequest(writer, frame.request);
      return;
    case 'requestResponse':
      writeUserResponse(writer, frame.response);
      return;
    case 'heartbeat':
      writeHeartbeat(writer, frame.heartbeat);
      return;
    case 'heartbeatResponse':
      writer.text(frame.machine);
      writeHeartbeatResponse(writer, frame.response);
      return;
    case 'cancellation':
      writer.text(frame.job);
      return;
    case 'cancellationAck':
      return;
  }
}

/** Returns a complete frame, including the header. */
export function encodeFrame(frame: PeerFrame): Buffer {
  const writer = new FrameWriter();
  writePayload(writer, frame);
  return writer.finish(PEER_VERSION, KINDS.indexOf(frame.kind));
}

/** Decodes a payload. Returns null for a kind that this release does not know. */
function decodePayload(kind: number, payload: Buffer): PeerFrame | null {
  const reader = new FrameReader(payload);
  switch (KINDS[kind]) {
    case 'hello':
      return { kind: 'hello', sender: reader.text() };
    case 'status':
      return { kind: 'status', status: readStatus(reader) };
    case 'request':
      return { kind: 'request', id: reader.float64(), request: readUserRequest(reader) };
    case 'requestResponse':
      return { kind: 'requestResponse', id: reader.float64(), response: readUserResponse(reader) };
    case 'heartbeat':
      return { kind: 'heartbeat', id: reader.float64(), heartbeat: readHeartbeat(reader) };
    case 'heartbeatResponse': {
      const id = reader.float64();
      const machine = reader.text<MachineId>();
      return { kind: 'heartbeatResponse', id, machine, response: readHeartbeatResponse(reader) };
    }
    case 'cancellation':
      return { kind: 'cancellation', id: reader.float64(), job: readJobId(reader) };
    case 'cancellationAck':
      return { kind: 'cancellationAck', id: reader.float64() };
    default:
      return null;
  }
}

/**
 * Splits a stream of bytes into frames. Throws `FrameError` on a malformed frame. The caller then closes the
 * connection.
 */
export class FrameSplitter {
  /** The number of frames skipped so far because their kind or version is unknown to this release. */
  skipped = 0;
  private buffered: Buffer = Buffer.alloc(0);

  /** Appends the next chunk of the stream and returns the frames that are now complete. */
  push(chunk: Buffer): PeerFrame[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const frames: PeerFrame[] = [];
    while (this.buffered.length >= FRAME_HEADER_BYTES) {
      const length = this.buffered.readUInt32BE(0);
      if (length < MIN_FRAME_BYTES || length > MAX_FRAME_BYTES) throw new FrameError('frame length out of bounds');
      const end = LENGTH_BYTES + length;
      if (this.buffered.length < end) break;
      const frame = this.decode(this.buffered.subarray(0, end));
      if (frame) frames.push(frame);
      else this.skipped += 1;
      this.buffered = this.buffered.subarray(end);
    }
    return frames;
  }

  private decode(frame: Buffer): PeerFrame | null {
    if (frame.readUInt8(VERSION_OFFSET) !== PEER_VERSION) return null;
    return decodePayload(frame.readUInt8(KIND_OFFSET), frame.subarray(FRAME_HEADER_BYTES));
  }
}
