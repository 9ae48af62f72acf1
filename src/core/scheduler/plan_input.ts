import type { Job } from '../jobs/job.js';
import { capacityPoolKey } from '../machines/capacity_pool.js';
import type { Machine } from '../machines/machine.js';
import { expectedSpotDelaySeconds } from '../machines/spot_interruption_rate.js';
import type { Placement } from '../state/placement.js';
import type { JobId, MachineId, MachineTypeName, MonotonicTime, ZoneName } from '../types.js';
import { machineShare } from './capacity_timeline.js';
import type { ClusterState } from './cluster_state.js';
import { fitsTypesWithoutGpus, isFeasibleType } from './placement_constraints.js';
import type { PlanJob, PlanMachine } from './plan_types.js';
import { priorityWeight } from './priority.js';
import type { RankedJob } from './ranking.js';
import { type GpuDemand, gpuDemand, spareCapacity } from './spare_capacity.js';
import { penaltyFactor } from './waiting_time.js';
import { zoneAllowance } from './zone_allowance.js';

/** A task that takes more of a machine than this needs a whole one. */
const WHOLE_MACHINE_SHARE = 0.6;
/** Ends closer than this are one step of a machine's free room. */
const SAME_END_SECONDS = 0.01;

/** A machine that is kept for a job on its way there. */
interface Reservation {
  readonly machineIndex: number;
  readonly job: JobId;
}

/** Machines and jobs as a round's plans see them, by slot. */
export class PlanInput {
  readonly machines: readonly Machine[];
  readonly planMachines: readonly PlanMachine[];
  readonly jobs: Job[] = [];
  readonly planJobs: PlanJob[] = [];
  /** One machine for each type, zone and kind there is. */
  private readonly poolRepresentatives: readonly PlanMachine[];
  private readonly reservations: readonly Reservation[];
  private readonly machineIndexById: ReadonlyMap<MachineId, number>;

  constructor(
    private readonly cluster: ClusterState,
    ranked: readonly RankedJob[],
  ) {
    const now = cluster.context.now.monotonic;
    const { heartbeatIntervalMs } = cluster.context.settings.workers;
    this.machines = [...cluster.machines.values()].filter(
      (machine) => machine.isProvisioning() || machine.isSchedulable(now, heartbeatIntervalMs),
    );
    this.machineIndexById = new Map(this.machines.map(({ id }, slot) => [id, slot]));
    this.planMachines = toPlanMachines(cluster, this.machines, ranked);
    this.poolRepresentatives = onePerCapacityPool(this.planMachines);
    this.reservations = this.machines.flatMap((machine, machineIndex) => {
      const job = machine.reservedFor(now);
      return job === null ? [] : [{ machineIndex, job }];
    });
  }

  /** Adds a job, unless no zone could host it. */
  addJob({ job, tasks, waitedSeconds }: Pick<RankedJob, 'job' | 'tasks' | 'waitedSeconds'>): number | null {
    const zones = this.feasibleZones(job);
    if (zones.length === 0) return null;
    const slot = this.jobs.length;
    this.jobs.push(job);
    this.planJobs.push(this.toPlanJob(job, tasks, waitedSeconds, zones, slot));
    return slot;
  }

  /** Zones that may host the job now: the search draws from these only. */
  private feasibleZones(job: Job): ZoneName[] {
    if (job.spec.singleZone)
      for (const { machine } of this.cluster.placements.ofJob(job).values()) return [machine.zone];
    const present = this.poolRepresentatives
      .filter(({ type, zone, spot }) => (job.spec.toleratesSpot || !spot) && isFeasibleType(job, type, zone))
      .map(({ zone }) => zone);
    return [...new Set(present.length > 0 ? present : this.provisionableZones(job))].sort();
  }

  /** Zones in which a machine for the job could be rented. */
  private provisionableZones(job: Job): ZoneName[] {
    return [...this.cluster.machineTypes.values()].flatMap((type) =>
      type.zones.filter((zone) => isFeasibleType(job, type, zone)),
    );
  }

