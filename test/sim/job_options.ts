/** Reads the options of jobs in scenarios. */
import type {
  ImageName,
  JobId,
  JobSpec,
  MachineTypeName,
  PriorityLevel,
  TeamName,
  ZoneName,
} from '../../src/core/types.js';

/** The options of a job in a scenario, which docs/scenarios.md describes. */
export const JOB_OPTIONS = [
  'class',
  'team',
  'priorityLevel',
  'tasks',
  'cpus',
  'gpus',
  'memoryGb',
  'image',
  'imageGb',
  'machineTypes',
  'zone',
  'singleZone',
  'zoneSpread',
  'toleratesSpot',
  'runtime',
  'estimatedRuntime',
  'checkpointInterval',
  'checkpointDuration',
  'faulty',
] as const;
/** The values of a job's options, as written in a scenario. Each option has a default. */
export type JobOptions = { [Name in (typeof JOB_OPTIONS)[number]]?: string };

/** Reads words of the form `key=value`, or `key` as short for `key=yes`. */
export function readOptions(words: readonly string[]): Record<string, string> {
  const options: Record<string, string> = {};
  for (const word of words) {
    const [key, value] = word.split('=');
    if (key !== undefined) options[key] = value ?? 'yes';
  }
  return options;
}

/** Reads the options of a job; throws if one is unknown. */
export function readJobOptions(words: readonly string[]): JobOptions {
  const options = readOptions(words);
  const knownOptions: readonly string[] = JOB_OPTIONS;
  const unknown = Object.keys(options).find((name) => !knownOptions.includes(name));
  if (unknown !== undefined) throw new Error(`unknown option ${unknown} of a job`);
  return options;
}

/** The value of a numeric option, or the default if it isn't given. */
export const numberOption = (
  options: Readonly<Record<string, string | undefined>>,
  key: string,
  defaultValue: number,
): number => (options[key] === undefined ? defaultValue : Number(options[key]));

/** The description of a job as a user submits it. Without options it is a single task of ten seconds on one core. */
export function makeJobSpec(id: string, kind: JobSpec['kind'], options: JobOptions): JobSpec {
  return {
    id: id as JobId,
    jobClass: options.class ?? 'test',
    team: (options.team ?? 'crew') as TeamName,
    kind,
    priorityLevel: numberOption(options, 'priorityLevel', 1) as PriorityLevel,
    taskCount: numberOption(options, 'tasks', 1),
    cpus: numberOption(options, 'cpus', 1),
    gpus: numberOption(options, 'gpus', 0),
    memoryGb: numberOption(options, 'memoryGb', 1),
    image: (options.image ?? 'img-1') as ImageName,
    imageGb: numberOption(options, 'imageGb', 1),
    allowedMachineTypes:
      options.machineTypes === undefined ? null : (options.machineTypes.split(',') as MachineTypeName[]),
    zone: (options.zone ?? null) as ZoneName | null,
    singleZone: options.singleZone !== undefined,
    zoneSpread: options.zoneSpread !== undefined,
    toleratesSpot: options.toleratesSpot !== undefined,
    estimatedRuntimeSeconds: numberOption(options, 'estimatedRuntime', numberOption(options, 'runtime', 10)),
    checkpointIntervalSeconds: numberOption(options, 'checkpointInterval', 0),
    checkpointDurationSeconds: numberOption(options, 'checkpointDuration', 1),
    deadlineSeconds: null,
  };
}
