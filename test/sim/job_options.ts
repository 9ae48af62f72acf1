import type { ImageName, JobId, JobSpec, Rank, TeamName, TypeName, ZoneName } from '../../src/core/types.js';

export type Options = Record<string, string>;

export function readOptions(words: readonly string[]): Options {
  const out: Options = {};
  for (const w of words) {
    const [k, v] = w.split('=');
    if (k !== undefined) out[k] = v ?? 'yes';
  }
  return out;
}

/** A number among the options, or another where it isn't given. */
export const num = (o: Options, key: string, otherwise: number): number =>
  o[key] === undefined ? otherwise : Number(o[key]);

export function makeSpec(id: string, shape: JobSpec['shape'], o: Options): JobSpec {
  return {
    id: id as JobId,
    jobClass: o.class ?? 'test',
    team: (o.team ?? 'crew') as TeamName,
    shape,
    rank: num(o, 'rank', 1) as Rank,
    tasks: num(o, 'tasks', 1),
    cpus: num(o, 'cpus', 1),
    gpus: num(o, 'gpus', 0),
    memGb: num(o, 'mem', 1),
    image: (o.image ?? 'img-1') as ImageName,
    imageGb: num(o, 'imageGb', 1),
    types: o.types === undefined ? null : (o.types.split(',') as TypeName[]),
    zone: (o.zone ?? null) as ZoneName | null,
    sameZone: o.sameZone !== undefined,
    spread: o.spread !== undefined,
    spotOk: o.spot !== undefined,
    estimateS: num(o, 'estimate', num(o, 'run', 10)),
    checkpointS: num(o, 'checkpoint', 0),
    saveS: num(o, 'save', 1),
    deadlineS: null,
  };
}
