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
import { amount, amountOrNull, type Fields, flag, list, oneOf, text, textOrNull, uint64, WireError } from './fields.js';
import { parseJobId } from './job_id.js';

/** Submissions and answers to users, by the names that they have on the wire. */
const SHAPES: Readonly<Record<string, JobKind>> = { batch: 'array', ensemble: 'gang', daemon: 'service' };
const RANKS: Readonly<Record<string, PriorityLevel>> = { low: 0, normal: 1, urgent: 2, critical: 3 };
const JOB_STATUSES = { queued: 'queued', running: 'running', done: 'done', cancelled: 'withdrawn' } as const;
const MAX_TASKS = 100_000;

function taskCount(fields: Fields): number {
  const count = uint64(fields, 'chicks');
  if (count < 1n || count > BigInt(MAX_TASKS)) throw new WireError('chicks is out of range');
  return Number(count);
}

function allowedTypes(fields: Fields): MachineTypeName[] | null {
  if (fields.breeds === undefined || fields.breeds === null) return null;
  const types = list(fields, 'breeds');
  if (types.some((type) => typeof type !== 'string')) throw new WireError('breeds is not a list of texts');
  return types as MachineTypeName[];
}

/** Reads a submission; throws `WireError`, naming the field, where it is malformed. */
export function decodeJob(fields: Fields): JobSpec {
  const id = parseJobId(fields.ref);
  if (!id) throw new WireError('ref is not a job id');
  return {
    id,
    taskCount: taskCount(fields),
    allowedMachineTypes: allowedTypes(fields),
    jobClass: text(fields, 'flock'),
    team: text(fields, 'crew') as TeamName,
    kind: oneOf(fields, 'shape', SHAPES),
    priorityLevel: oneOf(fields, 'rank', RANKS),
    cpus: amount(fields, 'cpus'),
    gpus: amount(fields, 'gpus'),
    memoryGb: amount(fields, 'mem_gb'),
    image: text(fields, 'plumage') as ImageName,
    imageGb: amount(fields, 'image_gb'),
    zone: textOrNull(fields, 'grove') as ZoneName | null,
    singleZone: flag(fields, 'same_place'),
    zoneSpread: flag(fields, 'apart'),
    toleratesSpot: flag(fields, 'loaners'),
    estimatedRuntimeSeconds: amount(fields, 'flight_s'),
    checkpointIntervalSeconds: amount(fields, 'cache_s'),
    checkpointDurationSeconds: amount(fields, 'stash_s'),
    deadlineSeconds: amountOrNull(fields, 'due_s'),
  };
}

export function encodeUserAnswer(answer: UserResponse): Fields {
  if (!('jobStatus' in answer)) return { error: answer.problem };
  return { ref: answer.id, mood: JOB_STATUSES[answer.jobStatus], done: answer.done, running: answer.running };
}
