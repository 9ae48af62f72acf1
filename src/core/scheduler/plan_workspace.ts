/** The plan in progress: which machines it has reserved capacity on, and which of them a job may still use. */
import type { ZoneName } from '../types.js';
import { type Candidate, findCandidates, machinesWithFreeCapacityNow } from './candidates.js';
import { clonePlanMachine, reserveCapacity } from './capacity_timeline.js';
import type { GangPlacement } from './gang_search.js';
import type { PlanJob, PlanMachine, PlannedStart, WorkingMachine } from './plan_types.js';
import type { PlacementPenalties } from './policy.js';

/** Copy-on-write machines: one is copied when something is first reserved on it, so that a plan leaves its input as it is. */
export class PlanWorkspace {
  /** Plan steps spent so far, over all plans: what bounds a round, so that a seed repeats. */
  steps = 0;
  private baseMachines: readonly PlanMachine[] = [];
  private planned: PlanMachine[] = [];
  private readonly machineIndicesByZone = new Map<ZoneName, number[]>();

  constructor(readonly penalties: PlacementPenalties) {}

  /** The machines as the plan has left them so far. */
  get machines(): readonly PlanMachine[] {
    return this.planned;
  }

  /** Begins a plan on these machines. The grouping by zone is kept while they stay the same. */
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

  /** Returns the candidates among all machines of the zones; of very many machines enough that have free capacity now. */
  candidatesInZones(job: PlanJob, zones: readonly ZoneName[]): Candidate[] {
    return this.candidatesAmong(job, machinesWithFreeCapacityNow(job, this.planned, this.machineIndicesIn(zones)));
  }

  private machineIndicesIn(zones: readonly ZoneName[]): readonly number[] {
    if (zones.length === 1) return this.machineIndicesByZone.get(zones[0] as ZoneName) ?? [];
    const all: number[] = [];
    for (const zone of zones) for (const index of this.machineIndicesByZone.get(zone) ?? []) all.push(index);
    return all;
  }

  /** Adds a start to `starts` and reserves its capacity for so many seconds from when that is free. */
  start(
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
    // What differs from the base is a copy made here.
    if (current !== base) return current as WorkingMachine;
    const copy = clonePlanMachine(base);
    this.planned[machineIndex] = copy;
    return copy;
  }

  /** Starts a whole gang; machines with the image wait for those that still pull it. */
  startGang(job: PlanJob, placement: GangPlacement, starts: PlannedStart[]): void {
    const { freeAtSeconds, startSeconds, allocations } = placement;
    const occupiedSeconds = startSeconds - freeAtSeconds + job.durationSeconds;
    for (const { candidate, tasks } of allocations) {
      const { machineIndex } = candidate;
      const start = { jobIndex: job.index, machineIndex, tasks, freeAtSeconds, startAtSeconds: startSeconds };
      this.start(start, job, candidate, occupiedSeconds, starts);
    }
  }
}
