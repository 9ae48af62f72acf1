import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { ZoneName } from '../types.js';
import type { PlannedStart } from './plan_types.js';
import { isOverdue, waitedSeconds } from './ranking.js';

/** Longer than a round's period: the next round renews it, or leaves the machines to others. */
const RESERVATION_MS = 5000;

/**
 * Keeps the machines that a plan gives to a zone's longest overdue gang, until it starts. Without that the next round may
 * plan the gang elsewhere, other work takes what has come free meanwhile, and a gang of several whole machines waits for
 * minutes. One gang a zone: what is kept stands idle until the last machine is free.
 */
export function reserveForOverdueGangs(
  cluster: Cluster,
  starts: readonly PlannedStart[],
  jobs: readonly Job[],
  machines: readonly Machine[],
): void {
  const planned = plannedMachines(cluster, starts, jobs, machines);
  const byWait = [...planned].sort(([a], [b]) => waitedSeconds(cluster, b) - waitedSeconds(cluster, a));
  const served = new Set<ZoneName>();
  for (const [job, chosen] of byWait) {
    const zones = new Set(chosen.map(({ zone }) => zone));
    if ([...zones].some((zone) => served.has(zone))) continue;
    for (const zone of zones) served.add(zone);
    for (const machine of chosen) machine.reserve(job.id, cluster.context.after(RESERVATION_MS));
  }
}

/** Of each overdue gang that has no place yet, the machines that the plan gives it. */
function plannedMachines(
  cluster: Cluster,
  starts: readonly PlannedStart[],
  jobs: readonly Job[],
  machines: readonly Machine[],
): Map<Job, Machine[]> {
  const planned = new Map<Job, Machine[]>();
  for (const { jobIndex: slot, machineIndex } of starts) {
    const job = jobs[slot] as Job;
    if (!job.isGang || job.placements.size > 0 || !isOverdue(cluster, job)) continue;
    const chosen = planned.get(job) ?? [];
    chosen.push(machines[machineIndex] as Machine);
    planned.set(job, chosen);
  }
  return planned;
}
