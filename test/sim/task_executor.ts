import type { Attempt, Command, ExitReason, JobId, JobSpec, TaskPhase } from '../../src/core/types.js';
import { advanceTask } from './task_execution.js';
import type { SimulatedWorker } from './worker.js';
import type { World } from './world.js';

/** A task on a worker; times in milliseconds of the world's clock. */
export interface SimulatedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  phase: TaskPhase;
  reason: ExitReason | null;
  saved: boolean;
  /** When its image is there. */
  imagePulledAt: number;
  progressMs: number;
  /** When the checkpoint that it writes is complete; null: it writes none. */
  checkpointWrittenAt: number | null;
  /** Since when members of its gang are missing; null: none is. */
  membersMissingSince: number | null;
  /** Since when it waits for its gang, or runs. */
  gatheringSince: number | null;
}

/** The tasks of one worker: carries out commands, and moves tasks on tick by tick. */
export class TaskExecutor {
  /** By job and task number, in the order of their starts. */
  readonly tasks = new Map<string, SimulatedTask>();

  constructor(
    private readonly world: World,
    private readonly worker: SimulatedWorker,
  ) {}

  private get now(): number {
    return this.world.clock.now;
  }

  /** Carries all tasks on by so many milliseconds. */
  advance(ms: number): void {
    for (const task of this.tasks.values()) advanceTask(this.world, this.worker, task, ms);
  }

  /** Ends all tasks without a trace, as when the machine is gone or its lease expired. */
  dropAll(): void {
    for (const task of this.tasks.values()) {
      if (task.phase !== 'exited') this.onLeft(task);
      this.world.gangs.remove(this.worker, task);
    }
    this.tasks.clear();
  }

  private onLeft(task: SimulatedTask): void {
    if (task.phase !== 'pulling') this.world.invariants.onTaskEnded(task.job, task.index, this.worker.id);
  }

  /** The task ends and stays in the worker's heartbeats until the end is acknowledged. */
  exit(task: SimulatedTask, reason: ExitReason, saved = false): void {
    this.onLeft(task);
    task.phase = 'exited';
    task.reason = reason;
    task.saved = saved;
    this.worker.hasUnreportedChange = true;
    // A replica that ends has no result.
    const service = this.world.invariants.specOf(task.job)?.kind === 'service';
    if (reason === 'done' && !service) this.world.invariants.onTaskCompleted(task.job, task.index);
  }

  /** A task runs here that no controller started, as far as this world knows. */
  inject(job: JobId, index: number, attempt: Attempt): void {
    const from = { phase: 'running', reason: null, saved: false, imagePulledAt: this.now, progressMs: 0 } as const;
    const task: SimulatedTask = {
      job,
      index,
      attempt,
      ...from,
      checkpointWrittenAt: null,
      membersMissingSince: null,
      gatheringSince: this.now,
    };
    this.tasks.set(`${job}/${index}`, task);
    this.world.gangs.add(this.worker, task);
    this.worker.hasUnreportedChange = true;
  }

  /** Carries out a command of whoever holds the highest fencing token. */
  execute(command: Command): void {
    this.world.commandCounts.onCommand(command);
    const key = `${command.job}/${command.index}`;
    const task = this.tasks.get(key);
    if (command.op === 'acknowledge') {
      if (task && task.attempt === command.attempt && task.phase === 'exited') {
        this.tasks.delete(key);
        this.world.gangs.remove(this.worker, task);
      }
    } else if (command.op === 'stop') {
      if (task && task.attempt === command.attempt) this.stop(task, command.gracePeriodSeconds);
    } else if (!task || task.attempt !== command.attempt) this.start(command.job, command.index, command.attempt, task);
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
    if (old) this.world.gangs.remove(this.worker, old);
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
  }

  /** Whether the machine has the cores and GPUs for one more task. */
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
