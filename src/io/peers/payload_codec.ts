import type { HeartbeatResponse, JobStatus, UserRequest, UserResponse } from '../../core/messages.js';
import type {
  AgentEpoch,
  Attempt,
  Command,
  ControllerName,
  ExitReason,
  FencingToken,
  Heartbeat,
  JobId,
  JobSpec,
  MachineId,
  MachineTypeName,
  SequenceNumber,
  TaskPhase,
  TaskStatus,
  ZoneName,
} from '../../core/types.js';
import { parseJobId } from '../wire/job_id.js';
import { enumValueAt, FrameError, type FrameReader, type FrameWriter } from './frame_buffer.js';

/**
 * The payloads that peers exchange. A value of an enumeration is written as its index in a list below: entries may be
 * added at the end of a list, and none may move, as earlier versions read the same numbers.
 */
const JOB_KINDS = ['array', 'gang', 'service'] as const;
const PRIORITY_LEVELS = [0, 1, 2, 3] as const;
const OPERATIONS = ['submit', 'query', 'cancel'] as const;
const JOB_STATUSES: readonly JobStatus[] = ['queued', 'running', 'done', 'cancelled'];
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

/** Bits of the byte that holds a job's yes-or-no fields. */
const SINGLE_ZONE_BIT = 1;
const ZONE_SPREAD_BIT = 2;
const TOLERATES_SPOT_BIT = 4;
const HAS_DEADLINE_BIT = 8;
/** Bits of the byte that follows a report's names. */
const SPOT_BIT = 1;
const HAS_INTERRUPTION_NOTICE_BIT = 2;
/** A task's phase shares its byte with whether its progress was saved. */
const PHASE_MASK = 15;
const CHECKPOINT_SAVED_BIT = 16;

const bitIf = (set: boolean, value: number): number => (set ? value : 0);
const hasBit = (bits: number, value: number): boolean => (bits & value) !== 0;

export function readJobId(reader: FrameReader): JobId {
  const id = parseJobId(reader.text());
  if (!id) throw new FrameError('not a job id');
  return id;
}

function writeJobSpec(writer: FrameWriter, spec: JobSpec): void {
  writer.text(spec.jobClass);
  writer.text(spec.team);
  writer.uint8(JOB_KINDS.indexOf(spec.kind));
  writer.uint8(spec.priorityLevel);
  writer.uint32(spec.taskCount);
  writer.float64(spec.cpus);
  writer.float64(spec.gpus);
  writer.float64(spec.memoryGb);
  writer.float64(spec.imageGb);
  writer.float64(spec.estimatedRuntimeSeconds);
  writer.float64(spec.checkpointIntervalSeconds);
  writer.float64(spec.checkpointDurationSeconds);
  writer.text(spec.image);
  writer.optionalText(spec.allowedMachineTypes === null ? null : spec.allowedMachineTypes.join('\n'));
  writer.optionalText(spec.zone);
  writer.uint8(
    bitIf(spec.singleZone, SINGLE_ZONE_BIT) |
      bitIf(spec.zoneSpread, ZONE_SPREAD_BIT) |
      bitIf(spec.toleratesSpot, TOLERATES_SPOT_BIT) |
      bitIf(spec.deadlineSeconds !== null, HAS_DEADLINE_BIT),
  );
  writer.float64(spec.deadlineSeconds ?? 0);
}

function readMachineTypes(reader: FrameReader): MachineTypeName[] | null {
  const types = reader.optionalText();
  if (types === null) return null;
  return types === '' ? [] : (types.split('\n') as MachineTypeName[]);
}

function readJobSpec(reader: FrameReader, id: JobId): JobSpec {
  const jobClass = reader.text();
  const team = reader.text() as JobSpec['team'];
  const kind = reader.enumValue(JOB_KINDS);
  const priorityLevel = reader.enumValue(PRIORITY_LEVELS);
  const taskCount = reader.uint32();
  const cpus = reader.float64();
  const gpus = reader.float64();
  const memoryGb = reader.float64();
  const imageGb = reader.float64();
  const estimatedRuntimeSeconds = reader.float64();
  const checkpointIntervalSeconds = reader.float64();
  const checkpointDurationSeconds = reader.float64();
  const image = reader.text() as JobSpec['image'];
  const allowedMachineTypes = readMachineTypes(reader);
  const zone = reader.optionalText() as JobSpec['zone'];
  const bits = reader.uint8();
  const deadlineS = reader.float64();
  return {
    id,
    jobClass,
    team,
    kind,
    priorityLevel,
    taskCount,
    cpus,
    gpus,
    memoryGb,
    image,
    imageGb,
    allowedMachineTypes,
    zone,
    singleZone: hasBit(bits, SINGLE_ZONE_BIT),
    zoneSpread: hasBit(bits, ZONE_SPREAD_BIT),
    toleratesSpot: hasBit(bits, TOLERATES_SPOT_BIT),
    estimatedRuntimeSeconds,
    checkpointIntervalSeconds,
    checkpointDurationSeconds,
    deadlineSeconds: hasBit(bits, HAS_DEADLINE_BIT) ? deadlineS : null,
  };
}

