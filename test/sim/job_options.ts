import type {
  ImageName,
  JobId,
  JobSpec,
  MachineTypeName,
  PriorityLevel,
  TeamName,
  ZoneName,
} from '../../src/core/types.js';

export type Options = Record<string, string>;

export function readOptions(words: readonly string[]): Options {
  const out: Options = {};
  for (const word of words) {
    const [key, value] = word.split('=');
    if (key !== undefined) out[key] = value ?? 'yes';
  }
  return out;
}

/** A number among the options, or another where it isn't given. */
export const num = (options: Options, key: string, otherwise: number): number =>
  options[key] === undefined ? otherwise : Number(options[key]);

export function makeSpec(id: string, kind: JobSpec['kind'], options: Options): JobSpec {
  return {
    id: id as JobId,
    jobClass: options.class ?? 'test',
    team: (options.team ?? 'crew') as TeamName,
    kind,
    priorityLevel: num(options, 'rank', 1) as PriorityLevel,
    taskCount: num(options, 'tasks', 1),
    cpus: num(options, 'cpus', 1),
    gpus: num(options, 'gpus', 0),
    memoryGb: num(options, 'mem', 1),
    image: (options.image ?? 'img-1') as ImageName,
    imageGb: num(options, 'imageGb', 1),
    allowedMachineTypes: options.types === undefined ? null : (options.types.split(',') as MachineTypeName[]),
    zone: (options.zone ?? null) as ZoneName | null,
    singleZone: options.sameZone !== undefined,
    zoneSpread: options.spread !== undefined,
    toleratesSpot: options.spot !== undefined,
    estimatedRuntimeSeconds: num(options, 'estimate', num(options, 'run', 10)),
    checkpointIntervalSeconds: num(options, 'checkpoint', 0),
    checkpointDurationSeconds: num(options, 'save', 1),
    deadlineSeconds: null,
  };
}
