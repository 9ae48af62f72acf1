import type { JobId } from '../../src/core/types.js';
import type { World } from './world.js';

const SAMPLE_INTERVAL_MS = 500;

/** Which part of a service's replica time was served, second by second. */
export class ServiceAvailability {
  private readonly samples = new Map<JobId, { at: number; up: number }[]>();

  constructor(private readonly world: World) {}

  /** Samples from now on. */
  start(): void {
    const look = (): void => {
      this.sample();
      this.world.clock.schedule(SAMPLE_INTERVAL_MS, look);
    };
    this.world.clock.schedule(SAMPLE_INTERVAL_MS, look);
  }

  private sample(): void {
    const { invariants, workers, clock } = this.world;
    const running = new Map<JobId, number>();
    for (const worker of workers.values()) {
      if (worker.isHung) continue;
      for (const task of worker.tasks.values())
        if (task.phase === 'running') running.set(task.job, (running.get(task.job) ?? 0) + 1);
    }
    for (const spec of invariants.submitted.values()) {
      if (spec.kind !== 'service' || !invariants.isAccepted(spec.id) || invariants.cancellationRequested.has(spec.id))
        continue;
      const of = this.samples.get(spec.id) ?? [];
      of.push({ at: clock.now, up: Math.min(1, (running.get(spec.id) ?? 0) / spec.taskCount) });
      this.samples.set(spec.id, of);
    }
  }

  /** From so long after its first sample on. */
  averageFrom(job: JobId, afterMs: number): number {
    const all = this.samples.get(job) ?? [];
    const from = (all[0]?.at ?? 0) + afterMs;
    const counted = all.filter((sample) => sample.at >= from);
    return counted.length === 0 ? 0 : counted.reduce((sum, sample) => sum + sample.up, 0) / counted.length;
  }

  /** The part that is up at the last look. */
  latest(job: JobId): number {
    return this.samples.get(job)?.at(-1)?.up ?? 0;
  }
}
