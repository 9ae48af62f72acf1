/** Invalid and unusual requests that users send. */
import type { JobId, JobSpec } from '../../src/core/types.js';
import { type Build, isCurrent } from './build.js';
import { type JobOptions, makeJobSpec } from './job_options.js';
import type { World } from './world.js';

/**
 * Returns whether a controller of the build may accept a gang that requires both a single zone and a zone spread. The
 * production version does. Other old versions forward submissions unchecked to a controller of the production version.
 * Controllers of the current version check submissions first, so the invariants always check their responses.
 */
function mayAcceptSplitGangs(world: World, build: Build): boolean {
  if (isCurrent(build)) return false;
  return build.name === 'production' || world.controllers.some((controller) => controller.build.name === 'production');
}

/** Sends one of eight kinds of requests that are invalid or have no effect, chosen by `turn`. */
export function sendInvalidRequest(world: World, turn: number): void {
  const { clock, invariants } = world;
  const acceptedJobs = [...invariants.submitted.values()].filter((spec) => invariants.isAccepted(spec.id));
  const id = `job-9${String(clock.now | 0)}${turn}` as JobId;
  const submitInfeasible = (
    kind: JobSpec['kind'],
    options: JobOptions,
    isExcused?: (respondingBuild: Build) => boolean,
  ): void => {
    const spec = makeJobSpec(id, kind, options);
    invariants.infeasibleJobs.add(id);
    world.users.request({ op: 'submit', id, spec, problem: '' }, isExcused);
  };
  switch (turn % 8) {
    case 0:
      submitInfeasible('array', { cpus: '1000' });
      return;
    case 1:
      submitInfeasible('array', { machineTypes: 'nosuch' });
      return;
    case 2:
      submitInfeasible(
        'gang',
        { tasks: '3', singleZone: 'yes', zoneSpread: 'yes', team: world.options.teams[0]?.name ?? '' },
        (respondingBuild) => mayAcceptSplitGangs(world, respondingBuild),
      );
      return;
    case 3:
      submitInfeasible('array', { team: 'nobody' });
      return;
    case 4:
      invariants.infeasibleJobs.add(id);
      world.users.request({ op: 'submit', id, spec: null, problem: 'plumage is not a text' });
      return;
    case 5: {
      const spec = acceptedJobs.length > 0 ? clock.pickRandom(acceptedJobs) : undefined;
      if (spec) world.users.request({ op: 'submit', id: spec.id, spec, problem: '' });
      return;
    }
    case 6: {
      const done = acceptedJobs.filter((spec) => invariants.finalStateOf(spec.id) === 'done');
      if (done.length > 0) world.users.request({ op: 'cancel', id: clock.pickRandom(done).id });
      return;
    }
    default:
      world.users.request({ op: 'query', id });
  }
}
