import type { CheckTable } from './check.js';

/** What became of machines. */
export const machineChecks: CheckTable = {
  /** used MACHINE ...: some task ran there */
  used(world, ids) {
    const idle = ids.filter((id) => !world.invariants.usedMachines.has(id));
    return idle.length === 0 ? null : `nothing ran on ${idle.join(' ')}`;
  },
  /** gone MACHINE ...: no longer provisioned */
  gone(world, ids) {
    const there = ids.filter((id) => world.cloud.machines.has(id as never));
    return there.length === 0 ? null : `still rented: ${there.join(' ')}`;
  },
  /** machines at-most N: provisioned at the end */
  machines(world, [, wanted]) {
    return world.cloud.machines.size <= Number(wanted)
      ? null
      : `${world.cloud.machines.size} machines, more than ${wanted}`;
  },
  /** provisioned at-most N: so many machines in all */
  provisioned(world, [, wanted]) {
    return world.cloud.provisionedCount <= Number(wanted)
      ? null
      : `${world.cloud.provisionedCount} machines rented, more than ${wanted}`;
  },
  /** quarantined at-most|at-least N: machines that a leader quarantined because tasks failed there */
  quarantined(world, [bound, wanted]) {
    const { quarantinedMachines } = world.meters;
    const holds = bound === 'at-most' ? quarantinedMachines <= Number(wanted) : quarantinedMachines >= Number(wanted);
    return holds ? null : `${quarantinedMachines} machines quarantined, not ${bound} ${wanted}`;
  },
  /** terminated-busy at-most N: machines that were terminated with tasks on them */
  'terminated-busy'(world, [, wanted]) {
    const { terminatedWhileBusy } = world.meters;
    return terminatedWhileBusy <= Number(wanted)
      ? null
      : `${terminatedWhileBusy} machines returned with tasks, more than ${wanted}`;
  },
};
