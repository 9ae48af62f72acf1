import type { MachineId, MonotonicTime } from '../core/types.js';
import type { EarlierJob, UncertainMachine } from './types.js';

/** What of the cluster may hold tasks that nobody has told of. */
export interface Capacity {
  readonly cpus: number;
  readonly gpus: number;
}

/** Machines that no job's wishes can tell apart. */
interface MachineGroup {
  readonly sample: UncertainMachine;
  count: number;
}

const groupKey = ({ type, zone, spot }: UncertainMachine): string => `${type}|${zone}|${spot}`;

/**
 * The machines whose lists have yet to come, counted by what jobs can ask of a machine: a question about a job costs the few
 * groups, not the machines.
 */
export class UncertainMachines {
  private readonly machines = new Map<MachineId, UncertainMachine>();
  private readonly groups = new Map<string, MachineGroup>();
  private cpus = 0;
  private gpus = 0;
  /** Machines may exist that the registry doesn't show, until their leases have surely ended. */
  private unlistedUntil: MonotonicTime | null = null;

  get count(): number {
    return this.machines.size;
  }

  /** Whether everything is certain. */
  isEmpty(now: MonotonicTime): boolean {
    return this.machines.size === 0 && !this.mayHaveUnlisted(now);
  }

  add(machine: UncertainMachine): void {
    if (this.machines.has(machine.id)) return;
    this.machines.set(machine.id, machine);
    const group = this.groups.get(groupKey(machine));
    if (group) group.count += 1;
    else this.groups.set(groupKey(machine), { sample: machine, count: 1 });
    this.cpus += machine.cpus;
    this.gpus += machine.gpus;
  }

  /** Returns whether the machine was uncertain. */
  remove(id: MachineId): boolean {
    const machine = this.machines.get(id);
    if (!machine) return false;
    this.machines.delete(id);
    const key = groupKey(machine);
    const group = this.groups.get(key) as MachineGroup;
    group.count -= 1;
    if (group.count === 0) this.groups.delete(key);
    this.cpus -= machine.cpus;
    this.gpus -= machine.gpus;
    return true;
  }

  /** A part of the registry can't be read: machines on it are known only once they report, or not at all. */
  noteUnlisted(until: MonotonicTime): void {
    this.unlistedUntil = until;
  }

  mayHaveUnlisted(now: MonotonicTime): boolean {
    return this.unlistedUntil !== null && now < this.unlistedUntil;
  }

  /** All that may be in use on them; null: there is no telling. */
  capacity(now: MonotonicTime): Capacity | null {
    return this.mayHaveUnlisted(now) ? null : { cpus: this.cpus, gpus: this.gpus };
  }

  /** Whether a task of the job could be on one of them. */
  couldHold(job: EarlierJob, now: MonotonicTime): boolean {
    if (this.mayHaveUnlisted(now)) return true;
    for (const { sample } of this.groups.values()) {
      const { type, zone, spot } = sample;
      if (job.types !== null && !job.types.includes(type)) continue;
      if (job.zone !== null && job.zone !== zone) continue;
      if (spot && !job.spotOk) continue;
      if (job.startZones === null || job.startZones.has(zone)) return true;
    }
    return false;
  }
}
