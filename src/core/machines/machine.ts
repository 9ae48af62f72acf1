/** Holds what the leader knows of one provisioned machine and its worker, and derives conditions from it. */
import type { JobId, MachineId, MachineType, MachineTypeName, MonotonicTime, ZoneName } from '../types.js';
import { AgentMessages } from './agent_messages.js';
import { Allocations } from './allocations.js';
import { CommandChannel } from './command_channel.js';
import { Cordon } from './cordon.js';
import { ImageCache } from './image_cache.js';
import { Lifecycle, type MachinePhase } from './lifecycle.js';
import { Reachability } from './reachability.js';
import { ReportedTasks } from './reported_tasks.js';
import { StragglerDetector } from './straggler_detector.js';
import { TaskFailures } from './task_failures.js';

/** Initial state of a machine that this leader provisions, restores, or finds in a heartbeat or the cloud's list. */
interface MachineInit {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Address at which its worker accepts commands. Empty while it is unknown. */
  readonly address: string;
  /** False if it may hold tasks of a previous leader that this leader does not know. */
  readonly reconciled: boolean;
  readonly phase: MachinePhase;
  /**
   * Whether this leader provisioned the machine. Other machines may already be terminated, since heartbeats can be
   * delayed and the cloud's list can be outdated (listed-but-gone.txt). False by default.
   */
  readonly provisionedByThisLeader?: boolean;
  readonly now: MonotonicTime;
}

/** Reservation of a machine for a job that will be placed on it soon. */
interface Reservation {
  readonly job: JobId;
  readonly until: MonotonicTime;
}

/** A machine. Code in other directories changes its state through the methods of its parts. */
export class Machine {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Its state between provisioning and termination. */
  readonly lifecycle: Lifecycle;
  /** Order and arrival times of its worker's messages. */
  readonly messages: AgentMessages;
  /** Whether heartbeat responses and commands reach its worker. */
  readonly reachability: Reachability;
  /** State of the commands that are pushed to it. */
  readonly commandChannel = new CommandChannel();
  /** Whether it is excluded from new placements, and why. */
  readonly cordon = new Cordon();
  /** Tasks to which its capacity is allocated. */
  readonly allocations: Allocations;
  /** Exited and unexpected tasks in its newest status. */
  readonly reportedTasks = new ReportedTasks();
  /** Images that it holds or pulls. */
  readonly images: ImageCache;
  /** Task failures since a task last completed here. Each failure quarantines the machine for some seconds. */
  readonly taskFailures = new TaskFailures();
  /** Detects whether tasks of several jobs take much longer than expected here. */
  readonly stragglerDetector = new StragglerDetector();

  private currentAddress: string;
  private isReconciled: boolean;
  private reservation: Reservation | null = null;

  constructor(init: MachineInit) {
    const { id, type, zone, spot, address, phase, now, provisionedByThisLeader = false } = init;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.currentAddress = address;
    this.isReconciled = init.reconciled;
    this.lifecycle = new Lifecycle(phase, now, provisionedByThisLeader);
    this.messages = new AgentMessages(now);
    this.reachability = new Reachability(provisionedByThisLeader);
    this.allocations = new Allocations(type, now);
    this.images = new ImageCache(type);
  }

  get typeName(): MachineTypeName {
    return this.type.name;
  }

  /** Whether the machine is booting or up. */
  get phase(): MachinePhase {
    return this.lifecycle.phase;
  }

  /** Address at which its worker accepts commands. Empty while it is unknown. */
  get address(): string {
    return this.currentAddress;
  }

  /** Updates the worker's address. An empty address is ignored. */
  updateAddress(address: string): void {
    if (address !== '') this.currentAddress = address;
  }

  /**
   * Whether the machine is certain to hold no tasks of a previous leader that this leader does not know. A restored
   * machine is not reconciled until its own status has been processed, its lease has expired, or it has stopped.
   */
  get reconciled(): boolean {
    return this.isReconciled;
  }

  /** Records that it holds no tasks of a previous leader that this leader does not know. */
  markReconciled(): void {
    this.isReconciled = true;
  }

  // ---- conditions derived from several parts

  /**
   * Returns whether new tasks may be placed on it. If heartbeats are overdue, the worker may never receive its start
   * commands, and its lease expires even if it responds to pushed commands. Such responses therefore don't count as
   * heartbeats here (no-reports-machine.txt, and a property test).
   */
  isSchedulable(now: MonotonicTime, heartbeatIntervalMs: number): boolean {
    return this.canRunTasks(now, heartbeatIntervalMs) && !this.cordon.isCordoned(now);
  }

  /** Returns whether new tasks may be placed on it as a last resort: it is schedulable, or only drained as a straggler. */
  isSchedulableAsLastResort(now: MonotonicTime, heartbeatIntervalMs: number): boolean {
    const isCordoned = this.cordon.isCordoned(now) && !this.cordon.isOnlyStraggler(now);
    return !isCordoned && this.canRunTasks(now, heartbeatIntervalMs);
  }

  private canRunTasks(now: MonotonicTime, heartbeatIntervalMs: number): boolean {
    return (
      this.phase === 'up' &&
      !this.messages.isHeartbeatOverdue(now, heartbeatIntervalMs) &&
      this.isReconciled &&
      this.reachability.isUsable &&
      this.reportedTasks.unexpected.size === 0 &&
      !this.lifecycle.isTerminating
    );
  }

  /** Returns whether it is booting and will accept tasks: it is neither draining nor being terminated. */
  isProvisioning(): boolean {
    return this.phase === 'booting' && !this.lifecycle.isTerminating && !this.cordon.isDraining;
  }

  /** Whether no task is known to be on it or placed on it. */
  get isEmpty(): boolean {
    return this.allocations.taskCount === 0 && this.reportedTasks.unexpected.size === 0;
  }

  /** Returns whether a task that requests GPUs is placed on it, or the machine is reserved. */
  hasGpuWork(now: MonotonicTime): boolean {
    return this.reservedFor(now) !== null || this.allocations.hasGpuTask;
  }

  /** Discards pulls of images that no allocated task uses any more. */
  dropAbandonedPulls(): void {
    this.images.dropAbandonedPulls((image) => this.allocations.needsImage(image));
  }

  // ---- reservation

  /** Reserves the machine for a job until the given time. This replaces any reservation for another job. */
  reserve(job: JobId, until: MonotonicTime): void {
    this.reservation = { job, until };
  }

  /** Returns the job for which it is reserved now, or null. */
  reservedFor(now: MonotonicTime): JobId | null {
    return this.reservation && this.reservation.until > now ? this.reservation.job : null;
  }

  /** Returns whether it is reserved now for a job other than this one. */
  isReservedForOther(job: JobId, now: MonotonicTime): boolean {
    const holder = this.reservedFor(now);
    return holder !== null && holder !== job;
  }

  /** Whether it was reserved for a job that has not been placed on it yet. The reservation may have expired. */
  get hasReservation(): boolean {
    return this.reservation !== null;
  }

  /** Ends the reservation when the job has been placed. Has no effect on a reservation for another job. */
  endReservation(job: JobId): void {
    if (this.reservation?.job === job) this.reservation = null;
  }
}
