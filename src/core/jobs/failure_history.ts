/** Remembers how the tasks of one job have failed, and tells a faulty job from faulty machines. */
import type { MachineId, MonotonicTime } from '../types.js';

/** A job that failed on so many machines, and has not done well on any, is more likely at fault than they. */
const FAULTY_AFTER_MACHINE_COUNT = 2;
/** A machine that failed the job is avoided for so long: no job may wait for ever beside free capacity. */
const AVOID_MS = 45_000;
/** Pause before a faulty job is tried again; it doubles with each try that fails. */
const INITIAL_BACKOFF_MS = 2000;
const MAX_BACKOFF_DOUBLINGS = 5;
/** Well below the time that a job may be left waiting beside free capacity. */
const MAX_BACKOFF_MS = 45_000;
/** Nothing is provisioned for a faulty job until it has not been tried for so long: there may be no machine for it any more. */
const SCALE_OUT_AFTER_MS = 150_000;
/** A task that runs for so many times as long as the longest failure took, and a little more, does well. */
const HEALTHY_AFTER_FACTOR = 2;
const HEALTHY_AFTER_EXTRA_MS = 4000;

/** A task's failure, as far as it bears on the job. */
interface TaskFailure {
  readonly placedAt: MonotonicTime;
  /** For how long it had run, as far as statuses have told. */
  readonly ranMs: number;
  readonly now: MonotonicTime;
  /** Other jobs have failed on the machine too: it says nothing of this one. */
  readonly machineSuspected: boolean;
}

/**
 * How a job's tasks have failed. It tells a job that was submitted with a mistake, which fails wherever it runs, from one
 * that met a faulty machine: the first has never done well anywhere.
 */
export class FailureHistory {
  /** When it last failed on each machine. */
  private readonly failedAtByMachine = new Map<MachineId, MonotonicTime>();
  /** Machines that failed it while no other job had failed there. */
  private readonly unsuspectedMachines = new Set<MachineId>();
  private succeeded = false;
  private failedAttempts = 0;
  private lastFailureAt = Number.NEGATIVE_INFINITY as MonotonicTime;
  private longestFailureMs = 0;

  /** A task of the job failed on the machine. */
  recordFailure(machine: MachineId, { placedAt, ranMs, now, machineSuspected }: TaskFailure): void {
    this.failedAtByMachine.set(machine, now);
    if (!machineSuspected) this.unsuspectedMachines.add(machine);
    this.longestFailureMs = Math.max(this.longestFailureMs, ranMs);
    // Tasks that were placed together and fail together are one try.
    if (placedAt >= this.lastFailureAt) this.failedAttempts += 1;
    this.lastFailureAt = now;
  }

  /** Some task has done well: it completed, saved a checkpoint, or ran for much longer than the failed ones. */
  recordSuccess(): void {
    this.succeeded = true;
    this.failedAttempts = 0;
  }

  /** Forgets the machines that failed the job. */
  clearMachines(): void {
    this.failedAtByMachine.clear();
    this.unsuspectedMachines.clear();
  }

  /** Whether running for so long shows that a task does well. */
  isHealthyAfter(ranMs: number): boolean {
    return ranMs > this.longestFailureMs * HEALTHY_AFTER_FACTOR + HEALTHY_AFTER_EXTRA_MS;
  }

  /** Whether a task has done well anywhere. */
  get hasSucceeded(): boolean {
    return this.succeeded;
  }

  /** Whether a task has failed on a machine that is remembered. */
  get hasFailed(): boolean {
    return this.failedAtByMachine.size > 0;
  }

  /** Whether the job itself, rather than the machines that failed it, is likely at fault. */
  get isFaulty(): boolean {
    return !this.succeeded && this.unsuspectedMachines.size >= FAULTY_AFTER_MACHINE_COUNT;
  }

  /** For how long, in milliseconds, a faulty job waits before it is tried again. */
  get backoffMs(): number {
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, Math.max(0, this.failedAttempts - 1));
    return Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** doublings);
  }

  /** Whether machines may be provisioned for the job. */
  mayTriggerScaleOut(now: MonotonicTime): boolean {
    return !this.isFaulty || now - this.lastFailureAt > SCALE_OUT_AFTER_MS;
  }

  /** Whether the machine failed the job lately, and the job isn't at fault itself. */
  avoids(machine: MachineId, now: MonotonicTime): boolean {
    const failedAt = this.failedAtByMachine.get(machine);
    return failedAt !== undefined && !this.isFaulty && now - failedAt < AVOID_MS;
  }

  /** Yields the machines that the job avoids now. */
  *avoidedMachines(now: MonotonicTime): Iterable<MachineId> {
    for (const machine of this.failedAtByMachine.keys()) if (this.avoids(machine, now)) yield machine;
  }
}
