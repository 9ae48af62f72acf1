/** Builds the snapshot of machines and jobs, taken at the start of a round, on which its plans are based. */
import type { Job } from '../jobs/job.js';
import { capacityPoolKey } from '../machines/capacity_pool.js';
import type { Machine } from '../machines/machine.js';
import { expectedSpotDelaySeconds } from '../machines/spot_interruption_rate.js';
import type { JobId, MachineId, ZoneName } from '../types.js';
import type { ClusterState } from './cluster_state.js';
import { gpuClaims } from './gpu_claims.js';
import { planMachine } from './machine_snapshot.js';
import { fitsTypesWithoutGpus, isFeasibleType, zonesOfSingleZoneJob } from './placement_constraints.js';
import type { PlanJob, PlanMachine } from './plan_types.js';
import { priorityWeight } from './priority.js';
import type { RankedJob } from './ranking.js';
import { penaltyFactor } from './waiting_time.js';
import { zoneAllowance } from './zone_allowance.js';

/** The parts of a ranked job that the snapshot needs. */
type WaitingJob = Pick<RankedJob, 'job' | 'tasks' | 'waitedSeconds'>;

interface ReservedMachine {
  readonly machineIndex: number;
  readonly job: JobId;
}

/** Machines and jobs as input to a round's plans, with the live objects that their indices refer to. */
export class PlanInput {
  /** Machines that are schedulable or being provisioned. */
  readonly machines: readonly Machine[];
  readonly planMachines: readonly PlanMachine[];
  /** One machine for each combination of type, zone, and spot or on demand among `planMachines`. */
  private readonly poolRepresentatives: readonly PlanMachine[];
  private readonly reservedMachines: readonly ReservedMachine[];
  private readonly machineIndexById: ReadonlyMap<MachineId, number>;
  private readonly addedJobs: Job[] = [];
  private readonly addedPlanJobs: PlanJob[] = [];

  /**
   * `ranked` has all waiting jobs that may start, including those that the round does not plan. GPU capacity that any
   * of them could use is protected from other work.
   */
  constructor(
    private readonly cluster: ClusterState,
    ranked: readonly RankedJob[],
  ) {
    const now = cluster.context.now.monotonic;
    const { heartbeatIntervalMs } = cluster.context.settings.workers;
    this.machines = [...cluster.machines.values()].filter(
      (machine) => machine.isProvisioning() || machine.isSchedulable(now, heartbeatIntervalMs),
    );
    this.machineIndexById = new Map(this.machines.map(({ id }, index) => [id, index]));
    const claims = gpuClaims(cluster, ranked);
    this.planMachines = this.machines.map((machine, index) => planMachine(cluster, machine, index, claims));
    this.poolRepresentatives = onePerCapacityPool(this.planMachines);
    this.reservedMachines = this.machines.flatMap((machine, machineIndex) => {
      const job = machine.reservedFor(now);
      return job === null ? [] : [{ machineIndex, job }];
    });
  }

  /** The jobs added so far, by index. */
  get jobs(): readonly Job[] {
    return this.addedJobs;
  }

  /** The jobs added so far as input to plans, by index. */
  get planJobs(): readonly PlanJob[] {
    return this.addedPlanJobs;
  }

  /** Adds a job. Returns null if no zone has a machine for it and none could be provisioned. */
  addJob(waiting: WaitingJob): PlanJob | null {
    const feasibleZones = this.feasibleZones(waiting.job);
    if (feasibleZones.length === 0) return null;
    const planJob = this.planJob(waiting, feasibleZones, this.addedJobs.length);
    this.addedJobs.push(waiting.job);
    this.addedPlanJobs.push(planJob);
    return planJob;
  }

  /**
   * Returns the feasible cluster set of Section III-B2 of the EVO-GP paper. These are the zones with machines for the
   * job or, if there are none, the zones where such a machine could be provisioned. A single-zone job with tasks on
   * machines has only their zone, or none while that is not certain.
   */
  private feasibleZones(job: Job): readonly ZoneName[] {
    const boundZones = zonesOfSingleZoneJob(this.cluster, job);
    if (boundZones !== null) return boundZones;
    const present = this.poolRepresentatives
      .filter(({ type, zone, spot }) => (job.spec.toleratesSpot || !spot) && isFeasibleType(job, type, zone))
      .map(({ zone }) => zone);
    return [...new Set(present.length > 0 ? present : this.provisionableZones(job))].sort();
  }

  /** Returns the zones in which a machine for the job could be provisioned. */
  private provisionableZones(job: Job): ZoneName[] {
    return [...this.cluster.machineTypes.values()].flatMap((type) =>
      type.zones.filter((zone) => isFeasibleType(job, type, zone)),
    );
  }

  private planJob(
    { job, tasks, waitedSeconds }: WaitingJob,
    feasibleZones: readonly ZoneName[],
    index: number,
  ): PlanJob {
    const { spec } = job;
    const { runtimeEstimator, context } = this.cluster;
    const durationSeconds = runtimeEstimator.expectedSeconds(spec);
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
      spotDelaySeconds: this.spotDelaySeconds(job, durationSeconds),
      singleZone: spec.singleZone,
      zoneAllowance: zoneAllowance(this.cluster, job),
      feasibleZones,
      requiredZone: spec.zone ?? zonesOfSingleZoneJob(this.cluster, job)?.[0] ?? null,
      priorityWeight: priorityWeight(spec.priorityLevel, context.tuning.scheduler.priority_base),
      waitedSeconds,
      penaltyFactor: penaltyFactor(this.cluster, job),
      excludedMachines: this.excludedMachines(job),
    };
  }

  private spotDelaySeconds({ spec }: Job, durationSeconds: number): number {
    const { perSecond } = this.cluster.spotInterruptions;
    return expectedSpotDelaySeconds(perSecond, durationSeconds, spec.checkpointIntervalSeconds);
  }

  private excludedMachines(job: Job): Set<number> | null {
    const excluded = new Set<number>();
    for (const reserved of this.reservedMachines) if (reserved.job !== job.id) excluded.add(reserved.machineIndex);
    for (const id of job.failureHistory.avoidedMachines(this.cluster.context.now.monotonic)) {
      const index = this.machineIndexById.get(id);
      if (index !== undefined) excluded.add(index);
    }
    return excluded.size > 0 ? excluded : null;
  }
}

/** Returns one representative machine for each combination of type, zone, and spot or on demand. */
function onePerCapacityPool(machines: readonly PlanMachine[]): PlanMachine[] {
  const byPool = new Map<string, PlanMachine>();
  for (const machine of machines) {
    const key = capacityPoolKey(machine);
    if (!byPool.has(key)) byPool.set(key, machine);
  }
  return [...byPool.values()];
}
