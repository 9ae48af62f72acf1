/** Keeps account of the tasks that are allocated to one machine, and of the capacity that they leave. */
import type { TaskKey } from '../jobs/task_keys.js';
import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { ImageName, JobSpec, MachineType, MonotonicTime, Resources } from '../types.js';

/** What a machine's capacity is allocated to. */
export class Allocations {
  private readonly specs = new Map<TaskKey, JobSpec>();
  private cpus = 0;
  private gpus = 0;
  private memoryGb = 0;
  private emptySince: MonotonicTime;

  constructor(
    private readonly type: MachineType,
    now: MonotonicTime,
  ) {
    this.emptySince = now;
  }

  /** How many tasks are allocated. */
  get taskCount(): number {
    return this.specs.size;
  }

  /** Cores that are allocated. */
  get usedCpus(): number {
    return this.cpus;
  }

  /** GPUs that are allocated. */
  get usedGpus(): number {
    return this.gpus;
  }

  /** Memory that is allocated. */
  get usedMemoryGb(): number {
    return this.memoryGb;
  }

  /** Since when no task has been allocated; of no meaning while one is. */
  get idleSince(): MonotonicTime {
    return this.emptySince;
  }

  /** The jobs of the tasks that are allocated, once for each task. */
  jobSpecs(): Iterable<JobSpec> {
    return this.specs.values();
  }

  /** Whether the capacity that is free takes a task. */
  hasFreeCapacityFor(task: Resources): boolean {
    return (
      this.cpus + task.cpus <= this.type.cpus + RESOURCE_TOLERANCE &&
      this.gpus + task.gpus <= this.type.gpus + RESOURCE_TOLERANCE &&
      this.memoryGb + task.memoryGb <= this.type.memoryGb + RESOURCE_TOLERANCE
    );
  }

  /** Whether a task that asks for GPUs is allocated. */
  get hasGpuTask(): boolean {
    for (const { gpus } of this.specs.values()) if (gpus > 0) return true;
    return false;
  }

  /** Whether a replica of a service is allocated. */
  get hasReplica(): boolean {
    for (const { kind } of this.specs.values()) if (kind === 'service') return true;
    return false;
  }

  /** Whether a task that uses the image is allocated. */
  needsImage(image: ImageName): boolean {
    for (const spec of this.specs.values()) if (spec.image === image) return true;
    return false;
  }

  /** Allocates capacity to a task that has none. */
  add(task: TaskKey, spec: JobSpec): void {
    this.specs.set(task, spec);
    this.cpus += spec.cpus;
    this.gpus += spec.gpus;
    this.memoryGb += spec.memoryGb;
  }

  /** Frees the capacity of a task; nothing happens where it has none. */
  remove(task: TaskKey, now: MonotonicTime): void {
    const spec = this.specs.get(task);
    if (!spec) return;
    this.specs.delete(task);
    this.cpus -= spec.cpus;
    this.gpus -= spec.gpus;
    this.memoryGb -= spec.memoryGb;
    if (this.specs.size > 0) return;
    // Sums of decimal amounts leave a rest.
    this.cpus = 0;
    this.gpus = 0;
    this.memoryGb = 0;
    this.emptySince = now;
  }

  /** The machine counts as idle from now on: it is heard for the first time. */
  resetIdleSince(now: MonotonicTime): void {
    this.emptySince = now;
  }
}
