/** The machines on record that have yet to be reconciled, grouped by what jobs can ask of a machine. */
import type { MachineId, MonotonicTime } from '../core/types.js';
import type { PreviousTermJob, UnreconciledMachine } from './types.js';

/** CPUs and GPUs of machines that may hold unknown tasks. */
export interface Capacity {
  readonly cpus: number;
  readonly gpus: number;
}

/** Machines that no job's constraints can tell apart. */
interface MachineGroup {
  readonly sample: UnreconciledMachine;
  count: number;
}

const groupKey = ({ type, zone, spot }: UnreconciledMachine): string => `${type}|${zone}|${spot}`;

/** Grouped, so that a question about a job costs the few groups, not the machines. */
export class UnreconciledMachines {
  private readonly machinesById = new Map<MachineId, UnreconciledMachine>();
  private readonly groups = new Map<string, MachineGroup>();
  private cpus = 0;
  private gpus = 0;
  /** Machines may exist that the registry doesn't show, until their leases have surely ended. */
  private unregisteredUntil: MonotonicTime | null = null;

  /** How many machines on record are not reconciled. */
  get count(): number {
    return this.machinesById.size;
  }

  /** Returns whether no machine may hold unknown tasks. */
  isEmpty(now: MonotonicTime): boolean {
    return this.machinesById.size === 0 && !this.mayHaveUnregistered(now);
  }

  /** Without effect for a machine that is there. */
  add(machine: UnreconciledMachine): void {
    if (this.machinesById.has(machine.id)) return;
    this.machinesById.set(machine.id, machine);
    const group = this.groups.get(groupKey(machine));
    if (group) group.count += 1;
    else this.groups.set(groupKey(machine), { sample: machine, count: 1 });
    this.cpus += machine.cpus;
    this.gpus += machine.gpus;
  }

  /** Returns whether the machine was there. */
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

  /** A part of the registry can't be read: machines on it are known only once they report, or not at all. */
  setMayHaveUnregisteredUntil(until: MonotonicTime): void {
    this.unregisteredUntil = until;
  }

  /** Returns whether there may be machines that the registry doesn't show. */
  mayHaveUnregistered(now: MonotonicTime): boolean {
    return this.unregisteredUntil !== null && now < this.unregisteredUntil;
  }

  /** Returns the capacity that may be in use on them; null: it can't be told. */
  capacity(now: MonotonicTime): Capacity | null {
    return this.mayHaveUnregistered(now) ? null : { cpus: this.cpus, gpus: this.gpus };
  }

  /** Returns whether a task of the job could be on one of them. */
  isFeasible(job: PreviousTermJob, now: MonotonicTime): boolean {
    if (this.mayHaveUnregistered(now)) return true;
    for (const { sample } of this.groups.values()) {
      const { type, zone, spot } = sample;
      if (job.allowedMachineTypes !== null && !job.allowedMachineTypes.includes(type)) continue;
      if (job.zone !== null && job.zone !== zone) continue;
      if (spot && !job.toleratesSpot) continue;
      if (job.startZones === null || job.startZones.has(zone)) return true;
    }
    return false;
  }
}
