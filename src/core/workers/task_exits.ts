/** Takes in that tasks ended: results, failures of jobs and machines, restarts of replicas, and run times. */
import type { Job } from '../jobs/job.js';
import { taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import { STRAGGLER_LOG_RATIO } from '../machines/straggler_detector.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { MonotonicTime, TaskStatus } from '../types.js';
import { isNewExit, recoverExitedTask } from './recovered_tasks.js';

/** Results that come within this time are written together. */
const RESULT_FLUSH_DELAY_MS = 30;
/** A replica that ran for so long has shown that its service and its machine are well. */
const STABLE_RUN_MS = 30_000;
/** A job waits for so long after a worker refused to start a task of it. */
const REFUSED_START_PAUSE_MS = 1000;

/** The job and machine of a task that has exited, and since when it was there. */
type EndedRun = Pick<Placement, 'job' | 'machine' | 'placedAt' | 'runningSince'>;

/** What an exit changed: whether the task had a placement on its machine, which is free now. */
type ExitOutcome = 'placementReleased' | 'noPlacement';

/** Takes in an exited task of a status. Workers repeat it until it is acknowledged: what was counted is not counted again. */
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
  if (job.isService) recordReplicaExit(cluster, placement, task);
  else if (!hasResult) recordFailure(cluster, placement, task);
  cluster.placements.release(placement, 'exited');
  return 'placementReleased';
}

/** A task that exited while no leader watched, or whose job is unknown. A failure counts once, as it would have then. */
function recordMissedExit(cluster: Cluster, machine: Machine, task: TaskStatus): void {
  const { taskClass, action } = recoverExitedTask(cluster, machine, task);
  if (!isNewExit(machine, task)) return;
  cluster.previousTerms.recovery?.countTask(taskClass);
  const job = cluster.jobs.get(task.job);
  if (!job) return;
  locateMissedExit(cluster, machine, job, task);
  if (action !== 'requeue' || job.isService) return;
  const now = cluster.context.now.monotonic;
  recordFailure(cluster, { job, machine, placedAt: now, runningSince: now }, task);
}

/**
 * An earlier leader may have seen the exit of one of its attempts before, and have started the task again on a machine that has
 * not been heard since (exit-seen-by-earlier-leader.txt): only an exit of this term proves that the task is on no machine.
 */
function locateMissedExit(cluster: Cluster, machine: Machine, job: Job, task: TaskStatus): void {
  const { index, attempt, exitReason } = task;
  if (!cluster.isOfEarlierTerm(attempt)) job.locatedTasks.add(index);
  else if ((exitReason !== 'done' || job.isService) && job.mayStartAgain(index))
    job.locatedTasks.recordRelease(index, { machine: machine.id, attempt, reason: 'exited' });
}

/** Marks the task as done, whether or not it had a placement here. */
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

/** Learns from how long a task took, unless it ran in several parts. */
function recordRunTime(cluster: Cluster, { job, machine, runningSince, foundRunning }: Placement): void {
  if (runningSince === null || job.retries.failureCount > 0) return;
  const { runtimeEstimator, context, previousTerms } = cluster;
  // How long it ran before this leader found it isn't known: taken for its whole time it would make estimates too short.
  if (foundRunning && previousTerms.recovery) return;
  const logStandardDeviation = runtimeEstimator.logStandardDeviation(job.spec);
  const logRatio = runtimeEstimator.observe(job.spec, (context.now.monotonic - runningSince) / 1000);
  // A gang is as slow as its slowest machine: only a gang of one says which that is.
  if (job.isGang && job.spec.taskCount > 1) return;
  if (logRatio > STRAGGLER_LOG_RATIO) job.schedulingHistory.recordSlowMachine(machine.id);
  if (!job.schedulingHistory.isMisestimated)
    machine.stragglerDetector.record(job.id, { logRatio, logStandardDeviation });
}

/**
 * A replica that ends runs again elsewhere, whatever it ended with. One that ends soon after its start does so after a pause
 * that doubles: a service that can't stay up must not take the cluster's time.
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

/** The failure history of the job tells a faulty job from a faulty machine. */
function recordJobFailure({ job, machine, placedAt, runningSince }: EndedRun, now: MonotonicTime): void {
  const { failureHistory } = job;
  failureHistory.recordFailure(machine.id, {
    placedAt,
    ranMs: runningSince === null ? 0 : now - runningSince,
    now,
    machineSuspected: machine.taskFailures.hasFailuresOfOtherJobs(failureHistory),
  });
}

/** A task ended without a result. */
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
    // The gang is tried again at once; the others need nothing to be done.
    case 'gang_incomplete':
    case 'done':
    case null:
      return;
  }
}

/** The task was made to end: its run time will tell nothing, but a checkpoint shows that the job does well. */
function recordInterruption({ job, runningSince }: EndedRun, { checkpointSaved }: TaskStatus): void {
  if (runningSince !== null) job.retries.recordFailure();
  if (checkpointSaved) job.failureHistory.recordSuccess();
}

/** Either the job is at fault, or the machine may be. */
function recordError(cluster: Cluster, run: EndedRun): void {
  recordJobFailure(run, cluster.context.now.monotonic);
  if (run.job.isFaulty) pauseFaultyJob(cluster, run.job);
  else recordMachineError(cluster, run.machine, run.job);
}

/** What has not been sent yet is held back; later tries are of one task at a time (ranking.ts). */
function pauseFaultyJob(cluster: Cluster, job: Job): void {
  const { failureHistory } = job;
  job.retries.delayUntil(cluster.context.after(failureHistory.backoffMs));
  for (const other of [...cluster.placements.ofJob(job).values()])
    if (other.phase === 'planned') cluster.placements.release(other, 'startNotSent');
}

/** Whether the machine is at fault is judged once it is known how the job does elsewhere (health_checks.ts). */
function recordMachineError({ context }: Cluster, machine: Machine, job: Job): void {
  machine.taskFailures.record(job.failureHistory, context.now.monotonic);
  machine.cordon.quarantine(context.after(machine.taskFailures.quarantineMs));
}
