/** The users' protocol: paths, submissions and responses, by the names that they have on the wire. */
import type { UserRequest, UserResponse } from '../../core/messages.js';
import type { JobId, JobKind, JobSpec, MachineTypeName, PriorityLevel } from '../../core/types.js';
import {
  amountField,
  booleanField,
  enumField,
  listField,
  optionalAmountField,
  optionalTextField,
  textField,
  uint64Field,
  type WireMap,
} from '../wire/fields.js';
import { parseJobId } from '../wire/job_id.js';
import { problemOf, WireError } from '../wire/wire_error.js';

/** Where jobs are submitted; a job's own path is below it. */
export const JOBS_PATH = '/v2/runs';
/** What follows a job's path where it is cancelled. */
export const CANCEL_SUFFIX = '/withdraw';
/** All paths of the protocol, for any method. */
export const USER_PATHS: readonly RegExp[] = [/^\/v2\/runs(\/[^/]+(\/withdraw)?)?$/];

const JOB_KINDS: Readonly<Record<string, JobKind>> = { batch: 'array', ensemble: 'gang', daemon: 'service' };
const PRIORITY_LEVELS: Readonly<Record<string, PriorityLevel>> = { low: 0, normal: 1, urgent: 2, critical: 3 };
const JOB_STATUSES = { queued: 'queued', running: 'running', done: 'done', cancelled: 'withdrawn' } as const;
const MAX_TASKS = 100_000;

function decodeTaskCount(fields: WireMap): number {
  const count = uint64Field(fields, 'chicks');
  if (count < 1n || count > BigInt(MAX_TASKS)) throw new WireError('chicks is out of range');
  return Number(count);
}

function decodeAllowedTypes(fields: WireMap): MachineTypeName[] | null {
  if (fields.breeds === undefined || fields.breeds === null) return null;
  const types = listField(fields, 'breeds');
  if (types.some((type) => typeof type !== 'string')) throw new WireError('breeds is not a list of texts');
  return types as MachineTypeName[];
}

function decodeJobId(fields: WireMap): JobId {
  const id = parseJobId(fields.ref);
  if (!id) throw new WireError('ref is not a job id');
  return id;
}

/** Reads the job that a submission describes; throws `WireError`, naming the field, where it is malformed. */
export function decodeJobSpec(fields: WireMap): JobSpec {
  return {
    id: decodeJobId(fields),
    taskCount: decodeTaskCount(fields),
    allowedMachineTypes: decodeAllowedTypes(fields),
    jobClass: textField(fields, 'flock'),
    team: textField(fields, 'crew'),
    kind: enumField(fields, 'shape', JOB_KINDS),
    priorityLevel: enumField(fields, 'rank', PRIORITY_LEVELS),
    cpus: amountField(fields, 'cpus'),
    gpus: amountField(fields, 'gpus'),
    memoryGb: amountField(fields, 'mem_gb'),
    image: textField(fields, 'plumage'),
    imageGb: amountField(fields, 'image_gb'),
    zone: optionalTextField(fields, 'grove'),
    singleZone: booleanField(fields, 'same_place'),
    zoneSpread: booleanField(fields, 'apart'),
    toleratesSpot: booleanField(fields, 'loaners'),
    estimatedRuntimeSeconds: amountField(fields, 'flight_s'),
    checkpointIntervalSeconds: amountField(fields, 'cache_s'),
    checkpointDurationSeconds: amountField(fields, 'stash_s'),
    deadlineSeconds: optionalAmountField(fields, 'due_s'),
  };
}

/**
 * Reads a submission. One that is malformed still comes back, without its job and with the problem, as long as it has an id:
 * a job that is known is answered with its state whatever the body of the repeat. Throws `WireError` if it has none.
 */
export function decodeSubmission(fields: WireMap): Extract<UserRequest, { op: 'submit' }> {
  const id = decodeJobId(fields);
  try {
    return { op: 'submit', id, spec: decodeJobSpec(fields), problem: '' };
  } catch (error) {
    return { op: 'submit', id, spec: null, problem: problemOf(error) };
  }
}

/** Returns the body of a response; its status and its `Retry-After` go into the head. */
export function encodeUserResponse(response: UserResponse): WireMap {
  if (!('jobStatus' in response)) return { error: response.problem };
  const { id, jobStatus, done, running } = response;
  return { ref: id, mood: JOB_STATUSES[jobStatus], done, running };
}
