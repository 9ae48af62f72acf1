import type { Job } from '../jobs/job.js';
import type { StartKey, TaskKey } from '../jobs/task_keys.js';
import type { Attempt, JobId, MachineId, MachineType, MachineTypeName, MonotonicTime, ZoneName } from '../types.js';
import { AgentMessages } from './agent_messages.js';
import { Allocations } from './allocations.js';
import { CommandChannel } from './command_channel.js';
import { Cordon } from './cordon.js';
import { ImageCache } from './image_cache.js';
import { Lifecycle, type MachinePhase } from './lifecycle.js';
import { Reachability } from './reachability.js';
import { StragglerDetector } from './straggler_detector.js';
import { TaskFailures } from './task_failures.js';

/** A task that a report shows as ended. */
export interface ExitedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  /** Whether it has a result to be put on record. */
  readonly isDone: boolean;
}

/** A task on a machine that has no place there. */
export interface UnexpectedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  /** Whether it is to be stopped; otherwise it is left alone until more is known. */
  readonly shouldStop: boolean;
  /** Null where the job isn't known. */
  readonly knownJob: Job | null;
}

export interface MachineInit {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly address: string;
  readonly reconciled: boolean;
  readonly phase: MachinePhase;
  /** What this leader rented itself can't be a late copy of something gone. A list may well show what is (listed-but-gone.txt). */
  readonly provisionedByThisLeader?: boolean;
  readonly now: MonotonicTime;
}

/** A rented machine and its worker, as the leader knows them. */
export class Machine {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  private currentAddress: string;
  /** Where it is between its provisioning and its termination. */
  readonly lifecycle: Lifecycle;
  /** Whether it is kept from new work, and why. */
  readonly cordon = new Cordon();
  /** False while it may hold tasks of an earlier leader that are not known here: its own list has yet to come. */
  reconciled: boolean;

  /** The order of its agent's messages, and when they came. */
  readonly messages: AgentMessages;
  /** Whether what is sent to it arrives. */
  readonly reachability: Reachability;

  /** Commands that are pushed to it. */
  readonly commandChannel = new CommandChannel();
  /** What its capacity is allocated to. */
  readonly allocations: Allocations;
  /** Failures since a task last did well here; after each it gets nothing new for a moment. */
  readonly taskFailures = new TaskFailures();
  readonly stragglerDetector = new StragglerDetector();

  /** Kept for a moment for a job that is on its way here. */
  private reservation: { readonly job: JobId; readonly until: MonotonicTime } | null = null;
  /** Tasks on it that have no place there: their jobs aren't known, or they are somewhere else too. */
  unexpectedTasks: ReadonlyMap<TaskKey, UnexpectedTask> = new Map();
  exitedTasks: ExitedTask[] = [];
  /** The ends that the list before this one showed. */
  previousExits: ReadonlySet<StartKey> = new Set();
  readonly images: ImageCache;

  constructor(init: MachineInit) {
    const { now } = init;
    this.id = init.id;
    this.type = init.type;
    this.zone = init.zone;
    this.spot = init.spot;
    this.currentAddress = init.address;
    const isProvisionedByThisLeader = init.provisionedByThisLeader ?? false;
    this.lifecycle = new Lifecycle(init.phase, now, isProvisionedByThisLeader);
    this.reconciled = init.reconciled;
    this.messages = new AgentMessages(now);
    this.reachability = new Reachability(isProvisionedByThisLeader);
    this.images = new ImageCache(init.type);
    this.allocations = new Allocations(init.type, now);
  }

  get typeName(): MachineTypeName {
    return this.type.name;
  }

  /** Whether it is booting or up. */
  get phase(): MachinePhase {
    return this.lifecycle.phase;
  }

  /** Where its agent takes commands; empty until it is known. */
  get address(): string {
    return this.currentAddress;
  }

  /** Takes over the agent's address; an empty one tells nothing. */
  learnAddress(address: string): void {
    if (address !== '') this.currentAddress = address;
  }

  /**
   * Whether new work may be given to it. One whose reports don't come may never take what it is given, and its lease ends
   * whatever it answers to direct commands (no-reports-machine.txt, property): those don't count here.
   */
  isSchedulable(now: MonotonicTime, reportMs: number): boolean {
    return (
      this.phase === 'up' &&
      !this.messages.isHeartbeatOverdue(now, reportMs) &&
      this.reconciled &&
      this.reachability.isUsable &&
      this.unexpectedTasks.size === 0 &&
      !this.lifecycle.isTerminating &&
      !this.cordon.isCordoned(now)
    );
  }

  /** Whether it is on its way and will take work. */
  isProvisioning(): boolean {
    return this.phase === 'booting' && !this.lifecycle.isTerminating && !this.cordon.isDraining;
  }

  /** Whether no task is on it, or on its way, as far as is known. */
  get isEmpty(): boolean {
    return this.allocations.taskCount === 0 && this.unexpectedTasks.size === 0;
  }

  /** Whether work that asks for GPUs is there, or the machine is kept for some. */
  hasGpuWork(now: MonotonicTime): boolean {
    return this.reservedFor(now) !== null || this.allocations.hasGpuTask;
  }

  reserve(job: JobId, until: MonotonicTime): void {
    this.reservation = { job, until };
  }

  /** The job that it is kept for now, if any. */
  reservedFor(now: MonotonicTime): JobId | null {
    return this.reservation && this.reservation.until > now ? this.reservation.job : null;
  }

  isReservedForOther(job: JobId, now: MonotonicTime): boolean {
    const holder = this.reservedFor(now);
    return holder !== null && holder !== job;
  }

  /** Whether it was ever kept for a job, until that took its place. */
  get hasReservation(): boolean {
    return this.reservation !== null;
  }

  endReservation(job: JobId): void {
    if (this.reservation?.job === job) this.reservation = null;
  }

  /** A fetch is given up once no task waits for it. */
  dropAbandonedPulls(): void {
    this.images.dropAbandonedPulls((image) => this.allocations.needsImage(image));
  }
}
