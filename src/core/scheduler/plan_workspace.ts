/** State of the plan in progress. It holds the capacity reserved on each machine and finds candidates for a job. */
import type { ZoneName } from '../types.js';
import { type Candidate, findCandidates, machinesWithFreeCapacityNow } from './candidates.js';
import { clonePlanMachine, reserveCapacity } from './capacity_timeline.js';
import type { GangPlacement } from './gang_search.js';
import type { PlanJob, PlanMachine, PlannedStart, WorkingMachine } from './plan_types.js';
import type { PlacementPenalties } from './policy.js';

/**
 * Copy-on-write view of the machines. A machine is copied when capacity is first reserved on it, so that a plan does
 * not modify its input.
 */
export class PlanWorkspace {
  /** Plan steps used so far by all plans and backfills (see `Plan.steps`). */
  steps = 0;
  private baseMachines: readonly PlanMachine[] = [];
  private planned: PlanMachine[] = [];
  private readonly machineIndicesByZone = new Map<ZoneName, number[]>();

  constructor(readonly penalties: PlacementPenalties) {}

  /** The machines with the capacity reserved so far. */
  get machines(): readonly PlanMachine[] {
    return this.planned;
  }

  /** Begins a plan on these machines. The grouping by zone is reused if the list is the same object as before. */
  begin(baseMachines: readonly PlanMachine[]): void {
    this.planned = baseMachines.slice();
    if (this.baseMachines === baseMachines) return;
    this.baseMachines = baseMachines;
    this.machineIndicesByZone.clear();
    for (const { zone, index } of baseMachines) {
      const indices = this.machineIndicesByZone.get(zone);
      if (indices) indices.push(index);
      else this.machineIndicesByZone.set(zone, [index]);
    }
  }

  /** Returns the candidates among the machines with these indices. */
  candidatesAmong(job: PlanJob, machineIndices: Iterable<number>): Candidate[] {
    const found = findCandidates(job, this.planned, machineIndices, this.penalties);
    this.steps += found.length;
    return found;
  }

  /**
   * Returns the candidates among the machines of the zones. If there are very many machines, only a sufficient number
   * with free capacity now is considered (see `machinesWithFreeCapacityNow`).
   */
  candidatesInZones(job: PlanJob, zones: readonly ZoneName[]): Candidate[] {
    return this.candidatesAmong(job, machinesWithFreeCapacityNow(job, this.planned, this.machineIndicesIn(zones)));
  }

  private machineIndicesIn(zones: readonly ZoneName[]): readonly number[] {
    if (zones.length === 1) return this.machineIndicesByZone.get(zones[0] as ZoneName) ?? [];
    const all: number[] = [];
    for (const zone of zones) for (const index of this.machineIndicesByZone.get(zone) ?? []) all.push(index);
    return all;
  }

  /** Adds a start to `starts` and reserves its capacity for `occupiedSeconds` from the time at which it is free. */
  addStart(
    start: PlannedStart,
    job: PlanJob,
    candidate: Candidate,
    occupiedSeconds: number,
    starts: PlannedStart[],
  ): void {
    starts.push(start);
    const { machineIndex } = candidate;
    const machine = this.workingMachine(machineIndex);
    candidate.machine = machine;
    reserveCapacity(machine, start.freeAtSeconds, occupiedSeconds, start.tasks, job);
  }

  private workingMachine(machineIndex: number): WorkingMachine {
    const base = this.baseMachines[machineIndex] as PlanMachine;
    const current = this.planned[machineIndex] as PlanMachine;
    // A machine that differs from the base is a copy made by this method.
    if (current !== base) return current as WorkingMachine;
    const copy = clonePlanMachine(base);
    this.planned[machineIndex] = copy;
    return copy;
  }

  /** Adds the starts of a whole gang. Machines that have the image wait for those that still pull it. */
  addGangStarts(job: PlanJob, placement: GangPlacement, starts: PlannedStart[]): void {
    const { freeAtSeconds, startSeconds, allocations } = placement;
    const occupiedSeconds = startSeconds - freeAtSeconds + job.durationSeconds;
    for (const { candidate, tasks } of allocations) {
      const { machineIndex } = candidate;
      const start = { jobIndex: job.index, machineIndex, tasks, freeAtSeconds, startAtSeconds: startSeconds };
      this.addStart(start, job, candidate, occupiedSeconds, starts);
    }
  }
}
