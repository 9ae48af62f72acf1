/**
 * The protocol between controllers: frames of a four-byte length, a version, a kind and a payload.
 *
 * - A frame that is too long or cut short ends its connection.
 * - A frame of an unknown kind or version is skipped: its length says where the next begins.
 * - A payload may be longer than is known here, so that later versions can add to it.
 * - Releases before kind 6 end the connection over an unknown kind, so later kinds go only to peers whose status says that
 *   they know them.
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
/** Version and kind, without a payload. */
const MIN_FRAME_BYTES = 2;

/** What a frame holds: who the sender is, once at the start of a connection, and then its messages. */
export type PeerFrame = { readonly kind: 'hello'; readonly sender: ControllerName } | PeerMessage;

/** A kind's number on the wire is its index here. */
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

/** Bits of the first byte of a status. */
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

/** Returns a whole frame, header included. */
export function encodeFrame(frame: PeerFrame): Buffer {
  const writer = new FrameWriter();
  writePayload(writer, frame);
  return writer.finish(PEER_VERSION, KINDS.indexOf(frame.kind));
}

/** Returns null for a kind that this release doesn't know. */
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

/** Cuts a stream of bytes into frames. Throws `FrameError` on what it can't trust; the connection is then closed. */
export class FrameSplitter {
  /** Frames of kinds or versions that this release doesn't know, skipped so far. */
  skipped = 0;
  private rest: Buffer = Buffer.alloc(0);

  /** Takes the next part of the stream, and returns the frames that are whole by now. */
  push(part: Buffer): PeerFrame[] {
    this.rest = this.rest.length === 0 ? part : Buffer.concat([this.rest, part]);
    const frames: PeerFrame[] = [];
    while (this.rest.length >= FRAME_HEADER_BYTES) {
      const length = this.rest.readUInt32BE(0);
      if (length < MIN_FRAME_BYTES || length > MAX_FRAME_BYTES) throw new FrameError('frame length out of bounds');
      const end = LENGTH_BYTES + length;
      if (this.rest.length < end) break;
      const frame = this.decode(this.rest.subarray(0, end));
      if (frame) frames.push(frame);
      else this.skipped += 1;
      this.rest = this.rest.subarray(end);
    }
    return frames;
  }

  private decode(frame: Buffer): PeerFrame | null {
    if (frame.readUInt8(VERSION_OFFSET) !== PEER_VERSION) return null;
    return decodePayload(frame.readUInt8(KIND_OFFSET), frame.subarray(FRAME_HEADER_BYTES));
  }
}
