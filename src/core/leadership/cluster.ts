import type { Context } from '../context.js';
import { Estimates } from '../jobs/estimates.js';
import { Job, type Placement, type PlacementPhase } from '../jobs/job.js';
import { type Machine, taskKey } from '../machines/machine.js';
import { SpotInterruptionRate } from '../machines/spot_interruptions.js';
import type { JobRecord } from '../records.js';
import { Quotas } from '../scheduler/quotas.js';
import type {
  Attempt,
  ImageName,
  JobId,
  MachineId,
  MachineType,
  Resources,
  Revision,
  Steady,
  TypeName,
} from '../types.js';

const MAX_EARLY_CANCELLATIONS = 10_000;
/** Least spacing of looks at waiting replicas, and what one gathers. */
const SERVICES_SPACING_MS = 100;
const SERVICES_GATHER_MS = 10;

/** What the leader knows: jobs, machines, and which task may be on which machine. */
export class Cluster {
  readonly jobs = new Map<JobId, Job>();
  /** Jobs that still need attention: not over, or over with tasks left on machines. */
  readonly activeJobs = new Set<Job>();
  readonly machines = new Map<MachineId, Machine>();
  /** Machines proven gone in this term: a late report of theirs brings nothing back. */
  readonly removedMachines = new Set<MachineId>();
  readonly quotas: Quotas;
  readonly estimates = new Estimates();
  readonly spotInterruptions = new SpotInterruptionRate();
  /** The largest tasks seen that use an image. */
  readonly largestImageUsers = new Map<ImageName, Resources>();
  readonly imageGb = new Map<ImageName, number>();
  /** Accepted services: their replicas are placed outside the search. */
  readonly services = new Set<Job>();
  /** Machines with tasks that were told to stop, or with replicas to start: only these need direct commands. */
  readonly machinesWithStops = new Set<Machine>();
  readonly machinesWithStarts = new Set<Machine>();
  types: ReadonlyMap<TypeName, MachineType> = new Map();
  /** Jobs that a peer said are cancelled before their records were known here. */
  private readonly cancelledBeforeKnown = new Set<JobId>();
  /** When replicas were last placed. */
  lastServicePlacementAt = 0 as Steady;
  private attempts = 0n;

  constructor(
    readonly ctx: Context,
    readonly term: number,
  ) {
    this.quotas = new Quotas(ctx.settings.teams);
  }

  /** Higher than any attempt of an earlier term, and than any earlier one of this term. */
  nextAttempt(): Attempt {
    this.attempts += 1n;
    return ((BigInt(this.term) << 24n) + this.attempts) as Attempt;
  }

  learnJob(record: JobRecord, version: Revision): Job {
    const known = this.jobs.get(record.spec.id);
    if (known) {
      const before = known.state;
      known.merge(record, version);
      if (known.state !== before) this.onJobFinished(known);
      return known;
    }
    const job = new Job(record, version);
    if (this.cancelledBeforeKnown.delete(job.id) && job.state === 'accepted') job.state = 'cancelled';
    job.inactiveSince = this.ctx.now.steady;
    this.jobs.set(job.id, job);
    this.imageGb.set(job.spec.image, job.spec.imageGb);
    const user = this.largestImageUsers.get(job.spec.image);
    if (!user || user.gpus < job.spec.gpus || user.cpus < job.spec.cpus)
      this.largestImageUsers.set(job.spec.image, job.spec);
    if (job.state !== 'accepted') return job;
    this.activeJobs.add(job);
    if (job.spec.shape === 'service') {
      this.services.add(job);
      this.scheduleServicePlacement();
    }
    return job;
  }

  /** A peer's word that the job's cancellation is on record: it never turns back, so nothing more is started at once. */
  cancelOnNotice(id: JobId): void {
    const job = this.jobs.get(id);
    if (!job) {
      if (this.cancelledBeforeKnown.size < MAX_EARLY_CANCELLATIONS) this.cancelledBeforeKnown.add(id);
      return;
    }
    if (job.state !== 'accepted') return;
    job.state = 'cancelled';
    this.onJobFinished(job);
  }

  /** A job is done or cancelled: what is only planned goes, what may be there is stopped. */
  onJobFinished(job: Job): void {
    this.services.delete(job);
    for (const placement of [...job.placements.values()]) {
      if (placement.phase === 'planned') this.release(placement);
      else if (job.state === 'cancelled') this.stop(placement, 0);
    }
    this.deactivateIfSettled(job);
  }

