/** Events caused by users: submissions, cancellations, polls and invalid requests. */
import type { JobId } from '../../../../src/core/types.js';
import { sendInvalidRequest } from '../../invalid_requests.js';
import { makeJobSpec, numberOption, readJobOptions } from '../../job_options.js';
import type { World } from '../../world.js';
import { hangWorkers } from './machines.js';
import { type EventTable, noteFault, workersNamed } from './targets.js';

/** Maximum number of machines of cancelled jobs that `cancel-running` lets hang. */
const HANGING_MACHINES = 8;
/** Time within which `cancel-running` cancels all its jobs, in milliseconds. */
const CANCELLATION_SPREAD_MS = 200;
/** The number of the first service that `cancel-held-starts` submits. */
const HELD_SERVICES_FROM = 7000;
/** Share of the time of `cancel-held-starts` in which the services are submitted. */
const SUBMISSION_SHARE = 0.5;
/** Maximum time from when a start is held up until its service is cancelled, in milliseconds. */
const MAX_CANCELLATION_DELAY_MS = 400;

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

/** The number of services that `cancel-held-starts` has submitted, by world, so that each gets an id of its own. */
const heldServices = new WeakMap<World, number>();

/**
 * Submits `count` services of one replica within `ms` milliseconds. Users cancel each one shortly after its start is
 * held up, or at the end of that time.
 */
function submitAndCancelHeldServices(world: World, count: number, ms: number): void {
  const { clock, users } = world;
  const held = new Set<string>();
  const team = world.options.teams[0]?.name ?? 'crew';
  const first = heldServices.get(world) ?? 0;
  heldServices.set(world, first + count);
  world.onPushHeld = ({ commands }) => {
    for (const { op, job } of commands) {
      if (op !== 'start' || !held.delete(job)) continue;
      clock.schedule(clock.randomBetween(0, MAX_CANCELLATION_DELAY_MS), () => users.cancel(job));
    }
  };
  for (let i = 0; i < count; i++) {
    const options = { team, cpus: '0.5', priorityLevel: '3', estimatedRuntime: '0', toleratesSpot: 'yes' };
    const spec = makeJobSpec(`job-${HELD_SERVICES_FROM + first + i}`, 'service', options);
    held.add(spec.id);
    clock.schedule(clock.randomBetween(0, ms * SUBMISSION_SHARE), () => users.submit(spec, 1e9));
    clock.schedule(ms, () => {
      if (held.delete(spec.id)) users.cancel(spec.id);
    });
  }
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
  /**
   * cancel-held-starts MACHINE N S: commands pushed to the machine within S seconds are held up as by `hold-pushes`, and
   * users submit N services and cancel each one when its start is held up
   */
  'cancel-held-starts'(world, [which, count, seconds]) {
    const ms = noteFault(world, seconds);
    for (const worker of workersNamed(world, which)) worker.pushesHeldUntil = world.clock.now + ms;
    submitAndCancelHeldServices(world, Number(count), ms);
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
