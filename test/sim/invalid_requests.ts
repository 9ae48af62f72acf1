import type { JobId, JobSpec } from '../../src/core/types.js';
import { type Build, isPresent } from './build.js';
import { makeSpec, type Options } from './job_options.js';
import type { World } from './world.js';

/**
 * The version in production accepts gangs that are to be in one zone and in several. A later old version passes submissions
 * on to it unchecked; the present one never does, so its answers are always judged.
 */
function mayTakeSplitGangs(world: World, asked: Build): boolean {
  if (isPresent(asked)) return false;
  return asked.name === 'production' || world.nodes.some((node) => node.build.name === 'production');
}

/** One of the requests that users should not make, and some make. */
export function sendInvalidRequest(world: World, turn: number): void {
  const { clock, rules } = world;
  const all = [...rules.submitted.values()].filter((spec) => rules.isAccepted(spec.id));
  const id = `job-9${String(clock.now | 0)}${turn}` as JobId;
  const impossible = (shape: JobSpec['kind'], options: Options, excused?: (asked: Build) => boolean): void => {
    const spec = makeSpec(id, shape, options);
    rules.neverRuns.add(id);
    world.request({ op: 'submit', id, spec, problem: '' }, excused);
  };
  switch (turn % 8) {
    case 0:
      impossible('array', { cpus: '1000' });
      return;
    case 1:
      impossible('array', { types: 'nosuch' });
      return;
    case 2:
      impossible(
        'gang',
        { tasks: '3', sameZone: 'yes', spread: 'yes', team: world.options.teams[0]?.name ?? '' },
        (asked) => mayTakeSplitGangs(world, asked),
      );
      return;
    case 3:
      impossible('array', { team: 'nobody' });
      return;
    case 4:
      rules.neverRuns.add(id);
      world.request({ op: 'submit', id, spec: null, problem: 'plumage is not a text' });
      return;
    case 5: {
      const spec = all.length > 0 ? clock.pick(all) : undefined;
      if (spec) world.request({ op: 'submit', id: spec.id, spec, problem: '' });
      return;
    }
    case 6: {
      const done = all.filter((spec) => rules.finalOf(spec.id) === 'done');
      if (done.length > 0) world.request({ op: 'cancel', id: clock.pick(done).id });
      return;
    }
    default:
      world.request({ op: 'poll', id });
  }
}
