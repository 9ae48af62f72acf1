/** One task's place on a machine, from the moment it is planned until it is proven not to be there. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Attempt, MonotonicTime, SequenceNumber } from '../types.js';

/** How far a placed task has come, as far as the leader knows. */
export type PlacementPhase =
  /** No start has been sent yet, so the place can be taken back freely. */
  | 'planned'
  /** A start went out: the task may be on the machine until a newer status says otherwise. */
  | 'sent'
  | 'pulling'
  | 'gathering'
  | 'running'
  | 'checkpointing';

/** The phases in which a status shows a task. */
export type LivePhase = Exclude<PlacementPhase, 'planned' | 'sent'>;

/** A request to stop a task. */
export interface StopRequest {
  /** For how long the task may save its work; 0: it is killed. */
  readonly gracePeriodSeconds: number;
  readonly requestedAt: MonotonicTime;
}

/** What a placement begins with: `planned` if a start is to be sent, otherwise as the task was found on the machine. */
export interface PlacementInit {
  readonly job: Job;
  readonly index: number;
  readonly machine: Machine;
  readonly attempt: Attempt;
  readonly phase: PlacementPhase;
  readonly placedAt: MonotonicTime;
}

/** A task that is, or may be, or is about to be on a machine. */
export class Placement {
  readonly job: Job;
  readonly index: number;
  readonly machine: Machine;
  /** Numbers the start that the placement stands for. */
  readonly attempt: Attempt;
  readonly placedAt: MonotonicTime;
  private currentPhase: PlacementPhase;
  private responseTo: SequenceNumber | null = null;
  private running: MonotonicTime | null;
  private stop: StopRequest | null = null;
  /** Whether it ran already when this leader first heard of it: nobody here knows for how long. */
  readonly foundRunning: boolean;

  constructor({ job, index, machine, attempt, phase, placedAt }: PlacementInit) {
    this.job = job;
    this.index = index;
    this.machine = machine;
    this.attempt = attempt;
    this.placedAt = placedAt;
    this.currentPhase = phase;
    this.foundRunning = phase === 'running';
    this.running = this.foundRunning ? placedAt : null;
  }

  /** How far the task has come on its machine. */
  get phase(): PlacementPhase {
    return this.currentPhase;
  }

  /** The heartbeat in whose response the start last went out; null: it was pushed, or has not gone out. */
  get sentInResponseTo(): SequenceNumber | null {
    return this.responseTo;
  }

  /** Since when it runs, or was first seen to; null: it has not been seen running. */
  get runningSince(): MonotonicTime | null {
    return this.running;
  }

  /** The request to stop it; null: it may go on. */
  get pendingStop(): StopRequest | null {
    return this.stop;
  }

  /** Its start goes out: in the response to a heartbeat, or pushed (null). */
  recordStartSent(inResponseTo: SequenceNumber | null): void {
    this.currentPhase = 'sent';
    this.responseTo = inResponseTo;
  }

  /** The start that went out has not arrived and can't any more. */
  revertStart(): void {
    this.currentPhase = 'planned';
    this.responseTo = null;
  }

  /** A status shows the task. Returns whether it is seen running for the first time. */
  recordPhase(phase: LivePhase, now: MonotonicTime): boolean {
    this.currentPhase = phase;
    if (phase !== 'running' || this.running !== null) return false;
    this.running = now;
    return true;
  }

  /** Asks for a stop, unless one with no longer a grace period is asked for already. Returns whether it was changed. */
  requestStop(gracePeriodSeconds: number, now: MonotonicTime): boolean {
    if (this.stop !== null && this.stop.gracePeriodSeconds <= gracePeriodSeconds) return false;
    this.stop = { gracePeriodSeconds, requestedAt: now };
    return true;
  }
}
