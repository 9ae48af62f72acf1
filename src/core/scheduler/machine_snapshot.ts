/** Builds the snapshot of a machine that plans use, from the leader's state at the start of a round. */
import { capacityPoolKey } from '../machines/capacity_pool.js';
import type { Machine } from '../machines/machine.js';
import type { Placement } from '../state/placement.js';
import { machineShare } from './capacity_timeline.js';
import type { ClusterState } from './cluster_state.js';
import type { GpuClaims } from './gpu_claims.js';
import type { PlanMachine } from './plan_types.js';
import { spareCapacity } from './spare_capacity.js';

/**
 * A task that is expected to end at most this many seconds after the start of a step frees its capacity in that step.
 */
const SAME_STEP_SECONDS = 0.01;

type CapacityTimeline = Pick<PlanMachine, 'stepTimesSeconds' | 'freeCpus' | 'freeGpus' | 'freeMemoryGb'>;

/** The expected end of a task, with the placement whose capacity it frees. */
interface ExpectedEnd {
  readonly atSeconds: number;
  readonly placement: Placement;
}

/**
 * Returns the machine with its free capacity now and later. Image pull times are computed only on request by a plan.
 */
export function planMachine(cluster: ClusterState, machine: Machine, index: number, claims: GpuClaims): PlanMachine {
  const now = cluster.context.now.monotonic;
  const spare = spareCapacity(machine, claims.demand);
  return {
    index,
    zone: machine.zone,
    type: machine.type,
    spot: machine.spot,
    ...capacityTimeline(cluster, machine),
    spareCpus: spare.cpus,
    spareMemoryGb: spare.memoryGb,
    servesGpuWork: claims.awaitedPools.has(capacityPoolKey(machine)) || machine.hasGpuWork(now),
    reservedForGangs: !machine.spot && claims.reservedTypes.has(machine.typeName),
    imagePullSeconds: (image, imageGb) => machine.images.remainingPullSeconds(image, imageGb, now),
    largestCachedImageShare: largestCachedImageShare(cluster, machine),
  };
}

/** Returns the capacity that is free on a machine now and after the expected end of each of its tasks (Eq. (13)). */
function capacityTimeline(cluster: ClusterState, machine: Machine): CapacityTimeline {
  const stepTimesSeconds = [machine.phase === 'booting' ? remainingBootSeconds(cluster, machine) : 0];
  const { free } = machine.allocations;
  const freeCpus = [free.cpus];
  const freeGpus = [free.gpus];
  const freeMemoryGb = [free.memoryGb];
  for (const { atSeconds, placement } of expectedEnds(cluster, machine)) {
    const { spec } = placement.job;
    let step = stepTimesSeconds.length - 1;
    // Steps are rounded up to whole seconds. Otherwise a machine with 64 cores would have as many steps as tasks.
    if (atSeconds > (stepTimesSeconds[step] as number) + SAME_STEP_SECONDS) {
      stepTimesSeconds.push(Math.ceil(atSeconds));
      freeCpus.push(freeCpus[step] as number);
      freeGpus.push(freeGpus[step] as number);
      freeMemoryGb.push(freeMemoryGb[step] as number);
      step += 1;
    }
    freeCpus[step] = (freeCpus[step] as number) + spec.cpus;
    freeGpus[step] = (freeGpus[step] as number) + spec.gpus;
    freeMemoryGb[step] = (freeMemoryGb[step] as number) + spec.memoryGb;
  }
  return { stepTimesSeconds, freeCpus, freeGpus, freeMemoryGb };
}

/** Returns the expected ends of the machine's tasks, earliest first. */
function expectedEnds(cluster: ClusterState, machine: Machine): ExpectedEnd[] {
  return [...cluster.placements.onMachine(machine).values()]
    .map((placement) => ({ atSeconds: remainingSeconds(cluster, placement), placement }))
    .sort((first, second) => first.atSeconds - second.atSeconds);
}

/**
 * Returns the expected seconds until a task leaves its machine, including the rest of its image pull (d in the EVO-GP
 * paper).
 */
function remainingSeconds({ context, runtimeEstimator }: ClusterState, placement: Placement): number {
  const { job, machine, pendingStop, runningSince } = placement;
  const now = context.now.monotonic;
  const heartbeatSeconds = context.settings.workers.heartbeatIntervalMs / 1000;
  if (pendingStop !== null) return Math.max(heartbeatSeconds, pendingStop.gracePeriodSeconds);
  const expectedSeconds = runtimeEstimator.expectedSeconds(job.spec);
  if (job.isService) return expectedSeconds;
  if (runningSince === null) {
    return machine.images.remainingPullSeconds(job.spec.image, job.spec.imageGb, now) + expectedSeconds;
  }
  const elapsedSeconds = (now - runningSince) / 1000;
  // The longer a task has exceeded its expected run time, the longer it is likely to continue. If overdue tasks were
  // assumed to end at once, other jobs would wait for capacity that does not become free as expected.
  const overdueSeconds = elapsedSeconds * context.tuning.scheduler.overdue_share;
  return Math.max(heartbeatSeconds, expectedSeconds - elapsedSeconds, overdueSeconds);
}

/** Returns the expected seconds until a machine that was provisioned but has sent no heartbeat is up. */
function remainingBootSeconds({ bootTimeEstimator, context }: ClusterState, machine: Machine): number {
  const now = context.now.monotonic;
  return bootTimeEstimator.remainingSeconds(machine.type, machine.zone, machine.lifecycle.ageSeconds(now), now);
}

function largestCachedImageShare(cluster: ClusterState, machine: Machine): number {
  let largest = 0;
  for (const image of machine.images.presentImages()) {
    const task = cluster.images.largestTask(image);
    if (task) largest = Math.max(largest, machineShare(task, machine.type));
  }
  return largest;
}
