/** The part of a simulated worker that runs its tasks. */
import type { Attempt, Command, ExitReason, JobId, JobSpec, TaskPhase } from '../../src/core/types.js';
import { advanceTask } from './task_execution.js';
import type { SimulatedWorker } from './worker.js';
import type { World } from './world.js';

/** A task on a worker. Times are in milliseconds of the world's clock. */
export interface SimulatedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  phase: TaskPhase;
  reason: ExitReason | null;
  saved: boolean;
  /** When its image pull ends. */
  imagePulledAt: number;
  /** The work done, in milliseconds on a normal machine. */
  progressMs: number;
  /** When the checkpoint that it is writing is complete; null if it isn't writing one. */
  checkpointWrittenAt: number | null;
  /** Since when members of its gang have been missing; null if none is. */
  membersMissingSince: number | null;
  /** When it began to wait for its gang, or to run; null before that. */
  gatheringSince: number | null;
}

/** Holds the tasks of one worker. It executes commands and advances the tasks tick by tick. */
export class TaskExecutor {
  /** The tasks by job and task number, in the order of their starts. */
  readonly tasks = new Map<string, SimulatedTask>();
  /** Exited attempts of tasks that have been started again since. They are reported until they are acknowledged. */
  private readonly earlierAttempts = new Map<string, SimulatedTask>();

  constructor(
    private readonly world: World,
    private readonly worker: SimulatedWorker,
  ) {}

  private get now(): number {
    return this.world.clock.now;
  }

  /** All tasks in the worker's heartbeats, including exited attempts. */
  get reportedTasks(): SimulatedTask[] {
    return [...this.tasks.values(), ...this.earlierAttempts.values()];
  }

  /** Advances all tasks by `ms` milliseconds. */
  advance(ms: number): void {
    for (const task of this.tasks.values()) advanceTask(this.world, this.worker, task, ms);
  }

  /** Ends all tasks without reporting their exits, as when the machine was removed or the lease expired. */
  dropAll(): void {
    for (const task of this.tasks.values()) {
      if (task.phase !== 'exited') this.notifyEnded(task);
      this.world.gangs.remove(this.worker, task);
    }
    this.tasks.clear();
    this.earlierAttempts.clear();
  }

  private notifyEnded(task: SimulatedTask): void {
    if (task.phase !== 'pulling') this.world.invariants.onTaskEnded(task.job, task.index, this.worker.id);
  }

  /** Ends a task. It stays in the worker's heartbeats until its exit is acknowledged. */
  exit(task: SimulatedTask, reason: ExitReason, saved = false): void {
    this.notifyEnded(task);
    task.phase = 'exited';
    task.reason = reason;
    task.saved = saved;
    this.worker.hasUnreportedChange = true;
    // A replica of a service has no result when it exits.
    const service = this.world.invariants.specOf(task.job)?.kind === 'service';
    if (reason === 'done' && !service) this.world.invariants.onTaskCompleted(task.job, task.index);
  }

  /** Adds a running task that no controller of this world started. */
  inject(job: JobId, index: number, attempt: Attempt): void {
    const commonFields = {
      phase: 'running',
      reason: null,
      saved: false,
      imagePulledAt: this.now,
      progressMs: 0,
    } as const;
    const task: SimulatedTask = {
      job,
      index,
      attempt,
      ...commonFields,
      checkpointWrittenAt: null,
      membersMissingSince: null,
      gatheringSince: this.now,
    };
    this.tasks.set(`${job}/${index}`, task);
    this.world.gangs.add(this.worker, task);
    this.worker.hasUnreportedChange = true;
  }

  /** Returns whether the attempt that a command names is reported, so that its start has no effect. */
  knows({ job, index, attempt }: Command): boolean {
    return this.reportedTasks.some((task) => task.job === job && task.index === index && task.attempt === attempt);
  }

  /** Executes a command; the worker has checked its fencing token. */
  execute(command: Command): void {
    this.world.commandCounts.onCommand(command);
    const key = `${command.job}/${command.index}`;
    const task = this.tasks.get(key);
    const attemptKey = `${key}/${command.attempt}`;
    if (command.op === 'acknowledge') {
      this.earlierAttempts.delete(attemptKey);
      if (task && task.attempt === command.attempt && task.phase === 'exited') {
        this.tasks.delete(key);
        this.world.gangs.remove(this.worker, task);
      }
    } else if (command.op === 'stop') {
      if (task && task.attempt === command.attempt) this.stop(task, command.gracePeriodSeconds);
    } else if (task?.attempt !== command.attempt && !this.earlierAttempts.has(attemptKey))
      this.start(command.job, command.index, command.attempt, task);
  }

  private stop(task: SimulatedTask, gracePeriodSeconds: number): void {
    const spec = this.world.invariants.specOf(task.job);
    if (!spec || task.phase === 'exited') return;
    if (task.phase === 'checkpointing') {
      if (gracePeriodSeconds === 0) this.exit(task, 'stopped');
      return;
    }
    if (
      task.phase === 'running' &&
      spec.checkpointIntervalSeconds > 0 &&
      gracePeriodSeconds >= spec.checkpointDurationSeconds
    ) {
      task.phase = 'checkpointing';
      task.checkpointWrittenAt = this.now + spec.checkpointDurationSeconds * 1000;
      this.worker.hasUnreportedChange = true;
    } else this.exit(task, 'stopped');
  }

  private start(job: JobId, index: number, attempt: Attempt, old: SimulatedTask | undefined): void {
    const spec = this.world.invariants.specOf(job);
    const task: SimulatedTask = {
      job,
      index,
      attempt,
      phase: 'pulling',
      reason: null,
      saved: false,
      imagePulledAt: this.now,
      progressMs: this.world.progress.checkpointedMs(job, index),
      checkpointWrittenAt: null,
      membersMissingSince: null,
      gatheringSince: null,
    };
    if (!spec) return;
    if (old && old.phase !== 'exited') return;
    const fits = this.fits(spec);
    if (old) {
      this.world.gangs.remove(this.worker, old);
      this.earlierAttempts.set(`${job}/${index}/${old.attempt}`, old);
    }
    this.tasks.set(`${job}/${index}`, task);
    this.world.gangs.add(this.worker, task);
    this.worker.hasUnreportedChange = true;
    if (!fits) {
      task.phase = 'exited';
      task.reason = 'no_capacity';
      return;
    }
    task.imagePulledAt =
      this.now +
      (this.worker.images.has(spec.image) ? 0 : (spec.imageGb / this.worker.type.imagePullGbPerSecond) * 1000);
    // A task whose image is present is on the machine at once, even if the next command stops it.
    advanceTask(this.world, this.worker, task, 0);
  }

  /** Returns whether the machine has enough free cores and GPUs for one more task of the job. */
  private fits(spec: JobSpec): boolean {
    let { cpus, gpus } = spec;
    for (const task of this.tasks.values()) {
      const other = this.world.invariants.specOf(task.job);
      if (!other || task.phase === 'exited') continue;
      cpus += other.cpus;
      gpus += other.gpus;
    }
    return cpus <= this.worker.type.cpus && gpus <= this.worker.type.gpus;
  }
}
