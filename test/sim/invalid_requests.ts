import type { JobId, JobSpec } from '../../src/core/types.js';
import { type Build, isCurrent } from './build.js';
import { type JobOptions, makeJobSpec } from './job_options.js';
import type { World } from './world.js';

/**
 * The version in production accepts gangs that are to be in one zone and in several. A later old version passes submissions
 * on to it unchecked; the present one never does, so its answers are always judged.
 */
function mayAcceptSplitGangs(world: World, asked: Build): boolean {
  if (isCurrent(asked)) return false;
  return asked.name === 'production' || world.controllers.some((node) => node.build.name === 'production');
}

/** One of the requests that users should not make, and some make. */
export function sendInvalidRequest(world: World, turn: number): void {
  const { clock, invariants } = world;
  const all = [...invariants.submitted.values()].filter((spec) => invariants.isAccepted(spec.id));
  const id = `job-9${String(clock.now | 0)}${turn}` as JobId;
  const impossible = (shape: JobSpec['kind'], options: JobOptions, excused?: (asked: Build) => boolean): void => {
    const spec = makeJobSpec(id, shape, options);
    invariants.infeasibleJobs.add(id);
    world.users.request({ op: 'submit', id, spec, problem: '' }, excused);
  };
  switch (turn % 8) {
    case 0:
      impossible('array', { cpus: '1000' });
      return;
    case 1:
      impossible('array', { machineTypes: 'nosuch' });
      return;
    case 2:
      impossible(
        'gang',
        { tasks: '3', singleZone: 'yes', zoneSpread: 'yes', team: world.options.teams[0]?.name ?? '' },
        (asked) => mayAcceptSplitGangs(world, asked),
      );
      return;
    case 3:
      impossible('array', { team: 'nobody' });
      return;
    case 4:
      invariants.infeasibleJobs.add(id);
      world.users.request({ op: 'submit', id, spec: null, problem: 'plumage is not a text' });
      return;
    case 5: {
      const spec = all.length > 0 ? clock.pickRandom(all) : undefined;
      if (spec) world.users.request({ op: 'submit', id: spec.id, spec, problem: '' });
      return;
    }
    case 6: {
      const done = all.filter((spec) => invariants.finalStateOf(spec.id) === 'done');
      if (done.length > 0) world.users.request({ op: 'cancel', id: clock.pickRandom(done).id });
      return;
    }
    default:
      world.users.request({ op: 'query', id });
  }
}
