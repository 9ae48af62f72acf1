import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import { canPlaceTask, placeTask } from './placement_constraints.js';
import type { PlannedStart } from './plan_types.js';

/** A start that the plan sees within so many seconds is for now. */
const START_NOW_SECONDS = 0.05;

const startsNow = ({ freeAtSeconds }: PlannedStart): boolean => freeAtSeconds <= START_NOW_SECONDS;

/**
 * Gives places to what a plan starts now, in its order: what was ranked before has first call on its team's limit too.
 * Returns how many tasks have got one.
 */
export function applyPlan(
  cluster: Cluster,
  starts: readonly PlannedStart[],
  jobs: readonly Job[],
  machines: readonly Machine[],
): number {
  const startsByJob = new Map<number, PlannedStart[]>();
  for (const start of starts) {
    const others = startsByJob.get(start.jobIndex);
    if (others) others.push(start);
    else startsByJob.set(start.jobIndex, [start]);
  }
  let placed = 0;
  for (const [slot, parts] of startsByJob) {
    const job = jobs[slot] as Job;
    if (!job.isGang) placed += placeArrayTasks(cluster, job, parts.filter(startsNow), machines);
    else if (parts.every(startsNow)) placed += placeGang(cluster, job, parts, machines);
  }
  return placed;
}

function placeArrayTasks(
  cluster: Cluster,
  job: Job,
  parts: readonly PlannedStart[],
  machines: readonly Machine[],
): number {
  let placed = 0;
  for (const { machineIndex: slot, tasks } of parts) {
    const machine = machines[slot] as Machine;
    for (const index of job.pendingTasks(tasks)) {
      if (!canPlaceTask(cluster, job, machine)) break;
      placeTask(cluster, job, index, machine, cluster.nextAttempt());
      placed += 1;
    }
  }
  return placed;
}

/** A gang starts whole or not at all. */
function placeGang(cluster: Cluster, job: Job, parts: readonly PlannedStart[], machines: readonly Machine[]): number {
  if (job.placements.size > 0 || cluster.quotas.remainingTasks(job.spec) < job.spec.taskCount) return 0;
  const attempt = cluster.nextAttempt();
  let index = 0;
  for (const { machineIndex: slot, tasks } of parts) {
    const machine = machines[slot] as Machine;
    for (let task = 0; task < tasks; task++) {
      if (!canPlaceTask(cluster, job, machine)) {
        cluster.placements.breakGang(job);
        return 0;
      }
      placeTask(cluster, job, index, machine, attempt);
      index += 1;
    }
  }
  return index;
}
