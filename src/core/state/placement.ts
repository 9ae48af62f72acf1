/** The placement of a task on a machine, from its planning until the task is proven not to be on the machine. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Attempt, MonotonicTime, SequenceNumber } from '../types.js';

/** The progress of a placed task, as far as the leader knows. `TaskPhase` describes the phases after `sent`. */
export type PlacementPhase =
  /** No start has been sent yet, so the placement can be withdrawn without a stop. */
  | 'planned'
  /** A start was sent. The task may be on the machine until a newer status shows otherwise. */
  | 'sent'
  | 'pulling'
  | 'gathering'
  | 'running'
  | 'checkpointing';

/** The phases of tasks that a status can show as live. */
export type LivePhase = Exclude<PlacementPhase, 'planned' | 'sent'>;

/** A request to stop a task. */
export interface StopRequest {
  /** Time that the task has to save its work, in seconds. 0 means that it is killed immediately. */
  readonly gracePeriodSeconds: number;
  readonly requestedAt: MonotonicTime;
}

/**
 * The initial values of a placement. The phase is `planned` if a start is to be sent, otherwise the phase in which the
 * task was found on the machine.
 */
export interface PlacementInit {
  readonly job: Job;
  readonly index: number;
  readonly machine: Machine;
  readonly attempt: Attempt;
  readonly phase: PlacementPhase;
  readonly placedAt: MonotonicTime;
}

/** A task that is, may be or is about to be on a machine. */
export class Placement {
  readonly job: Job;
  readonly index: number;
  readonly machine: Machine;
  /** The attempt number of the start that the placement represents. */
  readonly attempt: Attempt;
  readonly placedAt: MonotonicTime;
  private currentPhase: PlacementPhase;
  private startSentInResponseTo: SequenceNumber | null = null;
  private firstSeenRunningAt: MonotonicTime | null;
  private stopRequest: StopRequest | null = null;
  /**
   * Whether the task was already running when this leader first received a status with it. How long it had run by then
   * is not known.
   */
  readonly foundRunning: boolean;

  constructor({ job, index, machine, attempt, phase, placedAt }: PlacementInit) {
    this.job = job;
    this.index = index;
    this.machine = machine;
    this.attempt = attempt;
    this.placedAt = placedAt;
    this.currentPhase = phase;
    this.foundRunning = phase === 'running';
    this.firstSeenRunningAt = this.foundRunning ? placedAt : null;
  }

  /** The progress of the task on its machine. */
  get phase(): PlacementPhase {
    return this.currentPhase;
  }

  /**
   * The sequence number of the heartbeat whose response carried the last start. Null if the start was pushed or has not
   * been sent.
   */
  get sentInResponseTo(): SequenceNumber | null {
    return this.startSentInResponseTo;
  }

  /** When the task started to run or was first seen running. Null if it has not been seen running. */
  get runningSince(): MonotonicTime | null {
    return this.firstSeenRunningAt;
  }

  /** The request to stop the task. Null if there is none. */
  get pendingStop(): StopRequest | null {
    return this.stopRequest;
  }

  /** Records that the start is sent, either in the response to a heartbeat or pushed (null). */
  recordStartSent(inResponseTo: SequenceNumber | null): void {
    this.currentPhase = 'sent';
    this.startSentInResponseTo = inResponseTo;
  }

  /** Reverts the placement to `planned` after its start was lost and cannot arrive any more. */
  revertStart(): void {
    this.currentPhase = 'planned';
    this.startSentInResponseTo = null;
  }

  /**
   * Records the phase in which a status shows the task. Returns whether the task is seen running for the first time.
   */
  recordPhase(phase: LivePhase, now: MonotonicTime): boolean {
    this.currentPhase = phase;
    if (phase !== 'running' || this.firstSeenRunningAt !== null) return false;
    this.firstSeenRunningAt = now;
    return true;
  }

  /**
   * Requests a stop, unless one with the same or a shorter grace period has been requested. Returns whether the request
   * changed.
   */
  requestStop(gracePeriodSeconds: number, now: MonotonicTime): boolean {
    if (this.stopRequest !== null && this.stopRequest.gracePeriodSeconds <= gracePeriodSeconds) return false;
    this.stopRequest = { gracePeriodSeconds, requestedAt: now };
    return true;
  }
}