  private toPlanJob(job: Job, tasks: number, waitedSeconds: number, feasibleZones: ZoneName[], index: number): PlanJob {
    const { spec } = job;
    const { runtimeEstimator, spotInterruptions, context } = this.cluster;
    const durationSeconds = runtimeEstimator.expectedSeconds(spec);
    const isBound = spec.singleZone && job.placedCount > 0;
    return {
      index,
      isGang: job.isGang,
      tasks,
      durationSeconds,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      image: spec.image,
      imageGb: spec.imageGb,
      allowedMachineTypes: spec.allowedMachineTypes,
      fitsTypesWithoutGpus: fitsTypesWithoutGpus(this.cluster, job),
      toleratesSpot: spec.toleratesSpot,
      spotDelaySeconds: expectedSpotDelaySeconds(
        spotInterruptions.perSecond,
        durationSeconds,
        spec.checkpointIntervalSeconds,
      ),
      singleZone: spec.singleZone,
      zoneAllowance: zoneAllowance(this.cluster, job),
      feasibleZones,
      boundZone: spec.zone ?? (isBound ? (feasibleZones[0] as ZoneName) : null),
      priorityWeight: priorityWeight(spec.priorityLevel, context.tuning.scheduler.priority_base),
      waitedSeconds,
      penaltyFactor: penaltyFactor(this.cluster, job),
      excludedMachines: this.excludedMachines(job),
    };
  }

  private excludedMachines(job: Job): Set<number> | null {
    const slots = new Set<number>();
    for (const reservation of this.reservations) if (reservation.job !== job.id) slots.add(reservation.machineIndex);
    for (const id of job.failureHistory.avoidedMachines(this.cluster.context.now.monotonic)) {
      const slot = this.machineIndexById.get(id);
      if (slot !== undefined) slots.add(slot);
    }
    return slots.size > 0 ? slots : null;
  }
}

function toPlanMachines(
  cluster: ClusterState,
  machines: readonly Machine[],
  ranked: readonly RankedJob[],
): PlanMachine[] {
  const claims: GpuClaims = {
    demand: gpuDemand(cluster),
    reservedTypes: typesReservedForGangs(cluster, ranked),
    awaitedPools: poolsAwaitedByGpuWork(cluster, ranked),
  };
  return machines.map((machine, slot) => toPlanMachine(cluster, machine, slot, claims));
}

/** What GPU work there is asks of machines, by type or kind. */
interface GpuClaims {
  readonly demand: GpuDemand;
  /** Types of which gangs wait for whole machines on demand. */
  readonly reservedTypes: ReadonlySet<MachineTypeName>;
  /** Kinds that waiting GPU work could take. */
  readonly awaitedPools: ReadonlySet<string>;
}

/** The kinds of machines with GPUs that waiting GPU work could take. */
function poolsAwaitedByGpuWork(cluster: ClusterState, waiting: readonly RankedJob[]): Set<string> {
  const kinds = new Set<string>();
  const gpuJobs = waiting.filter(({ job }) => job.spec.gpus > 0 && !job.isFaulty);
  for (const type of cluster.machineTypes.values()) {
    if (type.gpus === 0) continue;
    for (const zone of type.zones) {
      for (const spot of [false, true]) {
        const isAwaited = gpuJobs.some(
          ({ job }) => (job.spec.toleratesSpot || !spot) && isFeasibleType(job, type, zone),
        );
        if (isAwaited) kinds.add(capacityPoolKey({ type, zone, spot }));
      }
    }
  }
  return kinds;
}

function toPlanMachine(
  cluster: ClusterState,
  machine: Machine,
  index: number,
  { demand, reservedTypes, awaitedPools }: GpuClaims,
): PlanMachine {
  const now = cluster.context.now.monotonic;
  const spare = spareCapacity(machine, demand);
  return {
    index,
    zone: machine.zone,
    type: machine.type,
    spot: machine.spot,
    ...freeCapacity(cluster, machine),
    spareCpus: spare.cpus,
    spareMemoryGb: spare.memoryGb,
    servesGpuWork: awaitedPools.has(capacityPoolKey(machine)) || machine.hasGpuWork(now),
    reservedForGangs: !machine.spot && reservedTypes.has(machine.typeName),
    imagePullSeconds: (image, gb) => machine.images.remainingPullSeconds(image, gb, now),
    largestCachedImageShare: largestCachedImageShare(cluster, machine),
  };
}

