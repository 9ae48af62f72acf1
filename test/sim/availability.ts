/** Measures the availability of services. */
import type { JobId } from '../../src/core/types.js';
import type { World } from './world.js';

/** Interval of the samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 500;

/** Samples which share of each service's replicas is running. */
export class ServiceAvailability {
  private readonly samples = new Map<JobId, { at: number; runningShare: number }[]>();

  constructor(private readonly world: World) {}

  /** Begins to sample. */
  start(): void {
    const tick = (): void => {
      this.sample();
      this.world.clock.schedule(SAMPLE_INTERVAL_MS, tick);
    };
    this.world.clock.schedule(SAMPLE_INTERVAL_MS, tick);
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
      const jobSamples = this.samples.get(spec.id) ?? [];
      jobSamples.push({ at: clock.now, runningShare: Math.min(1, (running.get(spec.id) ?? 0) / spec.taskCount) });
      this.samples.set(spec.id, jobSamples);
    }
  }

  /**
   * The average running share of a service, without the samples within `afterMs` of its first one; 0 if there are none.
   */
  averageRunningShare(job: JobId, afterMs: number): number {
    const all = this.samples.get(job) ?? [];
    const from = (all[0]?.at ?? 0) + afterMs;
    const samples = all.filter((sample) => sample.at >= from);
    return samples.length === 0 ? 0 : samples.reduce((sum, sample) => sum + sample.runningShare, 0) / samples.length;
  }

  /** The running share of a service in its latest sample; 0 if there is none. */
  latestRunningShare(job: JobId): number {
    return this.samples.get(job)?.at(-1)?.runningShare ?? 0;
  }
}
