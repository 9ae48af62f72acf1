/** Translates submissions and responses to and from the wire names of the users' protocol, and defines its paths. */
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

/** The path to which jobs are submitted. The path of a job is this path followed by its id. */
export const JOBS_PATH = '/v2/runs';
/** The suffix that is added to the path of a job to cancel the job. */
export const CANCEL_SUFFIX = '/withdraw';
/** Patterns of all paths of the protocol, regardless of the method. */
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

/** Decodes the job that a submission describes. Throws `WireError`, which names the field, if the job is malformed. */
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
 * Decodes a submission. A malformed submission with a valid job id is returned with the problem and a `spec` of null,
 * because the response to a repeated submission of a known job is the job's state even if the body is malformed.
 * Throws `WireError` if the job id is missing or malformed.
 */
export function decodeSubmission(fields: WireMap): Extract<UserRequest, { op: 'submit' }> {
  const id = decodeJobId(fields);
  try {
    return { op: 'submit', id, spec: decodeJobSpec(fields), problem: '' };
  } catch (error) {
    return { op: 'submit', id, spec: null, problem: problemOf(error) };
  }
}

/** Returns the body of a response. The status and the `Retry-After` header are not part of the body. */
export function encodeUserResponse(response: UserResponse): WireMap {
  if (!('jobStatus' in response)) return { error: response.problem };
  const { id, jobStatus, done, running } = response;
  return { ref: id, mood: JOB_STATUSES[jobStatus], done, running };
}