export function writeUserRequest(writer: FrameWriter, request: UserRequest): void {
  writer.uint8(OPERATIONS.indexOf(request.op));
  writer.text(request.id);
  if (request.op !== 'submit') return;
  writer.text(request.problem);
  writer.uint8(request.spec ? 1 : 0);
  if (request.spec) writeJobSpec(writer, request.spec);
}

export function readUserRequest(reader: FrameReader): UserRequest {
  const op = reader.enumValue(OPERATIONS);
  const id = readJobId(reader);
  if (op !== 'submit') return { op, id };
  const problem = reader.text();
  return { op, id, problem, spec: reader.uint8() === 1 ? readJobSpec(reader, id) : null };
}

export function writeUserResponse(writer: FrameWriter, answer: UserResponse): void {
  writer.uint32(answer.status);
  if ('jobStatus' in answer) {
    writer.text(answer.id);
    writer.uint8(JOB_STATUSES.indexOf(answer.jobStatus));
    writer.uint32(answer.done);
    writer.uint32(answer.running);
  } else {
    writer.text(answer.problem);
    writer.uint32(answer.retryAfterSeconds ?? 0);
  }
}

export function readUserResponse(reader: FrameReader): UserResponse {
  const status = reader.uint32();
  if (status === 200 || status === 201) {
    const id = readJobId(reader);
    const jobStatus = reader.enumValue(JOB_STATUSES);
    return { status, id, jobStatus, done: reader.uint32(), running: reader.uint32() };
  }
  if (status !== 400 && status !== 404 && status !== 422 && status !== 503) throw new FrameError('unknown status');
  const problem = reader.text();
  const retryAfterSeconds = reader.uint32();
  return retryAfterSeconds > 0 ? { status, problem, retryAfterSeconds } : { status, problem };
}

export function writeHeartbeat(writer: FrameWriter, report: Heartbeat): void {
  writer.text(report.machine);
  writer.text(report.address);
  writer.text(report.type);
  writer.text(report.zone);
  writer.uint8(
    bitIf(report.spot, SPOT_BIT) | bitIf(report.interruptionNoticeSeconds !== null, HAS_INTERRUPTION_NOTICE_BIT),
  );
  writer.uint64(report.agentEpoch);
  writer.uint64(report.sequence);
  writer.uint64(report.fencingToken);
  writer.float64(report.interruptionNoticeSeconds ?? 0);
  writer.uint32(report.tasks.length);
  for (const task of report.tasks) {
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
  const attempt = reader.uint64() as Attempt;
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

export function readHeartbeat(reader: FrameReader): Heartbeat {
  const machine = reader.text() as MachineId;
  const address = reader.text();
  const type = reader.text() as MachineTypeName;
  const zone = reader.text() as ZoneName;
  const bits = reader.uint8();
  const agentEpoch = reader.uint64() as AgentEpoch;
  const sequence = reader.uint64() as SequenceNumber;
  const fencingToken = reader.uint64() as FencingToken;
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

export function writeHeartbeatResponse(writer: FrameWriter, answer: HeartbeatResponse): void {
  writer.uint32(answer.status);
  if (answer.status === 421) writer.optionalText(answer.redirectTo);
  if (answer.status !== 200) return;
  writer.uint64(answer.fencingToken);
  writer.uint32(answer.commands.length);
  for (const command of answer.commands) {
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
  const attempt = reader.uint64() as Attempt;
  return op === 'stop'
    ? { op, job, index, attempt, gracePeriodSeconds: reader.float64() }
    : { op, job, index, attempt };
}

export function readHeartbeatResponse(reader: FrameReader): HeartbeatResponse {
  const status = reader.uint32();
  if (status === 503) return { status };
  if (status === 421) return { status, redirectTo: reader.optionalText() as ControllerName | null };
  if (status !== 200) throw new FrameError('unknown status');
  const fencingToken = reader.uint64() as FencingToken;
  const commands: Command[] = [];
  for (let left = reader.listLength(); left > 0; left--) commands.push(readCommand(reader));
  return { status, fencingToken, commands };
}
