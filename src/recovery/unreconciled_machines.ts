/** Tracks the registered machines that have yet to be reconciled, grouped by the properties that jobs can constrain. */
import type { MachineId, MonotonicTime, ZoneName } from '../core/types.js';
import type { PreviousTermJob, UnreconciledMachine } from './types.js';

/** The CPUs and GPUs of machines that may hold unknown tasks. */
export interface Capacity {
  readonly cpus: number;
  readonly gpus: number;
}

/** A group of machines that no constraint of a job can tell apart. */
interface MachineGroup {
  readonly sample: UnreconciledMachine;
  count: number;
}

const groupKey = ({ type, zone, spot }: UnreconciledMachine): string => `${type}|${zone}|${spot}`;

/**
 * The machines are grouped so that the cost of a query about a job depends on the few groups, not on the many machines.
 */
export class UnreconciledMachines {
  private readonly machinesById = new Map<MachineId, UnreconciledMachine>();
  private readonly groups = new Map<string, MachineGroup>();
  private cpus = 0;
  private gpus = 0;
  /**
   * Until when machines may exist that are missing from the registry, which is until their leases have certainly
   * expired. Null if the whole registry could be read.
   */
  private unregisteredUntil: MonotonicTime | null = null;

  /** The number of registered machines that are not reconciled. */
  get count(): number {
    return this.machinesById.size;
  }

  /** Returns whether no machine can hold unknown tasks any more. */
  isEmpty(now: MonotonicTime): boolean {
    return this.machinesById.size === 0 && !this.mayHaveUnregistered(now);
  }

  /** Adds a machine. Has no effect if the machine was already added. */
  add(machine: UnreconciledMachine): void {
    if (this.machinesById.has(machine.id)) return;
    this.machinesById.set(machine.id, machine);
    const group = this.groups.get(groupKey(machine));
    if (group) group.count += 1;
    else this.groups.set(groupKey(machine), { sample: machine, count: 1 });
    this.cpus += machine.cpus;
    this.gpus += machine.gpus;
  }

  /** Removes a machine. Returns whether it had been added before. */
  remove(id: MachineId): boolean {
    const machine = this.machinesById.get(id);
    if (!machine) return false;
    this.machinesById.delete(id);
    const key = groupKey(machine);
    const group = this.groups.get(key) as MachineGroup;
    group.count -= 1;
    if (group.count === 0) this.groups.delete(key);
    this.cpus -= machine.cpus;
    this.gpus -= machine.gpus;
    return true;
  }

  /**
   * Records that until then there may be machines that are not tracked: a part of the registry cannot be read, or their
   * type is unknown. Such a machine becomes known only by a heartbeat, or not at all. An earlier time has no effect.
   */
  setMayHaveUnregisteredUntil(until: MonotonicTime): void {
    if (this.unregisteredUntil === null || until > this.unregisteredUntil) this.unregisteredUntil = until;
  }

  /** Returns whether there may be machines that are missing from the registry. */
  mayHaveUnregistered(now: MonotonicTime): boolean {
    return this.unregisteredUntil !== null && now < this.unregisteredUntil;
  }

  /** Returns the capacity that may be in use on unreconciled machines, or null if it cannot be determined. */
  capacity(now: MonotonicTime): Capacity | null {
    return this.mayHaveUnregistered(now) ? null : { cpus: this.cpus, gpus: this.gpus };
  }

  /** Returns whether a task of the job could be on an unreconciled machine. */
  isFeasible(job: PreviousTermJob, now: MonotonicTime): boolean {
    if (this.mayHaveUnregistered(now)) return true;
    for (const { sample } of this.groups.values()) if (isFeasibleOn(job, sample)) return true;
    return false;
  }

  /** Returns the zones of the unreconciled machines on which a task of the job could be. Null if it may be in any zone. */
  feasibleZones(job: PreviousTermJob, now: MonotonicTime): ReadonlySet<ZoneName> | null {
    if (this.mayHaveUnregistered(now)) return null;
    const zones = new Set<ZoneName>();
    for (const { sample } of this.groups.values()) if (isFeasibleOn(job, sample)) zones.add(sample.zone);
    return zones;
  }
}

function isFeasibleOn(job: PreviousTermJob, { type, zone, spot }: UnreconciledMachine): boolean {
  if (job.allowedMachineTypes !== null && !job.allowedMachineTypes.includes(type)) return false;
  if (job.zone !== null && job.zone !== zone) return false;
  if (spot && !job.toleratesSpot) return false;
  return job.startZones === null || job.startZones.has(zone);
}
