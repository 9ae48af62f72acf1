import type {
  ImageName,
  JobId,
  JobSpec,
  MachineTypeName,
  PriorityLevel,
  TeamName,
  ZoneName,
} from '../../src/core/types.js';

export type JobOptions = Record<string, string>;

export function readOptions(words: readonly string[]): JobOptions {
  const out: JobOptions = {};
  for (const word of words) {
    const [key, value] = word.split('=');
    if (key !== undefined) out[key] = value ?? 'yes';
  }
  return out;
}

/** A number among the options, or another where it isn't given. */
export const numberOption = (options: JobOptions, key: string, defaultValue: number): number =>
  options[key] === undefined ? defaultValue : Number(options[key]);

export function makeJobSpec(id: string, kind: JobSpec['kind'], options: JobOptions): JobSpec {
  return {
    id: id as JobId,
    jobClass: options.class ?? 'test',
    team: (options.team ?? 'crew') as TeamName,
    kind,
    priorityLevel: numberOption(options, 'rank', 1) as PriorityLevel,
    taskCount: numberOption(options, 'tasks', 1),
    cpus: numberOption(options, 'cpus', 1),
    gpus: numberOption(options, 'gpus', 0),
    memoryGb: numberOption(options, 'mem', 1),
    image: (options.image ?? 'img-1') as ImageName,
    imageGb: numberOption(options, 'imageGb', 1),
    allowedMachineTypes: options.types === undefined ? null : (options.types.split(',') as MachineTypeName[]),
    zone: (options.zone ?? null) as ZoneName | null,
    singleZone: options.sameZone !== undefined,
    zoneSpread: options.spread !== undefined,
    toleratesSpot: options.spot !== undefined,
    estimatedRuntimeSeconds: numberOption(options, 'estimate', numberOption(options, 'run', 10)),
    checkpointIntervalSeconds: numberOption(options, 'checkpoint', 0),
    checkpointDurationSeconds: numberOption(options, 'save', 1),
    deadlineSeconds: null,
  };
}
