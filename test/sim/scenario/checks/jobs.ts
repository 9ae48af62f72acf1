import type { JobId } from '../../../../src/core/types.js';
import { servedShares } from '../../served_jobs.js';
import type { CheckTable } from './check.js';

/** What became of jobs. */
export const jobChecks: CheckTable = {
  /** done JOB ...: their users were told so */
  done(world, ids) {
    const open = ids.filter((id) => world.invariants.finalStateOf(id as JobId) !== 'done');
    return open.length === 0 ? null : `not told done: ${open.join(' ')}`;
  },
  /** cancelled JOB ...: their users were told so */
  cancelled(world, ids) {
    const open = ids.filter((id) => world.invariants.finalStateOf(id as JobId) !== 'cancelled');
    return open.length === 0 ? null : `not told cancelled: ${open.join(' ')}`;
  },
  /** cancelled-of N JOB ...: at least so many of them were cancelled */
  'cancelled-of'(world, [wanted, ...ids]) {
    const gone = ids.filter((id) => world.invariants.finalStateOf(id as JobId) === 'cancelled');
    return gone.length >= Number(wanted) ? null : `only ${gone.length} cancelled`;
  },
  /** accepted JOB ...: their users were told so */
  accepted(world, ids) {
    const open = ids.filter((id) => !world.invariants.isAccepted(id as JobId));
    return open.length === 0 ? null : `not accepted: ${open.join(' ')}`;
  },
  /** refused JOB ...: answered that they can never run */
  refused(world, ids) {
    const taken = ids.filter((id) => !world.invariants.refusedJobs.has(id as JobId));
    return taken.length === 0 ? null : `not refused: ${taken.join(' ')}`;
  },
  /** running JOB ...: accepted and never told to be over */
  running(world, ids) {
    const over = ids.filter(
      (id) => !world.invariants.isAccepted(id as JobId) || world.invariants.finalStateOf(id as JobId),
    );
    return over.length === 0 ? null : `over: ${over.join(' ')}`;
  },
  /** started-within S JOB ...: its first task started that long after it was submitted */
  'started-within'(world, [seconds, ...ids]) {
    const late = ids.filter(
      (id) =>
        !world.invariants.hasStarted(id as JobId) || world.invariants.waitMs(id as JobId) > Number(seconds) * 1000,
    );
    const told = late.map((id) => `${id} after ${(world.invariants.waitMs(id as JobId) / 1000).toFixed(0)} s`);
    return late.length === 0 ? null : `not begun in time: ${told.join(', ')}`;
  },
  /** done-within S JOB ...: told so, that long after it was submitted */
  'done-within'(world, [seconds, ...ids]) {
    const late = ids.filter((id) => world.invariants.turnaroundMs(id as JobId) > Number(seconds) * 1000);
    const told = late.map((id) => `${id} after ${(world.invariants.turnaroundMs(id as JobId) / 1000).toFixed(0)} s`);
    return late.length === 0 ? null : `not done in time: ${told.join(', ')}`;
  },
  /** stopped-within S JOB ...: no task on any machine, that long after its user was told that it is cancelled */
  'stopped-within'(world, [seconds, ...ids]) {
    const late = ids.filter((id) => world.invariants.stopMs(id as JobId) > Number(seconds) * 1000);
    return late.length === 0 ? null : `not gone in time: ${late.join(' ')}`;
  },
  /** starts at-most N: of all jobs together */
  starts(world, [, wanted]) {
    return world.invariants.starts <= Number(wanted) ? null : `${world.invariants.starts} starts, more than ${wanted}`;
  },
  /** starts-of at-most N JOB ...: each of them */
  'starts-of'(world, [, wanted, ...ids]) {
    const started = (id: string): number => world.invariants.startsByJob.get(id as JobId) ?? 0;
    const often = ids.filter((id) => started(id) > Number(wanted)).map((id) => `${id} ${started(id)} times`);
    return often.length === 0 ? null : `started too often: ${often.join(', ')}`;
  },
  /** starts-after-cancellation at-most N: starts after the user was told that the job is cancelled */
  'starts-after-cancellation'(world, [, wanted]) {
    const late = world.invariants.startsAfterCancellation;
    return late <= Number(wanted) ? null : `${late} starts after a confirmed cancellation, more than ${wanted}`;
  },
  /** served SHARE: of every class, every team and every class's largest jobs */
  served(world, [share]) {
    const low = [...servedShares(world.invariants)].filter(([, part]) => part < Number(share));
    return low.length === 0 ? null : low.map(([key, part]) => `${key}: ${part.toFixed(2)} served`).join(', ');
  },
  /** no-tasks: no machine has any at the end */
  'no-tasks'(world) {
    const left = [...world.invariants.tasksOnMachines.values()].reduce((sum, tasks) => sum + tasks.size, 0);
    return left === 0 ? null : `${left} tasks still on machines`;
  },
};
