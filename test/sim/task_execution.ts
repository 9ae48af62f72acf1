/** Simulates the execution of a task on a worker. */
import type { JobSpec } from '../../src/core/types.js';
import type { SimulatedTask } from './task_executor.js';
import type { SimulatedWorker } from './worker.js';
import type { World } from './world.js';

/** Advances a task by one tick of `tickMs`: its image pull, the barrier of its gang, its work and its checkpoints. */
export function advanceTask(world: World, worker: SimulatedWorker, task: SimulatedTask, tickMs: number): void {
  const spec = world.invariants.specOf(task.job);
  if (!spec || task.phase === 'exited') return;
  if (task.phase === 'pulling' && !finishImagePull(world, worker, task, spec)) return;
  if (task.phase === 'checkpointing') {
    finishCheckpoint(world, worker, task);
    return;
  }
  if (spec.kind === 'gang' && !advanceGang(world, worker, task, spec)) return;
  advanceWork(world, worker, task, spec, tickMs);
}

/**
 * Returns whether the task may run: its image has been pulled, and it neither fails nor has completed in an earlier
 * attempt.
 */
function finishImagePull(world: World, worker: SimulatedWorker, task: SimulatedTask, spec: JobSpec): boolean {
  const { clock, invariants } = world;
  if (clock.now < task.imagePulledAt) return false;
  worker.images.add(spec.image);
  invariants.onTaskStarted(task.job, task.index, worker.id, worker.type, worker.zone, worker.spot);
  task.phase = spec.kind === 'gang' ? 'gathering' : 'running';
  task.gatheringSince = clock.now;
  worker.hasUnreportedChange = true;
  const hasResult = invariants.completedTasks.get(task.job)?.has(task.index) ?? false;
  const fails = worker.failsTasks || world.faultyJobs.has(task.job);
  if (hasResult) worker.executor.exit(task, 'done');
  else if (fails) worker.executor.exit(task, 'error');
  return !hasResult && !fails;
}

function finishCheckpoint(world: World, worker: SimulatedWorker, task: SimulatedTask): void {
  if (task.checkpointWrittenAt === null || world.clock.now < task.checkpointWrittenAt) return;
  world.progress.saveCheckpoint(task.job, task.index, task.progressMs);
  worker.executor.exit(task, 'stopped', true);
}

/**
 * Returns whether all members of the gang run. The task exits if it waits at the barrier for too long, or if another
 * member is missing or hangs for too long.
 */
function advanceGang(world: World, worker: SimulatedWorker, task: SimulatedTask, spec: JobSpec): boolean {
  const { clock, workerTiming } = world;
  const activeMembers = world.gangs.members(task.job, task.attempt).filter((member) => member.task.phase !== 'exited');
  if (task.phase === 'gathering') {
    const ready = activeMembers.filter(({ task: other }) => other.phase === 'gathering' || other.phase === 'running');
    if (ready.length === spec.taskCount) for (const member of ready) member.task.phase = 'running';
    else if (clock.now - (task.gatheringSince ?? clock.now) > workerTiming.gangBarrierTimeoutMs)
      worker.executor.exit(task, 'gang_incomplete');
    return false;
  }
  if (activeMembers.length < spec.taskCount || activeMembers.some((member) => member.worker.isHung)) {
    task.gatheringSince ??= clock.now;
    task.membersMissingSince ??= clock.now;
    if (clock.now - task.membersMissingSince > workerTiming.gangPeerTimeoutMs)
      worker.executor.exit(task, 'gang_member_lost');
    return false;
  }
  task.membersMissingSince = null;
  return true;
}

function advanceWork(world: World, worker: SimulatedWorker, task: SimulatedTask, spec: JobSpec, tickMs: number): void {
  const before = task.progressMs;
  task.progressMs += tickMs * worker.speed;
  const checkpointMs = spec.checkpointIntervalSeconds * 1000;
  if (checkpointMs > 0 && Math.floor(before / checkpointMs) < Math.floor(task.progressMs / checkpointMs)) {
    world.progress.saveCheckpoint(task.job, task.index, Math.floor(task.progressMs / checkpointMs) * checkpointMs);
  }
  if (task.progressMs < world.progress.runMs(task.job)) return;
  if (spec.kind !== 'gang') {
    worker.executor.exit(task, 'done');
    return;
  }
  for (const member of world.gangs.members(task.job, task.attempt)) {
    if (member.task.phase === 'running') member.worker.executor.exit(member.task, 'done');
  }
}