  /** Replicas wait for a place, or room was made for one: looked at soon, not with the next round. */
  scheduleServicePlacement(at: Steady = this.ctx.now.steady): void {
    let waits = false;
    for (const job of this.services) if (job.pendingCount > 0) waits = true;
    if (!waits) return;
    const due = this.ctx.timers.at('servicePlacement');
    const soon = Math.max(
      at,
      this.lastServicePlacementAt + SERVICES_SPACING_MS,
      this.ctx.now.steady + SERVICES_GATHER_MS,
    ) as Steady;
    if (due === null || due > soon) this.ctx.timers.set('servicePlacement', soon);
  }

  private deactivateIfSettled(job: Job): void {
    if (job.state !== 'accepted' && job.placements.size === 0 && job.needsWrite === 'no') this.activeJobs.delete(job);
  }

  place(job: Job, index: number, machine: Machine, attempt: Attempt, phase: PlacementPhase): Placement {
    const now = this.ctx.now.steady;
    const placement: Placement = {
      job,
      index,
      machine,
      attempt,
      phase,
      sentInReplyTo: null,
      since: now,
      runningSince: phase === 'running' ? now : null,
      stop: null,
    };
    job.placements.set(index, placement);
    machine.addPlacement(placement);
    this.quotas.add(job.spec, 1);
    this.activeJobs.add(job);
    return placement;
  }

  /** The task is proven not to be on the machine (any more). */
  release(placement: Placement): void {
    const { job, machine } = placement;
    if (job.placements.get(placement.index) !== placement) return;
    job.placements.delete(placement.index);
    if (job.placements.size === 0) job.inactiveSince = this.ctx.now.steady;
    machine.removePlacement(placement, this.ctx.now.steady);
    this.quotas.add(job.spec, -1);
    job.noteReleased(placement.index);
    if (this.services.has(job) || machine.reserved !== null) this.scheduleServicePlacement();
    if (job.spec.shape === 'gang' && job.state === 'accepted') {
      if (job.placements.size > 0) this.breakGang(job);
      else job.gangBroken = false;
    }
    this.deactivateIfSettled(job);
  }

  releaseAll(machine: Machine): void {
    for (const p of [...machine.placements.values()]) this.release(p);
    machine.exitedTasks = [];
  }

  /** One task of a gang is lost: the others of its attempt have nothing to wait for. */
  breakGang(job: Job): void {
    if (job.gangBroken) return;
    job.gangBroken = true;
    for (const placement of [...job.placements.values()]) {
      if (placement.phase === 'planned') this.release(placement);
      else this.stop(placement, 0);
    }
    if (job.placements.size === 0) job.gangBroken = false;
  }

  stop(placement: Placement, graceS: number): void {
    if (placement.stop && placement.stop.graceS <= graceS) return;
    placement.stop = { graceS, since: this.ctx.now.steady };
    this.machinesWithStops.add(placement.machine);
    this.ctx.timers.set('workerCommands', this.ctx.now.steady);
  }

  /** Stops a task so that its work is saved where it can be; a gang is stopped as a whole. */
  stopSaving(placement: Placement): void {
    const { job } = placement;
    const grace = job.spec.checkpointS > 0 ? job.spec.saveS * 1.5 + 1 : 0;
    const group = job.spec.shape === 'gang' ? [...job.placements.values()] : [placement];
    if (job.spec.shape === 'gang') job.gangBroken = true;
    for (const member of group) {
      if (member.phase === 'planned') this.release(member);
      else this.stop(member, grace);
    }
  }

  findPlacement(machine: Machine, job: JobId, index: number): Placement | undefined {
    return machine.placements.get(taskKey(job, index));
  }

  removeMachine(machine: Machine): void {
    this.releaseAll(machine);
    this.machines.delete(machine.id);
    this.removedMachines.add(machine.id);
    this.updateUnreconciled();
  }

  /** Machines that may hold anybody's tasks count in full against every limited team. */
  updateUnreconciled(): number {
    let n = 0;
    let cpus = 0;
    let gpus = 0;
    for (const machine of this.machines.values()) {
      if (machine.reconciled) continue;
      n += 1;
      cpus += machine.type.cpus;
      gpus += machine.type.gpus;
    }
    this.quotas.unreconciled = { cpus, gpus };
    return n;
  }

  /**
   * Whether tasks of the job may be on a machine that has not shown us its list: then nothing of it may be started,
   * here or in another zone.
   */
  isBlocked(job: Job, unaccounted: number): boolean {
    return unaccounted > 0 && job.startTerm > 0 && job.startTerm < this.term;
  }
}
