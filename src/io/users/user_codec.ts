import type { UserResponse } from '../../core/messages.js';
import type {
  ImageName,
  JobKind,
  JobSpec,
  MachineTypeName,
  PriorityLevel,
  TeamName,
  ZoneName,
} from '../../core/types.js';
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
import { WireError } from '../wire/wire_error.js';

/** Submissions and answers to users, by the names that they have on the wire. */
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

/** Reads a submission; throws `WireError`, naming the field, where it is malformed. */
export function decodeJobSpec(fields: WireMap): JobSpec {
  const id = parseJobId(fields.ref);
  if (!id) throw new WireError('ref is not a job id');
  return {
    id,
    taskCount: decodeTaskCount(fields),
    allowedMachineTypes: decodeAllowedTypes(fields),
    jobClass: textField(fields, 'flock'),
    team: textField(fields, 'crew') as TeamName,
    kind: enumField(fields, 'shape', JOB_KINDS),
    priorityLevel: enumField(fields, 'rank', PRIORITY_LEVELS),
    cpus: amountField(fields, 'cpus'),
    gpus: amountField(fields, 'gpus'),
    memoryGb: amountField(fields, 'mem_gb'),
    image: textField(fields, 'plumage') as ImageName,
    imageGb: amountField(fields, 'image_gb'),
    zone: optionalTextField(fields, 'grove') as ZoneName | null,
    singleZone: booleanField(fields, 'same_place'),
    zoneSpread: booleanField(fields, 'apart'),
    toleratesSpot: booleanField(fields, 'loaners'),
    estimatedRuntimeSeconds: amountField(fields, 'flight_s'),
    checkpointIntervalSeconds: amountField(fields, 'cache_s'),
    checkpointDurationSeconds: amountField(fields, 'stash_s'),
    deadlineSeconds: optionalAmountField(fields, 'due_s'),
  };
}

export function encodeUserResponse(answer: UserResponse): WireMap {
  if (!('jobStatus' in answer)) return { error: answer.problem };
  return { ref: answer.id, mood: JOB_STATUSES[answer.jobStatus], done: answer.done, running: answer.running };
}
