import type { ImageName, JobId, JobSpec, Rank, TeamName, TypeName, ZoneName } from '../../src/core/types.js';

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

export function makeSpec(id: string, shape: JobSpec['shape'], options: Options): JobSpec {
  return {
    id: id as JobId,
    jobClass: options.class ?? 'test',
    team: (options.team ?? 'crew') as TeamName,
    shape,
    rank: num(options, 'rank', 1) as Rank,
    tasks: num(options, 'tasks', 1),
    cpus: num(options, 'cpus', 1),
    gpus: num(options, 'gpus', 0),
    memGb: num(options, 'mem', 1),
    image: (options.image ?? 'img-1') as ImageName,
    imageGb: num(options, 'imageGb', 1),
    types: options.types === undefined ? null : (options.types.split(',') as TypeName[]),
    zone: (options.zone ?? null) as ZoneName | null,
    sameZone: options.sameZone !== undefined,
    spread: options.spread !== undefined,
    spotOk: options.spot !== undefined,
    estimateS: num(options, 'estimate', num(options, 'run', 10)),
    checkpointS: num(options, 'checkpoint', 0),
    saveS: num(options, 'save', 1),
    deadlineS: null,
  };
}
