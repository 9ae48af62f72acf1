/** Tracks the tasks that are allocated to one machine, and its free capacity. */
import type { TaskKey } from '../jobs/task_keys.js';
import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { ImageName, JobSpec, MachineType, MonotonicTime, Resources } from '../types.js';

/** The tasks to which a machine's capacity is allocated. */
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

  get taskCount(): number {
    return this.specs.size;
  }

  /** Number of allocated cores. */
  get usedCpus(): number {
    return this.cpus;
  }

  /** Number of allocated GPUs. */
  get usedGpus(): number {
    return this.gpus;
  }

  /** Allocated memory, in GB. */
  get usedMemoryGb(): number {
    return this.memoryGb;
  }

  /** The amounts that are not allocated. */
  get free(): Resources {
    const { cpus, gpus, memoryGb } = this.type;
    return { cpus: cpus - this.cpus, gpus: gpus - this.gpus, memoryGb: memoryGb - this.memoryGb };
  }

  /** The time since which no task has been allocated. Meaningless while a task is allocated. */
  get idleSince(): MonotonicTime {
    return this.emptySince;
  }

  /** Returns the job specification of each allocated task. Tasks of one job yield the same specification repeatedly. */
  jobSpecs(): Iterable<JobSpec> {
    return this.specs.values();
  }

  /** Returns whether a task fits into the free capacity. */
  hasFreeCapacityFor(task: Resources): boolean {
    return (
      this.cpus + task.cpus <= this.type.cpus + RESOURCE_TOLERANCE &&
      this.gpus + task.gpus <= this.type.gpus + RESOURCE_TOLERANCE &&
      this.memoryGb + task.memoryGb <= this.type.memoryGb + RESOURCE_TOLERANCE
    );
  }

  /** Whether a task that requests GPUs is allocated. */
  get hasGpuTask(): boolean {
    for (const { gpus } of this.specs.values()) if (gpus > 0) return true;
    return false;
  }

  /** Whether a replica of a service is allocated. */
  get hasReplica(): boolean {
    for (const { kind } of this.specs.values()) if (kind === 'service') return true;
    return false;
  }

  /** Returns whether a task that uses the image is allocated. */
  needsImage(image: ImageName): boolean {
    for (const spec of this.specs.values()) if (spec.image === image) return true;
    return false;
  }

  /** Allocates capacity to a task that has no allocation yet. */
  add(task: TaskKey, spec: JobSpec): void {
    this.specs.set(task, spec);
    this.cpus += spec.cpus;
    this.gpus += spec.gpus;
    this.memoryGb += spec.memoryGb;
  }

  /** Releases the capacity of a task. Has no effect if the task has no allocation. */
  remove(task: TaskKey, now: MonotonicTime): void {
    const spec = this.specs.get(task);
    if (!spec) return;
    this.specs.delete(task);
    this.cpus -= spec.cpus;
    this.gpus -= spec.gpus;
    this.memoryGb -= spec.memoryGb;
    if (this.specs.size > 0) return;
    // Adding and subtracting fractional amounts leaves rounding errors, so the sums are reset.
    this.cpus = 0;
    this.gpus = 0;
    this.memoryGb = 0;
    this.emptySince = now;
  }

  /** Restarts the idle time when the machine's first heartbeat is received. */
  resetIdleSince(now: MonotonicTime): void {
    this.emptySince = now;
  }
}
