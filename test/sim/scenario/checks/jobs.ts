/** Checks on the final states, waits and starts of jobs. */
import type { JobId } from '../../../../src/core/types.js';
import { servedShares } from '../../served_jobs.js';
import type { CheckTable } from './check.js';

/** Checks on jobs. */
export const jobChecks: CheckTable = {
  /** done JOB ...: users received the state `done` for each of them */
  done(world, ids) {
    const open = ids.filter((id) => world.invariants.finalStateOf(id as JobId) !== 'done');
    return open.length === 0 ? null : `not reported as done to the user: ${open.join(' ')}`;
  },
  /** cancelled JOB ...: users received the state `cancelled` for each of them */
  cancelled(world, ids) {
    const open = ids.filter((id) => world.invariants.finalStateOf(id as JobId) !== 'cancelled');
    return open.length === 0 ? null : `not reported as cancelled to the user: ${open.join(' ')}`;
  },
  /** cancelled-of N JOB ...: users received the state `cancelled` for at least N of them */
  'cancelled-of'(world, [wanted, ...ids]) {
    const cancelled = ids.filter((id) => world.invariants.finalStateOf(id as JobId) === 'cancelled');
    return cancelled.length >= Number(wanted)
      ? null
      : `only ${cancelled.length} of the jobs reported as cancelled to the user`;
  },
  /** accepted JOB ...: users were told that each of them is accepted */
  accepted(world, ids) {
    const open = ids.filter((id) => !world.invariants.isAccepted(id as JobId));
    return open.length === 0 ? null : `not accepted: ${open.join(' ')}`;
  },
  /** refused JOB ...: users were told that each of them can never run */
  refused(world, ids) {
    const notRefused = ids.filter((id) => !world.invariants.refusedJobs.has(id as JobId));
    return notRefused.length === 0 ? null : `not refused: ${notRefused.join(' ')}`;
  },
  /** running JOB ...: each was accepted and never reported as done or cancelled */
  running(world, ids) {
    const notRunning = ids.filter(
      (id) => !world.invariants.isAccepted(id as JobId) || world.invariants.finalStateOf(id as JobId),
    );
    return notRunning.length === 0 ? null : `not accepted, or reported as done or cancelled: ${notRunning.join(' ')}`;
  },
  /** started-within S JOB ...: the first task of each started within S seconds after its submission */
  'started-within'(world, [seconds, ...ids]) {
    const late = ids.filter(
      (id) =>
        !world.invariants.hasStarted(id as JobId) || world.invariants.waitMs(id as JobId) > Number(seconds) * 1000,
    );
    const told = late.map((id) => `${id} after ${(world.invariants.waitMs(id as JobId) / 1000).toFixed(0)} s`);
    return late.length === 0 ? null : `not started in time: ${told.join(', ')}`;
  },
  /** done-within S JOB ...: users received the state `done` within S seconds after the submission of each */
  'done-within'(world, [seconds, ...ids]) {
    const late = ids.filter((id) => world.invariants.turnaroundMs(id as JobId) > Number(seconds) * 1000);
    const told = late.map((id) => `${id} after ${(world.invariants.turnaroundMs(id as JobId) / 1000).toFixed(0)} s`);
    return late.length === 0 ? null : `not done in time: ${told.join(', ')}`;
  },
  /** stopped-within S JOB ...: no task is on any machine S seconds after its user received the state `cancelled` */
  'stopped-within'(world, [seconds, ...ids]) {
    const late = ids.filter((id) => world.invariants.cancellationToStopMs(id as JobId) > Number(seconds) * 1000);
    return late.length === 0 ? null : `not stopped in time after the reported cancellation: ${late.join(' ')}`;
  },
  /** starts at-most N: the number of task starts of all jobs together */
  starts(world, [, wanted]) {
    return world.invariants.starts <= Number(wanted)
      ? null
      : `${world.invariants.starts} starts, expected at most ${wanted}`;
  },
  /** starts-of at-most N JOB ...: the number of task starts of each job */
  'starts-of'(world, [, wanted, ...ids]) {
    const started = (id: string): number => world.invariants.startsByJob.get(id as JobId) ?? 0;
    const exceeding = ids.filter((id) => started(id) > Number(wanted)).map((id) => `${id} ${started(id)} times`);
    return exceeding.length === 0 ? null : `started too often: ${exceeding.join(', ')}`;
  },
  /** starts-after-cancellation at-most N: the number of task starts after the user received the state `cancelled` */
  'starts-after-cancellation'(world, [, wanted]) {
    const late = world.invariants.startsAfterCancellation;
    return late <= Number(wanted) ? null : `${late} starts after a confirmed cancellation, expected at most ${wanted}`;
  },
  /**
   * served SHARE: the minimum share of accepted, uncancelled arrays and gangs that are done, in every class, in every
   * team and among the largest jobs of every class
   */
  served(world, [share]) {
    const low = [...servedShares(world.invariants)].filter(([, part]) => part < Number(share));
    return low.length === 0
      ? null
      : low.map(([key, part]) => `${key}: a share of only ${part.toFixed(2)} was done`).join(', ');
  },
  /** no-tasks: no machine has tasks at the end */
  'no-tasks'(world) {
    const left = [...world.invariants.tasksOnMachines.values()].reduce((sum, tasks) => sum + tasks.size, 0);
    return left === 0 ? null : `${left} tasks still on machines`;
  },
};
