/** A machine as a plan sees it, taken from the leader's state at the start of a round. */
import { capacityPoolKey } from '../machines/capacity_pool.js';
import type { Machine } from '../machines/machine.js';
import type { Placement } from '../state/placement.js';
import { machineShare } from './capacity_timeline.js';
import type { ClusterState } from './cluster_state.js';
import type { GpuClaims } from './gpu_claims.js';
import type { PlanMachine } from './plan_types.js';
import { spareCapacity } from './spare_capacity.js';

/** Tasks whose ends are no further apart than this free their capacity in one step, in seconds. */
const SAME_STEP_SECONDS = 0.01;

type CapacityTimeline = Pick<PlanMachine, 'stepTimesSeconds' | 'freeCpus' | 'freeGpus' | 'freeMemoryGb'>;

/** When a task of a machine is expected to leave it, and the capacity that it takes until then. */
interface ExpectedEnd {
  readonly atSeconds: number;
  readonly placement: Placement;
}

/** Returns the machine with what is free on it now and later. Image pulls are looked up only as a plan asks for them. */
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

/** Eq. (13): what is free on a machine now, and from each expected end of its tasks on. */
function capacityTimeline(cluster: ClusterState, machine: Machine): CapacityTimeline {
  const stepTimesSeconds = [machine.phase === 'booting' ? remainingBootSeconds(cluster, machine) : 0];
  const freeCpus = [machine.type.cpus - machine.allocations.usedCpus];
  const freeGpus = [machine.type.gpus - machine.allocations.usedGpus];
  const freeMemoryGb = [machine.type.memoryGb - machine.allocations.usedMemoryGb];
  for (const { atSeconds, placement } of expectedEnds(cluster, machine)) {
    const { spec } = placement.job;
    let step = stepTimesSeconds.length - 1;
    // Rounded up to whole seconds, or a machine of 64 cores would have as many steps as tasks.
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

/** The ends of the machine's tasks, soonest first. */
function expectedEnds(cluster: ClusterState, machine: Machine): ExpectedEnd[] {
  return [...cluster.placements.onMachine(machine).values()]
    .map((placement) => ({ atSeconds: remainingSeconds(cluster, placement), placement }))
    .sort((first, second) => first.atSeconds - second.atSeconds);
}

/** Seconds until a task is expected to leave its machine: the d of the paper, with what it still pulls. */
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
  // The longer work has run over what was expected, the longer it is likely to go on: taking overdue work to end at once
  // makes others wait for gaps that never come.
  const overdueSeconds = elapsedSeconds * context.tuning.scheduler.overdue_share;
  return Math.max(heartbeatSeconds, expectedSeconds - elapsedSeconds, overdueSeconds);
}

/** Seconds until a machine that was ordered but has sent no heartbeat is expected to be up. */
function remainingBootSeconds({ bootTimeEstimator, context }: ClusterState, machine: Machine): number {
  const now = context.now.monotonic;
  return bootTimeEstimator.remainingSeconds(machine.type, machine.zone, machine.lifecycle.ageSeconds(now), now);
}

function largestCachedImageShare(cluster: ClusterState, machine: Machine): number {
  let largest = 0;
  for (const image of machine.images.presentImages()) {
    const task = cluster.images.largestTasks.get(image);
    if (task) largest = Math.max(largest, machineShare(task, machine.type));
  }
  return largest;
}
