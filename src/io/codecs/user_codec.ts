import type { UserAnswer } from '../../core/messages.js';
import type { ImageName, JobSpec, Rank, Shape, TeamName, TypeName, ZoneName } from '../../core/types.js';
import { amount, amountOrNull, type Fields, flag, list, oneOf, text, textOrNull, uint64, WireError } from './fields.js';
import { parseJobId } from './job_id.js';

/** Submissions and answers to users, by the names that they have on the wire. */
const SHAPES: Readonly<Record<string, Shape>> = { batch: 'array', ensemble: 'gang', daemon: 'service' };
const RANKS: Readonly<Record<string, Rank>> = { low: 0, normal: 1, urgent: 2, critical: 3 };
const JOB_STATUSES = { queued: 'queued', running: 'running', done: 'done', cancelled: 'withdrawn' } as const;
const MAX_TASKS = 100_000;

function taskCount(fields: Fields): number {
  const count = uint64(fields, 'chicks');
  if (count < 1n || count > BigInt(MAX_TASKS)) throw new WireError('chicks is out of range');
  return Number(count);
}

function allowedTypes(fields: Fields): TypeName[] | null {
  if (fields.breeds === undefined || fields.breeds === null) return null;
  const types = list(fields, 'breeds');
  if (types.some((type) => typeof type !== 'string')) throw new WireError('breeds is not a list of texts');
  return types as TypeName[];
}

/** Reads a submission; throws `WireError`, naming the field, where it is malformed. */
export function decodeJob(fields: Fields): JobSpec {
  const id = parseJobId(fields.ref);
  if (!id) throw new WireError('ref is not a job id');
  return {
    id,
    tasks: taskCount(fields),
    types: allowedTypes(fields),
    jobClass: text(fields, 'flock'),
    team: text(fields, 'crew') as TeamName,
    shape: oneOf(fields, 'shape', SHAPES),
    rank: oneOf(fields, 'rank', RANKS),
    cpus: amount(fields, 'cpus'),
    gpus: amount(fields, 'gpus'),
    memGb: amount(fields, 'mem_gb'),
    image: text(fields, 'plumage') as ImageName,
    imageGb: amount(fields, 'image_gb'),
    zone: textOrNull(fields, 'grove') as ZoneName | null,
    sameZone: flag(fields, 'same_place'),
    spread: flag(fields, 'apart'),
    spotOk: flag(fields, 'loaners'),
    estimateS: amount(fields, 'flight_s'),
    checkpointS: amount(fields, 'cache_s'),
    saveS: amount(fields, 'stash_s'),
    deadlineS: amountOrNull(fields, 'due_s'),
  };
}

export function encodeUserAnswer(answer: UserAnswer): Fields {
  if (!('jobStatus' in answer)) return { error: answer.problem };
  return { ref: answer.id, mood: JOB_STATUSES[answer.jobStatus], done: answer.done, running: answer.running };
}
