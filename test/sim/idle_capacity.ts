/** Checks that jobs don't wait while there is free capacity for them. */
import type { JobId, JobSpec, ZoneName } from '../../src/core/types.js';
import type { SimulatedWorker } from './worker.js';
import type { World } from './world.js';

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 3000;
/** Maximum time that a job may wait although there is free capacity for it, in milliseconds. */
const MAX_WAIT_MS = 90_000;

/**
 * Checks that after the end of all faults no job waits for 90 s while feasible machines have free capacity for it and
 * its team is within its quota. Capacity that the scheduler keeps for other jobs counts as free. A job waits while none
 * of its tasks is on a machine; tasks that have exited, or whose machine hangs, do not count. For a gang, the free
 * capacity must suffice for all its tasks at once, within the zones that the job allows.
 */
export class IdleCapacityCheck {
  private readonly idleSince = new Map<JobId, number>();
  private readonly reported = new Set<JobId>();

  constructor(private readonly world: World) {
    const tick = (): void => {
      this.check();
      world.clock.schedule(CHECK_INTERVAL_MS, tick);
    };
    world.clock.schedule(CHECK_INTERVAL_MS, tick);
  }

  private check(): void {
    const { clock, invariants } = this.world;
    for (const spec of invariants.submitted.values()) {
      const worker = clock.now > invariants.faultsUntil && this.isWaiting(spec) ? this.findFreeCapacity(spec) : null;
      if (worker === null) {
        this.idleSince.delete(spec.id);
        continue;
      }
      const since = Math.max(this.idleSince.get(spec.id) ?? clock.now, invariants.lastStartAt.get(spec.id) ?? 0);
      this.idleSince.set(spec.id, since);
      if (clock.now - since < MAX_WAIT_MS || this.reported.has(spec.id)) continue;
      this.reported.add(spec.id);
      invariants.onIdleCapacity(spec.id, worker.id);
    }
  }

  private isWaiting(spec: JobSpec): boolean {
    const { invariants, workers } = this.world;
    if (!invariants.isAccepted(spec.id) || invariants.cancellationRequested.has(spec.id) || invariants.isDone(spec.id))
      return false;
    for (const worker of workers.values()) if (!worker.isHung && holdsTaskOf(worker, spec.id)) return false;
    return true;
  }

  /** The worker of a machine with free capacity for the job; null if there isn't enough capacity. */
  private findFreeCapacity(spec: JobSpec): SimulatedWorker | null {
    const requiredTasks = spec.kind === 'gang' ? spec.taskCount : 1;
    if (!this.isWithinQuota(spec, requiredTasks)) return null;
    const freeByZone = new Map<ZoneName, { tasks: number; worker: SimulatedWorker }>();
    for (const worker of this.world.workers.values()) {
      const tasks = this.tasksThatFit(worker, spec);
      if (tasks <= 0) continue;
      const found = freeByZone.get(worker.zone) ?? { tasks: 0, worker };
      found.tasks += tasks;
      freeByZone.set(worker.zone, found);
    }
    const zones = [...freeByZone.values()];
    const maxTasksPerZone = spec.zoneSpread ? Math.ceil(spec.taskCount / 2) : spec.taskCount;
    const usableTasks = zones.map(({ tasks }) => Math.min(tasks, maxTasksPerZone));
    const tasksThatFit = spec.singleZone
      ? Math.max(0, ...usableTasks)
      : usableTasks.reduce((sum, tasks) => sum + tasks, 0);
    return tasksThatFit >= requiredTasks ? (zones[0]?.worker ?? null) : null;
  }

  private tasksThatFit(worker: SimulatedWorker, spec: JobSpec): number {
    if (!worker.isAlive || worker.isHung || worker.failsTasks || worker.interruptionAt !== null) return 0;
    if ((worker.spot && !spec.toleratesSpot) || (spec.zone !== null && spec.zone !== worker.zone)) return 0;
    if (spec.allowedMachineTypes !== null && !spec.allowedMachineTypes.includes(worker.type.name)) return 0;
    let { cpus, gpus, memoryGb } = worker.type;
    for (const task of worker.tasks.values()) {
      const other = this.world.invariants.specOf(task.job);
      if (!other || task.phase === 'exited') continue;
      cpus -= other.cpus;
      gpus -= other.gpus;
      memoryGb -= other.memoryGb;
    }
    const countThatFit = (free: number, each: number): number => (each > 0 ? Math.floor(free / each + 1e-6) : 1000);
    return Math.min(
      countThatFit(cpus, spec.cpus),
      countThatFit(gpus, spec.gpus),
      countThatFit(memoryGb, spec.memoryGb),
    );
  }

  private isWithinQuota(spec: JobSpec, tasks: number): boolean {
    const team = this.world.options.teams.find((each) => each.name === spec.team);
    if (!team) return false;
    let cpus = spec.cpus * tasks;
    let gpus = spec.gpus * tasks;
    for (const worker of this.world.workers.values()) {
      for (const task of worker.tasks.values()) {
        const other = this.world.invariants.specOf(task.job);
        if (!other || other.team !== spec.team || task.phase === 'exited') continue;
        cpus += other.cpus;
        gpus += other.gpus;
      }
    }
    return (team.limit.cpus <= 0 || cpus <= team.limit.cpus) && (team.limit.gpus <= 0 || gpus <= team.limit.gpus);
  }
}

/** Whether a task of the job is on the machine and has not exited. */
function holdsTaskOf(worker: SimulatedWorker, job: JobId): boolean {
  for (const task of worker.tasks.values()) if (task.job === job && task.phase !== 'exited') return true;
  return false;
}
