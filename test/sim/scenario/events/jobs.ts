import type { JobId } from '../../../../src/core/types.js';
import { sendInvalidRequest } from '../../invalid_requests.js';
import { makeJobSpec, numberOption, readJobOptions } from '../../job_options.js';
import type { World } from '../../world.js';
import { hangWorkers } from './machines.js';
import { type EventTable, noteFault } from './targets.js';

/** Machines of cancelled jobs that `cancel-running` lets hang. */
const HANGING_MACHINES = 8;
/** Within this time `cancel-running` has cancelled all its jobs. */
const CANCELLATION_SPREAD_MS = 200;

/** Cancels the first `count` jobs that run within a fifth of a second; `hangSeconds`: some of their machines hang. */
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

/** What users do. */
export const jobEvents: EventTable = {
  /** submit JOB array|gang|service [OPTION ...] */
  submit(world, [id, kind, ...rest]) {
    const options = readJobOptions(rest);
    const spec = makeJobSpec(id ?? '', kind === 'gang' || kind === 'service' ? kind : 'array', options);
    if (options.faulty) world.faultyJobs.add(spec.id);
    world.users.submit(spec, numberOption(options, 'runtime', 10) * 1000);
  },
  /** cancel JOB */
  cancel(world, [id]) {
    world.users.cancel(id as JobId);
  },
  /** cancel-running N [HANG]: N running jobs are cancelled within 0.2 s; eight of their machines hang for HANG seconds */
  'cancel-running'(world, [count, hangSeconds]) {
    cancelRunning(world, Number(count), hangSeconds);
  },
  /** cancel-on-completion SHARE S: that share of the jobs that end is cancelled at the moment of the end */
  'cancel-on-completion'(world, [share, seconds]) {
    world.users.cancelAtEnd = { share: Number(share), until: world.clock.now + noteFault(world, seconds) };
  },
  /** poll-bursts S: users poll all controllers within milliseconds after a job was accepted, ended or cancelled */
  'poll-bursts'(world, [seconds]) {
    world.users.pollBurstsUntil = world.clock.now + noteFault(world, seconds);
  },
  /** invalid-requests S: repeated submissions, cancellations of what is done, jobs that fit no machine or lack a field */
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
