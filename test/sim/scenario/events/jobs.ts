/** Events caused by users: submissions, cancellations, polls and invalid requests. */
import type { JobId } from '../../../../src/core/types.js';
import { sendInvalidRequest } from '../../invalid_requests.js';
import { makeJobSpec, numberOption, readJobOptions } from '../../job_options.js';
import type { World } from '../../world.js';
import { hangWorkers } from './machines.js';
import { type EventTable, noteFault } from './targets.js';

/** Maximum number of machines of cancelled jobs that `cancel-running` lets hang. */
const HANGING_MACHINES = 8;
/** Time within which `cancel-running` cancels all its jobs, in milliseconds. */
const CANCELLATION_SPREAD_MS = 200;

/**
 * Cancels the first `count` running jobs within CANCELLATION_SPREAD_MS. With `hangSeconds`, up to HANGING_MACHINES of
 * their machines hang for that time.
 */
export function cancelRunning(world: World, count: number, hangSeconds?: string): void {
  const running = [...world.invariants.tasksOnMachines].filter(
    ([id, tasks]) => tasks.size > 0 && !world.invariants.cancellationRequested.has(id),
  );
  const machines = new Set<string>();
  for (const [id, tasks] of running.slice(0, count)) {
    for (const places of tasks.values()) for (const place of places) machines.add(place.machine);
    world.clock.schedule(world.clock.randomBetween(0, CANCELLATION_SPREAD_MS), () => world.users.cancel(id));
  }
  if (!hangSeconds) return;
  for (const machine of [...machines].slice(0, HANGING_MACHINES)) hangWorkers(world, machine, hangSeconds);
}

/** Events caused by users. */
export const jobEvents: EventTable = {
  /** submit JOB array|gang|service [OPTION ...]: a user submits a job */
  submit(world, [id, kind, ...rest]) {
    const options = readJobOptions(rest);
    const spec = makeJobSpec(id ?? '', kind === 'gang' || kind === 'service' ? kind : 'array', options);
    if (options.faulty) world.faultyJobs.add(spec.id);
    world.users.submit(spec, numberOption(options, 'runtime', 10) * 1000);
  },
  /** cancel JOB: a user cancels a job */
  cancel(world, [id]) {
    world.users.cancel(id as JobId);
  },
  /**
   * cancel-running N [HANG]: N running jobs are cancelled within 0.2 s. Up to 8 of their machines hang for HANG seconds
   */
  'cancel-running'(world, [count, hangSeconds]) {
    cancelRunning(world, Number(count), hangSeconds);
  },
  /** cancel-on-completion SHARE S: for S seconds, this share of the completing jobs is cancelled at their completion */
  'cancel-on-completion'(world, [share, seconds]) {
    world.users.cancelOnCompletion = { share: Number(share), until: world.clock.now + noteFault(world, seconds) };
  },
  /**
   * poll-bursts S: for S seconds, users poll all controllers within milliseconds after a job is accepted, done or
   * cancelled
   */
  'poll-bursts'(world, [seconds]) {
    world.users.pollBurstsUntil = world.clock.now + noteFault(world, seconds);
  },
  /**
   * invalid-requests S: for S seconds, users repeat submissions, cancel done jobs, and submit jobs that fit no machine
   * or lack a field
   */
  'invalid-requests'(world, [seconds]) {
    const until = world.clock.now + noteFault(world, seconds);
    const next = (turn: number): void => {
      if (world.clock.now > until) return;
      sendInvalidRequest(world, turn);
      world.clock.schedule(world.clock.randomBetween(300, 900), () => next(turn + 1));
    };
    next(0);
  },
};
