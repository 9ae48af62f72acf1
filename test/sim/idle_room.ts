import type { JobId, JobSpec } from '../../src/core/types.js';
import type { Worker } from './worker.js';
import type { World } from './world.js';

const LOOK_MS = 3000;
const WAIT_MS = 90_000;

/**
 * Once all troubles are over, no job waits 90 s while machines that fit have room and its team is under its limit. Only
 * jobs with nothing on any machine are judged, and only room that is there for all that would have to start together.
 */
export class IdleRoom {
  private readonly since = new Map<JobId, number>();
  private readonly told = new Set<JobId>();

  constructor(private readonly world: World) {
    const look = (): void => {
      this.look();
      world.clock.in(LOOK_MS, look);
    };
    world.clock.in(LOOK_MS, look);
  }

  private look(): void {
    const { clock, rules } = this.world;
    for (const spec of rules.submitted.values()) {
      const room = clock.now > rules.troublesUntil && this.waits(spec) ? this.room(spec) : null;
      if (room === null) {
        this.since.delete(spec.id);
        continue;
      }
      const since = Math.max(this.since.get(spec.id) ?? clock.now, rules.lastStart.get(spec.id) ?? 0);
      this.since.set(spec.id, since);
      if (clock.now - since < WAIT_MS || this.told.has(spec.id)) continue;
      this.told.add(spec.id);
      rules.idleRoom(spec.id, room.id);
    }
  }

  private waits(spec: JobSpec): boolean {
    const { rules, faulty, workers } = this.world;
    if (!rules.isAccepted(spec.id) || rules.cancelAsked.has(spec.id) || rules.isDone(spec.id)) return false;
    if (faulty.has(spec.id)) return false;
    for (const worker of workers.values())
      for (const task of worker.tasks.values()) if (task.job === spec.id) return false;
    return true;
  }

  /** A machine of those that would take it now, or null. */
  private room(spec: JobSpec): Worker | null {
    const together = spec.kind === 'gang' ? spec.taskCount : 1;
    // A gang that spreads needs room in several zones: not judged here.
    if (!this.underLimit(spec, together) || (spec.zoneSpread && together > 1)) return null;
    const perZone = new Map<string, { tasks: number; worker: Worker }>();
    for (const worker of this.world.workers.values()) {
      const tasks = this.takes(worker, spec);
      if (tasks <= 0) continue;
      const zone = spec.singleZone ? worker.zone : 'any';
      const found = perZone.get(zone) ?? { tasks: 0, worker };
      found.tasks += tasks;
      perZone.set(zone, found);
    }
    for (const { tasks, worker } of perZone.values()) if (tasks >= together) return worker;
    return null;
  }

  private takes(worker: Worker, spec: JobSpec): number {
    if (!worker.alive || worker.hung || worker.failsTasks || worker.speed < 1 || worker.noticeAt !== null) return 0;
    if ((worker.spot && !spec.toleratesSpot) || (spec.zone !== null && spec.zone !== worker.zone)) return 0;
    if (spec.allowedMachineTypes !== null && !spec.allowedMachineTypes.includes(worker.type.name)) return 0;
    let { cpus, gpus, memoryGb } = worker.type;
    for (const task of worker.tasks.values()) {
      const other = this.world.rules.specOf(task.job);
      if (!other || task.phase === 'exited') continue;
      cpus -= other.cpus;
      gpus -= other.gpus;
      memoryGb -= other.memoryGb;
    }
    const of = (free: number, each: number): number => (each > 0 ? Math.floor(free / each + 1e-6) : 1000);
    return Math.min(of(cpus, spec.cpus), of(gpus, spec.gpus), of(memoryGb, spec.memoryGb));
  }

  private underLimit(spec: JobSpec, tasks: number): boolean {
    const team = this.world.options.teams.find((each) => each.name === spec.team);
    if (!team) return false;
    let cpus = spec.cpus * tasks;
    let gpus = spec.gpus * tasks;
    for (const worker of this.world.workers.values()) {
      for (const task of worker.tasks.values()) {
        const other = this.world.rules.specOf(task.job);
        if (!other || other.team !== spec.team || task.phase === 'exited') continue;
        cpus += other.cpus;
        gpus += other.gpus;
      }
    }
    return (team.cpuLimit <= 0 || cpus <= team.cpuLimit) && (team.gpuLimit <= 0 || gpus <= team.gpuLimit);
  }
}
