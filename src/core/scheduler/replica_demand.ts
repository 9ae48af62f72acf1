/** Finds waiting replicas that lack machines, so that scale-out considers them together with the planned jobs. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { ClusterState } from './cluster_state.js';
import { isFeasibleMachine } from './placement_constraints.js';
import type { PlanInput } from './plan_input.js';
import type { Plan } from './plan_types.js';
import { waitingServices } from './waiting_services.js';
import { waitedSeconds } from './waiting_time.js';

/** The remaining capacity of a machine that is being provisioned. */
interface IncomingCapacity {
  readonly machine: Machine;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * Returns the plan with waiting replicas added to its unplaced tasks, except for replicas that fit on machines that are
 * being provisioned. The services of the added replicas are also added to the input.
 */
export function addWaitingReplicas(cluster: ClusterState, input: PlanInput, plan: Plan): Plan {
  const waiting = waitingServices(cluster);
  if (waiting.length === 0) return plan;
  const unplacedTasks = new Map(plan.unplacedTasks);
  const incoming = [...cluster.machines.values()]
    .filter((machine) => cluster.machines.isExpected(machine))
    .map(capacityOf);
  for (const job of waiting) {
    const replicas = Math.min(job.startableCount, cluster.quotas.remainingTasks(job.spec));
    const tasks = takeIncomingCapacity(incoming, job, replicas);
    if (tasks <= 0) continue;
    const planJob = input.addJob({ job, tasks, waitedSeconds: waitedSeconds(cluster, job) });
    if (planJob !== null) unplacedTasks.set(planJob.index, tasks);
  }
  return { ...plan, unplacedTasks };
}

const capacityOf = (machine: Machine): IncomingCapacity => {
  const { cpus, gpus, memoryGb } = machine.type;
  return { machine, cpus, gpus, memoryGb };
};

/** Allocates replicas to machines that are being provisioned. Returns how many found no capacity there. */
function takeIncomingCapacity(incoming: readonly IncomingCapacity[], job: Job, replicas: number): number {
  const { spec } = job;
  let left = replicas;
  for (const capacity of incoming) {
    if (!isFeasibleMachine(job, capacity.machine)) continue;
    while (left > 0 && capacity.cpus >= spec.cpus && capacity.gpus >= spec.gpus && capacity.memoryGb >= spec.memoryGb) {
      capacity.cpus -= spec.cpus;
      capacity.gpus -= spec.gpus;
      capacity.memoryGb -= spec.memoryGb;
      left -= 1;
    }
  }
  return left;
}
