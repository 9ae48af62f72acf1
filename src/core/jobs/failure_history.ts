/** The failure history of one job, used to tell a faulty job from faulty machines. */
import type { MachineId, MonotonicTime } from '../types.js';

/**
 * Number of machines on which a job has to fail, without succeeding on any, to be considered faulty. It is then more
 * likely at fault than the machines.
 */
const FAULTY_AFTER_MACHINE_COUNT = 2;
/**
 * How long a job avoids a machine on which it failed, in milliseconds. Limited so that no job waits indefinitely while
 * there is free capacity.
 */
const AVOID_MS = 45_000;
/** Delay before the first retry of a faulty job, in milliseconds. It doubles with each retry that fails. */
const INITIAL_BACKOFF_MS = 2000;
const MAX_BACKOFF_DOUBLINGS = 5;
/**
 * Maximum delay before a retry, in milliseconds. It is well below the time for which a job may wait while there is free
 * capacity.
 */
const MAX_BACKOFF_MS = 45_000;
/**
 * Machines are provisioned for a faulty job only if its last failure is longer ago than this, in milliseconds. By then
 * there may be no machine left on which the job can run.
 */
const SCALE_OUT_AFTER_MS = 150_000;
/**
 * A task is considered healthy if it runs longer than the longest failed run multiplied by this factor, plus the extra
 * milliseconds below.
 */
const HEALTHY_AFTER_FACTOR = 2;
const HEALTHY_AFTER_EXTRA_MS = 4000;

/** A failure of a task, with what matters for judging its job. */
interface TaskFailure {
  readonly placedAt: MonotonicTime;
  /** How long the task had run according to the statuses, in milliseconds. */
  readonly ranMs: number;
  readonly now: MonotonicTime;
  /** Whether other jobs have failed on the machine too. The failure is then no evidence against this job. */
  readonly machineSuspected: boolean;
}

/**
 * Records how a job's tasks have failed. A job that was submitted with a mistake fails on every machine and has never
 * succeeded, which distinguishes it from a job that was placed on a faulty machine.
 */
export class FailureHistory {
  /** When the job last failed on each machine. */
  private readonly failedAtByMachine = new Map<MachineId, MonotonicTime>();
  /** Machines on which this job failed while no other job had failed there. */
  private readonly unsuspectedMachines = new Set<MachineId>();
  private succeeded = false;
  private failedAttempts = 0;
  private lastFailureAt = Number.NEGATIVE_INFINITY as MonotonicTime;
  private longestFailureMs = 0;

  recordFailure(machine: MachineId, { placedAt, ranMs, now, machineSuspected }: TaskFailure): void {
    this.failedAtByMachine.set(machine, now);
    if (!machineSuspected) this.unsuspectedMachines.add(machine);
    this.longestFailureMs = Math.max(this.longestFailureMs, ranMs);
    // Tasks that were placed together and fail together count as one failed attempt.
    if (placedAt >= this.lastFailureAt) this.failedAttempts += 1;
    this.lastFailureAt = now;
  }

  /** Records a success of any task: it completed, saved a checkpoint, or ran for much longer than the failed ones. */
  recordSuccess(): void {
    this.succeeded = true;
    this.failedAttempts = 0;
  }

  /** Discards the record of the machines on which the job failed. */
  clearMachines(): void {
    this.failedAtByMachine.clear();
    this.unsuspectedMachines.clear();
  }

  /** Returns whether a run of this length shows that a task is healthy. */
  isHealthyAfter(ranMs: number): boolean {
    return ranMs > this.longestFailureMs * HEALTHY_AFTER_FACTOR + HEALTHY_AFTER_EXTRA_MS;
  }

  /** Whether any task has succeeded on any machine. */
  get hasSucceeded(): boolean {
    return this.succeeded;
  }

  /** Whether a task has failed on any machine since the last call of `clearMachines`. */
  get hasFailed(): boolean {
    return this.failedAtByMachine.size > 0;
  }

  /** Whether the job itself is likely at fault, rather than the machines on which it failed. */
  get isFaulty(): boolean {
    return !this.succeeded && this.unsuspectedMachines.size >= FAULTY_AFTER_MACHINE_COUNT;
  }

  /** Delay before a faulty job is retried, in milliseconds. */
  get backoffMs(): number {
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, Math.max(0, this.failedAttempts - 1));
    return Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** doublings);
  }

  /** Returns whether machines may be provisioned for the job. */
  mayTriggerScaleOut(now: MonotonicTime): boolean {
    return !this.isFaulty || now - this.lastFailureAt > SCALE_OUT_AFTER_MS;
  }

  /** Returns whether the job failed on the machine recently and is not considered faulty itself. */
  avoids(machine: MachineId, now: MonotonicTime): boolean {
    const failedAt = this.failedAtByMachine.get(machine);
    return failedAt !== undefined && !this.isFaulty && now - failedAt < AVOID_MS;
  }

  /** Yields the machines that the job currently avoids. */
  *avoidedMachines(now: MonotonicTime): Iterable<MachineId> {
    for (const machine of this.failedAtByMachine.keys()) if (this.avoids(machine, now)) yield machine;
  }
}
