/** Writes and reads the payloads of peer frames that carry forwarded user requests and the responses to them. */
import type { JobStatus, UserRequest, UserResponse } from '../../core/messages.js';
import type { JobId, JobSpec, MachineTypeName, ZoneName } from '../../core/types.js';
import { bitIf, FrameError, type FrameReader, type FrameWriter, hasBit } from './frame_buffer.js';
import { readJobId } from './job_id_payload.js';

/*
 * An enumeration value is written as its index in one of the lists below. New entries may be added only at the end of a
 * list, and existing entries must not move, because earlier releases read the same indexes.
 */
const JOB_KINDS = ['array', 'gang', 'service'] as const;
const PRIORITY_LEVELS = [0, 1, 2, 3] as const;
const OPERATIONS = ['submit', 'query', 'cancel'] as const;
const JOB_STATUSES: readonly JobStatus[] = ['queued', 'running', 'done', 'cancelled'];

/** Bits of the byte that holds a job's boolean fields and whether it has a deadline. */
const SINGLE_ZONE_BIT = 1;
const ZONE_SPREAD_BIT = 2;
const TOLERATES_SPOT_BIT = 4;
const HAS_DEADLINE_BIT = 8;
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
  const team = reader.text<JobSpec['team']>();
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
  const image = reader.text<JobSpec['image']>();
  const allowedMachineTypes = readMachineTypes(reader);
  const zone = reader.optionalText<ZoneName>();
  const bits = reader.uint8();
  const deadlineSeconds = reader.float64();
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
    deadlineSeconds: hasBit(bits, HAS_DEADLINE_BIT) ? deadlineSeconds : null,
  };
}

/** Writes a user request that is forwarded to a peer. */
export function writeUserRequest(writer: FrameWriter, request: UserRequest): void {
  writer.uint8(OPERATIONS.indexOf(request.op));
  writer.text(request.id);
  if (request.op !== 'submit') return;
  writer.text(request.problem);
  writer.uint8(request.spec ? 1 : 0);
  if (request.spec) writeJobSpec(writer, request.spec);
}

/** Reads a user request written by `writeUserRequest`. Throws `FrameError` if it is malformed. */
export function readUserRequest(reader: FrameReader): UserRequest {
  const op = reader.enumValue(OPERATIONS);
  const id = readJobId(reader);
  if (op !== 'submit') return { op, id };
  const problem = reader.text();
  return { op, id, problem, spec: reader.uint8() === 1 ? readJobSpec(reader, id) : null };
}

/** Writes the response to a forwarded user request. */
export function writeUserResponse(writer: FrameWriter, response: UserResponse): void {
  writer.uint32(response.status);
  if ('jobStatus' in response) {
    writer.text(response.id);
    writer.uint8(JOB_STATUSES.indexOf(response.jobStatus));
    writer.uint32(response.done);
    writer.uint32(response.running);
  } else {
    writer.text(response.problem);
    writer.uint32(response.retryAfterSeconds ?? 0);
  }
}

/** Reads a response written by `writeUserResponse`. Throws `FrameError` if it is malformed. */
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
