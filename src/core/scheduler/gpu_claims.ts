/** Determines which machine types and capacity pools GPU work and gangs need. */
import { capacityPoolKey } from '../machines/capacity_pool.js';
import type { MachineType, MachineTypeName, ZoneName } from '../types.js';
import { machineShare } from './capacity_timeline.js';
import type { ClusterState } from './cluster_state.js';
import { isFeasibleType } from './placement_constraints.js';
import type { RankedJob } from './ranking.js';
import { type GpuDemand, gpuDemand } from './spare_capacity.js';

/** A task that takes more than this share of a machine needs a whole machine. */
const WHOLE_MACHINE_SHARE = 0.6;

/** Capacity that GPU jobs and waiting gangs need. */
export interface GpuClaims {
  /** The cores and memory that GPU work could use beside its GPUs. */
  readonly demand: GpuDemand;
  /** Machine types of which waiting gangs need whole on-demand machines. */
  readonly reservedTypes: ReadonlySet<MachineTypeName>;
  /** Keys of the capacity pools with GPUs that waiting GPU work could use. */
  readonly awaitedPools: ReadonlySet<string>;
}

/** Returns the claims of waiting and running jobs. */
export function gpuClaims(cluster: ClusterState, waiting: readonly RankedJob[]): GpuClaims {
  return {
    demand: gpuDemand(cluster),
    reservedTypes: typesReservedForGangs(cluster, waiting),
    awaitedPools: poolsAwaitedByGpuWork(cluster, waiting),
  };
}

/** Returns the machine types of which waiting gangs need whole on-demand machines. */
function typesReservedForGangs(cluster: ClusterState, waiting: readonly RankedJob[]): Set<MachineTypeName> {
  const reserved = new Set<MachineTypeName>();
  for (const { job } of waiting) {
    if (!job.isGang || job.spec.toleratesSpot) continue;
    for (const type of cluster.machineTypes.values()) {
      const needsWholeMachine = machineShare(job.spec, type) > WHOLE_MACHINE_SHARE;
      if (needsWholeMachine && type.zones.some((zone) => isFeasibleType(job, type, zone))) reserved.add(type.name);
    }
  }
  return reserved;
}

function poolsAwaitedByGpuWork(cluster: ClusterState, waiting: readonly RankedJob[]): Set<string> {
  const gpuJobs = waiting.filter(({ job }) => job.spec.gpus > 0 && !job.isFaulty);
  const isAwaited = (type: MachineType, zone: ZoneName, spot: boolean): boolean =>
    gpuJobs.some(({ job }) => (job.spec.toleratesSpot || !spot) && isFeasibleType(job, type, zone));
  const awaited = new Set<string>();
  for (const type of cluster.machineTypes.values()) {
    if (type.gpus === 0) continue;
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        if (isAwaited(type, zone, spot)) awaited.add(capacityPoolKey({ type, zone, spot }));
      }
    }
  }
  return awaited;
}
