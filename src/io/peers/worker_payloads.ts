/** Writes and reads the payloads of peer frames that carry forwarded heartbeats and the responses to them. */
import type { HeartbeatResponse } from '../../core/messages.js';
import type {
  AgentEpoch,
  Attempt,
  Command,
  ExitReason,
  FencingToken,
  Heartbeat,
  MachineId,
  MachineTypeName,
  SequenceNumber,
  TaskPhase,
  TaskStatus,
  ZoneName,
} from '../../core/types.js';
import { bitIf, enumValueAt, FrameError, type FrameReader, type FrameWriter, hasBit } from './frame_buffer.js';
import { readJobId } from './job_id_payload.js';

/*
 * An enumeration value is written as its index in one of the lists below. New entries may be added only at the end of a
 * list, and existing entries must not move, because earlier releases read the same indexes.
 */
const TASK_PHASES: readonly TaskPhase[] = ['pulling', 'gathering', 'running', 'checkpointing', 'exited'];
const EXIT_REASONS: readonly (ExitReason | null)[] = [
  null,
  'done',
  'stopped',
  'gang_member_lost',
  'gang_incomplete',
  'error',
  'no_capacity',
  'busy',
  'unknown',
];
const COMMAND_KINDS: readonly Command['op'][] = ['start', 'stop', 'acknowledge'];

/** Bits of the byte that follows the text fields of a heartbeat. */
const SPOT_BIT = 1;
const HAS_INTERRUPTION_NOTICE_BIT = 2;
/** Parts of the byte that holds a task's phase and whether its checkpoint was saved. */
const PHASE_MASK = 15;
const CHECKPOINT_SAVED_BIT = 16;

/** Writes a heartbeat that is forwarded to the leader. */
export function writeHeartbeat(writer: FrameWriter, heartbeat: Heartbeat): void {
  writer.text(heartbeat.machine);
  writer.text(heartbeat.address);
  writer.text(heartbeat.type);
  writer.text(heartbeat.zone);
  writer.uint8(
    bitIf(heartbeat.spot, SPOT_BIT) | bitIf(heartbeat.interruptionNoticeSeconds !== null, HAS_INTERRUPTION_NOTICE_BIT),
  );
  writer.uint64(heartbeat.agentEpoch);
  writer.uint64(heartbeat.sequence);
  writer.uint64(heartbeat.fencingToken);
  writer.float64(heartbeat.interruptionNoticeSeconds ?? 0);
  writer.uint32(heartbeat.tasks.length);
  for (const task of heartbeat.tasks) {
    writer.text(task.job);
    writer.uint32(task.index);
    writer.uint64(task.attempt);
    writer.uint8(TASK_PHASES.indexOf(task.phase) | bitIf(task.checkpointSaved, CHECKPOINT_SAVED_BIT));
    writer.uint8(EXIT_REASONS.indexOf(task.exitReason));
  }
}

function readTaskStatus(reader: FrameReader): TaskStatus {
  const job = readJobId(reader);
  const index = reader.uint32();
  const attempt = reader.uint64<Attempt>();
  const code = reader.uint8();
  const phase = enumValueAt(TASK_PHASES, code & PHASE_MASK);
  return {
    job,
    index,
    attempt,
    phase,
    exitReason: reader.enumValue(EXIT_REASONS),
    checkpointSaved: hasBit(code, CHECKPOINT_SAVED_BIT),
  };
}

/** Reads a heartbeat written by `writeHeartbeat`. Throws `FrameError` if it is malformed. */
export function readHeartbeat(reader: FrameReader): Heartbeat {
  const machine = reader.text<MachineId>();
  const address = reader.text();
  const type = reader.text<MachineTypeName>();
  const zone = reader.text<ZoneName>();
  const bits = reader.uint8();
  const agentEpoch = reader.uint64<AgentEpoch>();
  const sequence = reader.uint64<SequenceNumber>();
  const fencingToken = reader.uint64<FencingToken>();
  const notice = reader.float64();
  const tasks: TaskStatus[] = [];
  for (let left = reader.listLength(); left > 0; left--) tasks.push(readTaskStatus(reader));
  const interruptionNoticeSeconds = hasBit(bits, HAS_INTERRUPTION_NOTICE_BIT) ? notice : null;
  return {
    machine,
    address,
    type,
    zone,
    spot: hasBit(bits, SPOT_BIT),
    agentEpoch,
    sequence,
    fencingToken,
    interruptionNoticeSeconds,
    tasks,
  };
}

/** Writes the leader's response to a forwarded heartbeat. */
export function writeHeartbeatResponse(writer: FrameWriter, response: HeartbeatResponse): void {
  writer.uint32(response.status);
  if (response.status === 421) writer.optionalText(response.redirectTo);
  if (response.status !== 200) return;
  writer.uint64(response.fencingToken);
  writer.uint32(response.commands.length);
  for (const command of response.commands) {
    writer.uint8(COMMAND_KINDS.indexOf(command.op));
    writer.text(command.job);
    writer.uint32(command.index);
    writer.uint64(command.attempt);
    if (command.op === 'stop') writer.float64(command.gracePeriodSeconds);
  }
}

function readCommand(reader: FrameReader): Command {
  const op = reader.enumValue(COMMAND_KINDS);
  const job = readJobId(reader);
  const index = reader.uint32();
  const attempt = reader.uint64<Attempt>();
  return op === 'stop'
    ? { op, job, index, attempt, gracePeriodSeconds: reader.float64() }
    : { op, job, index, attempt };
}

/** Reads a response written by `writeHeartbeatResponse`. Throws `FrameError` if it is malformed. */
export function readHeartbeatResponse(reader: FrameReader): HeartbeatResponse {
  const status = reader.uint32();
  if (status === 503) return { status };
  if (status === 421) return { status, redirectTo: reader.optionalText() };
  if (status !== 200) throw new FrameError('unknown status');
  const fencingToken = reader.uint64<FencingToken>();
  const commands: Command[] = [];
  for (let left = reader.listLength(); left > 0; left--) commands.push(readCommand(reader));
  return { status, fencingToken, commands };
}
