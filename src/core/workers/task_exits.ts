/** Processes task exits: results, failures of jobs and machines, restarts of replicas, and run times. */
import type { Job } from '../jobs/job.js';
import { taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import { STRAGGLER_LOG_RATIO } from '../machines/straggler_detector.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { MonotonicTime, TaskStatus } from '../types.js';
import { isNewExit, recoverExitedTask } from './recovered_tasks.js';

/** Delay before results are written, in milliseconds. Results that arrive within it are written together. */
const RESULT_FLUSH_DELAY_MS = 30;
/** Run time, in milliseconds, after which a replica's service and machine count as healthy. */
const STABLE_RUN_MS = 30_000;
/** Delay before a job is started again after a worker refused to start one of its tasks, in milliseconds. */
const REFUSED_START_PAUSE_MS = 1000;

/** The job and machine of an exited task, and the times when it was placed and first seen running. */
type EndedRun = Pick<Placement, 'job' | 'machine' | 'placedAt' | 'runningSince'>;

/** Whether the exited task had a placement on its machine, which was released. */
type ExitOutcome = 'placementReleased' | 'noPlacement';

/**
 * Processes an exited task in a status. Workers repeat an exit until it is acknowledged, and repeated exits are not
 * counted again.
 */
export function reconcileExit(cluster: Cluster, machine: Machine, task: TaskStatus): ExitOutcome {
  const job = cluster.jobs.get(task.job);
  const { index, attempt } = task;
  const hasResult = task.exitReason === 'done' && !job?.isService;
  machine.reportedTasks.addExit({ job: task.job, index, attempt, isDone: hasResult });
  const found = cluster.placements.find(machine, task.job, index);
  const placement = found?.attempt === attempt ? found : null;
  if (!placement && cluster.previousTerms.recovery) recordMissedExit(cluster, machine, task);
  if (!job) return 'noPlacement';
  if (hasResult) recordResult(cluster, machine, job, task, placement);
  if (!placement) return 'noPlacement';
  if (placement.runningSince !== null || hasRunBefore(task)) job.waitWithRoom.end();
  if (job.isService) recordReplicaExit(cluster, placement, task);
  else if (!hasResult) recordFailure(cluster, placement, task);
  cluster.placements.release(placement, 'exited');
  return 'placementReleased';
}

/** Returns whether the exit shows that the task had run, also if no status showed it running. */
const hasRunBefore = ({ exitReason }: TaskStatus): boolean =>
  exitReason === 'done' || exitReason === 'error' || exitReason === 'gang_member_lost';

/**
 * Processes the exit of a task that has no placement, because it exited while there was no leader or its job is
 * unknown. A failure counts once, as it would have at the time of the exit.
 */
function recordMissedExit(cluster: Cluster, machine: Machine, task: TaskStatus): void {
  const { taskClass, action } = recoverExitedTask(cluster, machine, task);
  if (!isNewExit(machine, task)) return;
  cluster.previousTerms.recovery?.countTask(taskClass);
  const job = cluster.jobs.get(task.job);
  if (!job) return;
  recordLocationOfMissedExit(cluster, machine, job, task);
  if (action !== 'requeue' || job.isService) return;
  const now = cluster.context.now.monotonic;
  recordFailure(cluster, { job, machine, placedAt: now, runningSince: now }, task);
}

/**
 * Records what an exit without a placement proves about the task's location. A previous leader may have seen the exit
 * of an attempt of a previous term, and have started the task again on a machine that has been unreachable since
 * (scenario exit-seen-by-earlier-leader.txt). Only the exit of an attempt of this term proves that the task is on no
 * machine.
 */
function recordLocationOfMissedExit(cluster: Cluster, machine: Machine, job: Job, task: TaskStatus): void {
  const { index, attempt, exitReason } = task;
  if (!cluster.isOfPreviousTerm(attempt)) job.locatedTasks.add(index);
  else if ((exitReason !== 'done' || job.isService) && job.mayStartAgain(index))
    job.locatedTasks.recordRelease(index, { machine: machine.id, attempt, reason: 'exited' });
}

/** Marks the task as done, whether or not it has a placement on the machine. */
function recordResult(
  cluster: Cluster,
  machine: Machine,
  job: Job,
  task: TaskStatus,
  placement: Placement | null,
): void {
  if (job.state !== 'accepted' || job.isDone(task.index)) return;
  const { context, timers } = cluster;
  job.markDone(task.index);
  machine.taskFailures.clear();
  if (placement) recordRunTime(cluster, placement);
  timers.recordFlush.setIfUnset(context.after(RESULT_FLUSH_DELAY_MS));
}

/**
 * Updates the run time estimates and the machine's straggler evidence with a task's run time. A job of which any task
 * failed or was stopped is skipped, because the task may have run in several parts.
 */
function recordRunTime(cluster: Cluster, { job, machine, runningSince, foundRunning }: Placement): void {
  if (runningSince === null || job.retries.failureCount > 0) return;
  const { runtimeEstimator, context, previousTerms } = cluster;
  // The run time before this leader found the task is unknown. Using the time since then would make estimates too
  // short.
  if (foundRunning && previousTerms.recovery) return;
  const logStandardDeviation = runtimeEstimator.logStandardDeviation(job.spec);
  const logRatio = runtimeEstimator.observe(job.spec, (context.now.monotonic - runningSince) / 1000);
  // A gang is as slow as its slowest machine, and only a gang of one task shows which machine that is.
  if (job.isGang && job.spec.taskCount > 1) return;
  if (logRatio > STRAGGLER_LOG_RATIO) job.schedulingHistory.recordSlowMachine(machine.id);
  if (!job.schedulingHistory.isMisestimated)
    machine.stragglerDetector.record(job.id, { logRatio, logStandardDeviation });
}

/**
 * Processes the exit of a replica, which is placed again regardless of its exit reason. If it exited soon after its
 * start, it is restarted after a delay that doubles with further short runs, so that a service that can't stay up does
 * not occupy the cluster with restarts.
 */
function recordReplicaExit(cluster: Cluster, placement: Placement, task: TaskStatus): void {
  if (task.exitReason === 'stopped') return;
  const { job, runningSince } = placement;
  const now = cluster.context.now.monotonic;
  const ranSteadily = runningSince !== null && now - runningSince >= STABLE_RUN_MS;
  if (ranSteadily) {
    job.failureHistory.clearMachines();
    job.retries.recordStableRun();
  } else if (task.exitReason === 'done' || task.exitReason === 'error') {
    recordShortRun(cluster, placement);
  }
  const delayedUntil = job.retries.notBefore;
  if (task.exitReason !== 'done') recordFailure(cluster, placement, task);
  job.retries.delayAtLeastUntil(delayedUntil);
  cluster.servicePlacements.request(job.retries.notBefore);
}

function recordShortRun({ context }: Cluster, placement: Placement): void {
  const { job, placedAt } = placement;
  recordJobFailure(placement, context.now.monotonic);
  job.retries.recordShortRun(placedAt, context.now.monotonic);
}

/** Adds a failure to the job's failure history, which distinguishes a faulty job from a faulty machine. */
function recordJobFailure({ job, machine, placedAt, runningSince }: EndedRun, now: MonotonicTime): void {
  const { failureHistory } = job;
  failureHistory.recordFailure(machine.id, {
    placedAt,
    ranMs: runningSince === null ? 0 : now - runningSince,
    now,
    machineSuspected: machine.taskFailures.hasFailuresOfOtherJobs(failureHistory),
  });
}

/** Processes the exit of a task that has no result. */
function recordFailure(cluster: Cluster, run: EndedRun, task: TaskStatus): void {
  const { exitReason } = task;
  if (exitReason === 'stopped' || exitReason === 'gang_member_lost') {
    recordInterruption(run, task);
    return;
  }
  const { job, machine } = run;
  cluster.context.log('task exited early', {
    task: taskKey(task.job, task.index),
    machine: machine.id,
    exitReason,
  });
  job.retries.recordFailure();
  switch (exitReason) {
    case 'no_capacity':
    case 'busy':
    case 'unknown':
      job.retries.delayUntil(cluster.context.after(REFUSED_START_PAUSE_MS));
      return;
    case 'error':
      recordError(cluster, run);
      return;
    // The gang is retried at once. The other cases need no action.
    case 'gang_incomplete':
    case 'done':
    case null:
      return;
  }
}

/**
 * Processes the exit of a task that was stopped or whose gang lost a member. If the task had run, the job's run times
 * are no longer used for estimates. A saved checkpoint counts as a success of the job.
 */
function recordInterruption({ job, runningSince }: EndedRun, { checkpointSaved }: TaskStatus): void {
  if (runningSince !== null) job.retries.recordFailure();
  if (checkpointSaved) job.failureHistory.recordSuccess();
}

/** Processes a task error. If the job is not at fault, the machine may be. */
function recordError(cluster: Cluster, run: EndedRun): void {
  recordJobFailure(run, cluster.context.now.monotonic);
  if (run.job.isFaulty) pauseFaultyJob(cluster, run.job);
  else recordMachineError(cluster, run.machine, run.job);
}

/**
 * Delays the job and releases its placements without a sent start. Later retries start one task at a time (ranking.ts).
 */
function pauseFaultyJob(cluster: Cluster, job: Job): void {
  const { failureHistory } = job;
  job.retries.delayUntil(cluster.context.after(failureHistory.backoffMs));
  for (const other of [...cluster.placements.ofJob(job).values()])
    if (other.phase === 'planned') cluster.placements.release(other, 'startNotSent');
}

/**
 * Counts the error against the machine and quarantines it. Whether the machine is at fault is decided once it is known
 * whether the job succeeds elsewhere (health_checks.ts).
 */
function recordMachineError({ context }: Cluster, machine: Machine, job: Job): void {
  machine.taskFailures.record(job.failureHistory, context.now.monotonic);
  machine.cordon.quarantine(context.after(machine.taskFailures.quarantineMs));
}
