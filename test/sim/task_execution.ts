import type { JobSpec } from '../../src/core/types.js';
import type { Task, Worker } from './worker.js';
import type { World } from './world.js';

/** Carries a task on by one tick: its fetch, its gang, its work and its checkpoints, as the protocol says. */
export function advanceTask(world: World, worker: Worker, task: Task, tickMs: number): void {
  const spec = world.rules.specOf(task.job);
  if (!spec || task.phase === 'exited') return;
  if (task.phase === 'fetching' && !endFetch(world, worker, task, spec)) return;
  if (task.phase === 'saving') {
    endSave(world, worker, task);
    return;
  }
  if (spec.kind === 'gang' && !gangGoesOn(world, worker, task, spec)) return;
  work(world, worker, task, spec, tickMs);
}

/** Returns whether the task goes on: its image is there, and it neither failed nor had its result already. */
function endFetch(world: World, worker: Worker, task: Task, spec: JobSpec): boolean {
  const { clock, rules } = world;
  if (clock.now < task.imageAt) return false;
  worker.images.add(spec.image);
  rules.started(task.job, task.index, worker.id, worker.type, worker.zone, worker.spot);
  task.phase = spec.kind === 'gang' ? 'waiting' : 'running';
  task.waitingSince = clock.now;
  worker.changed = true;
  const hasResult = rules.done.get(task.job)?.has(task.index) ?? false;
  const fails = worker.failsTasks || world.faulty.has(task.job);
  if (hasResult) worker.exit(task, 'done');
  else if (fails) worker.exit(task, 'error');
  return !hasResult && !fails;
}

function endSave(world: World, worker: Worker, task: Task): void {
  if (task.savedAt === null || world.clock.now < task.savedAt) return;
  world.saveProgress(task.job, task.index, task.workMs);
  worker.exit(task, 'stopped', true);
}

/** Returns whether the whole gang is there and runs; a task that waits or misses the others for too long ends. */
function gangGoesOn(world: World, worker: Worker, task: Task, spec: JobSpec): boolean {
  const { clock, settings } = world;
  const present = world.gangMembers(task.job, task.attempt).filter((member) => member.task.phase !== 'exited');
  if (task.phase === 'waiting') {
    const ready = present.filter(({ task: other }) => other.phase === 'waiting' || other.phase === 'running');
    if (ready.length === spec.taskCount) for (const member of ready) member.task.phase = 'running';
    else if (clock.now - (task.waitingSince ?? clock.now) > settings.gangWait) worker.exit(task, 'alone');
    return false;
  }
  if (present.length < spec.taskCount || present.some((member) => member.worker.hung)) {
    task.waitingSince ??= clock.now;
    task.savedAt ??= clock.now;
    if (clock.now - task.savedAt > settings.gangPeer) worker.exit(task, 'peers_gone');
    return false;
  }
  task.savedAt = null;
  return true;
}

function work(world: World, worker: Worker, task: Task, spec: JobSpec, tickMs: number): void {
  const before = task.workMs;
  task.workMs += tickMs * worker.speed;
  const checkpointMs = spec.checkpointIntervalSeconds * 1000;
  if (checkpointMs > 0 && Math.floor(before / checkpointMs) < Math.floor(task.workMs / checkpointMs)) {
    world.saveProgress(task.job, task.index, Math.floor(task.workMs / checkpointMs) * checkpointMs);
  }
  if (task.workMs < world.runMs(task.job)) return;
  if (spec.kind !== 'gang') {
    worker.exit(task, 'done');
    return;
  }
  for (const member of world.gangMembers(task.job, task.attempt)) {
    if (member.task.phase === 'running') member.worker.exit(member.task, 'done');
  }
}