/** What is free on a machine now, and from each expected end of its tasks on. */
function freeCapacity(
  cluster: ClusterState,
  machine: Machine,
): Pick<PlanMachine, 'stepTimesSeconds' | 'freeCpus' | 'freeGpus' | 'freeMemoryGb'> {
  const now = cluster.context.now.monotonic;
  const stepTimesSeconds = [machine.phase === 'booting' ? remainingBootSeconds(cluster, machine, now) : 0];
  const freeCpus = [machine.type.cpus - machine.allocations.usedCpus];
  const freeGpus = [machine.type.gpus - machine.allocations.usedGpus];
  const freeMemoryGb = [machine.type.memoryGb - machine.allocations.usedMemoryGb];
  const ends = [...cluster.placements.onMachine(machine).values()]
    .map((placement) => ({ atS: remainingSeconds(cluster, placement, now), spec: placement.job.spec }))
    .sort((a, b) => a.atS - b.atS);
  for (const { atS, spec } of ends) {
    let step = stepTimesSeconds.length - 1;
    // Ends within a second of each other are one step: a machine of 64 cores would have as many steps as tasks.
    if (atS > (stepTimesSeconds[step] as number) + SAME_END_SECONDS) {
      stepTimesSeconds.push(Math.ceil(atS));
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

/** Seconds until a task is expected to leave its machine. */
function remainingSeconds(
  { context, runtimeEstimator }: ClusterState,
  placement: Placement,
  now: MonotonicTime,
): number {
  const { job, machine, pendingStop, runningSince } = placement;
  const reportS = context.settings.workers.heartbeatIntervalMs / 1000;
  if (pendingStop !== null) return Math.max(reportS, pendingStop.gracePeriodSeconds);
  const expectedS = runtimeEstimator.expectedSeconds(job.spec);
  if (job.isService) return expectedS;
  if (runningSince === null)
    return machine.images.remainingPullSeconds(job.spec.image, job.spec.imageGb, now) + expectedS;
  const elapsedS = (now - runningSince) / 1000;
  // The longer work has run over what was expected, the longer it is likely to go on: taking overdue work to end at once
  // makes others wait for gaps that never come.
  return Math.max(reportS, expectedS - elapsedS, elapsedS * context.tuning.scheduler.overdue_share);
}

/** When a machine that was rented but hasn't reported is expected, in seconds from now. */
function remainingBootSeconds({ bootTimeEstimator }: ClusterState, machine: Machine, now: MonotonicTime): number {
  return bootTimeEstimator.remainingSeconds(machine.type, machine.zone, machine.lifecycle.ageSeconds(now), now);
}

function largestCachedImageShare(cluster: ClusterState, machine: Machine): number {
  let largest = 0;
  for (const image of machine.images.presentImages()) {
    const user = cluster.images.largestTasks.get(image);
    if (user) largest = Math.max(largest, machineShare(user, machine.type));
  }
  return largest;
}

/** Types of which gangs wait for whole machines that may not be spot ones. */
function typesReservedForGangs(cluster: ClusterState, waiting: readonly RankedJob[]): Set<MachineTypeName> {
  const found = new Set<MachineTypeName>();
  for (const { job } of waiting) {
    if (!job.isGang || job.spec.toleratesSpot) continue;
    for (const type of cluster.machineTypes.values()) {
      const needsWhole = machineShare(job.spec, type) > WHOLE_MACHINE_SHARE;
      if (needsWhole && type.zones.some((zone) => isFeasibleType(job, type, zone))) found.add(type.name);
    }
  }
  return found;
}

/** For each type, zone and kind in sight one machine that stands for the others. */
function onePerCapacityPool(machines: readonly PlanMachine[]): PlanMachine[] {
  const kinds = new Map<string, PlanMachine>();
  for (const machine of machines) {
    const key = capacityPoolKey(machine);
    if (!kinds.has(key)) kinds.set(key, machine);
  }
  return [...kinds.values()];
}
