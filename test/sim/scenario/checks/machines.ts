/** Checks on the use, provisioning and termination of machines. */
import type { CheckTable } from './check.js';

/** Checks on machines. */
export const machineChecks: CheckTable = {
  /** used MACHINE ...: at least one task ran on each */
  used(world, ids) {
    const idle = ids.filter((id) => !world.invariants.usedMachines.has(id));
    return idle.length === 0 ? null : `no task ran on ${idle.join(' ')}`;
  },
  /** gone MACHINE ...: none is provisioned any more */
  gone(world, ids) {
    const there = ids.filter((id) => world.cloud.machines.has(id as never));
    return there.length === 0 ? null : `still provisioned: ${there.join(' ')}`;
  },
  /** machines at-most N: the number of provisioned machines at the end */
  machines(world, [, wanted]) {
    return world.cloud.machines.size <= Number(wanted)
      ? null
      : `${world.cloud.machines.size} machines provisioned at the end, expected at most ${wanted}`;
  },
  /** provisioned at-most N: the number of machines provisioned on request during the scenario */
  provisioned(world, [, wanted]) {
    return world.cloud.provisionedCount <= Number(wanted)
      ? null
      : `${world.cloud.provisionedCount} machines provisioned in total, expected at most ${wanted}`;
  },
  /** quarantined at-most|at-least N: the number of machines that a leader drained because tasks failed on them */
  quarantined(world, [bound, wanted]) {
    const { drainedFaultyMachines } = world.meters;
    const holds =
      bound === 'at-most' ? drainedFaultyMachines <= Number(wanted) : drainedFaultyMachines >= Number(wanted);
    return holds ? null : `${drainedFaultyMachines} machines drained for failing tasks, expected ${bound} ${wanted}`;
  },
  /** terminated-busy at-most N: the number of machines that were terminated with tasks on them */
  'terminated-busy'(world, [, wanted]) {
    const { terminatedWhileBusy } = world.meters;
    return terminatedWhileBusy <= Number(wanted)
      ? null
      : `${terminatedWhileBusy} machines terminated with tasks on them, expected at most ${wanted}`;
  },
};
