/** One provisioned machine and its worker, as the leader knows them: the parts of what is known, and judgements from several. */
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

/** What is known of a machine when it becomes known here. */
interface MachineInit {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Where its agent takes commands; empty where that isn't known yet. */
  readonly address: string;
  /** False where it may hold tasks of a previous leader that are not known here. */
  readonly reconciled: boolean;
  readonly phase: MachinePhase;
  /**
   * What this leader provisioned itself can't be a late copy of something gone. A list may well show what is
   * (listed-but-gone.txt). False by default.
   */
  readonly provisionedByThisLeader?: boolean;
  readonly now: MonotonicTime;
}

/** Capacity that is kept for a job that is on its way. */
interface Reservation {
  readonly job: JobId;
  readonly until: MonotonicTime;
}

/** A machine. Other folders change it by the methods of its parts. */
export class Machine {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Where it is between its provisioning and its termination. */
  readonly lifecycle: Lifecycle;
  /** The order of its agent's messages, and when they came. */
  readonly messages: AgentMessages;
  /** Whether what is sent to it arrives. */
  readonly reachability: Reachability;
  /** Commands that are pushed to it. */
  readonly commandChannel = new CommandChannel();
  /** Whether it is kept from new work, and why. */
  readonly cordon = new Cordon();
  /** What its capacity is allocated to. */
  readonly allocations: Allocations;
  /** What its newest status shows beside its placements. */
  readonly reportedTasks = new ReportedTasks();
  /** The images that it holds or pulls. */
  readonly images: ImageCache;
  /** Failures since a task last did well here; after each it gets nothing new for a moment. */
  readonly taskFailures = new TaskFailures();
  /** Whether it takes several times as long as expected for everything. */
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

  /** The name of its type. */
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

  /** Whether it can't hold tasks of a previous leader that are not known here: until then its own status has yet to come. */
  get reconciled(): boolean {
    return this.isReconciled;
  }

  /** No task of a previous leader can be on it that isn't known here. */
  markReconciled(): void {
    this.isReconciled = true;
  }

  // ---- judgements

  /**
   * Whether new work may be given to it. One whose heartbeats don't come may never take what it is given, and its lease
   * expires whatever it responds to pushed commands (no-reports-machine.txt, property): those don't count here.
   */
  isSchedulable(now: MonotonicTime, heartbeatIntervalMs: number): boolean {
    return (
      this.phase === 'up' &&
      !this.messages.isHeartbeatOverdue(now, heartbeatIntervalMs) &&
      this.isReconciled &&
      this.reachability.isUsable &&
      this.reportedTasks.unexpected.size === 0 &&
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
    return this.allocations.taskCount === 0 && this.reportedTasks.unexpected.size === 0;
  }

  /** Whether a task that asks for GPUs is there, or the machine is kept for a job. */
  hasGpuWork(now: MonotonicTime): boolean {
    return this.reservedFor(now) !== null || this.allocations.hasGpuTask;
  }

  /** Gives up pulls of images that no task waits for any more. */
  dropAbandonedPulls(): void {
    this.images.dropAbandonedPulls((image) => this.allocations.needsImage(image));
  }

  // ---- reservation

  /** Keeps the machine for a job until a time, instead of for any other. */
  reserve(job: JobId, until: MonotonicTime): void {
    this.reservation = { job, until };
  }

  /** The job that it is kept for now; null: none. */
  reservedFor(now: MonotonicTime): JobId | null {
    return this.reservation && this.reservation.until > now ? this.reservation.job : null;
  }

  /** Whether it is kept now, and not for this job. */
  isReservedForOther(job: JobId, now: MonotonicTime): boolean {
    const holder = this.reservedFor(now);
    return holder !== null && holder !== job;
  }

  /** Whether it was kept for a job that has not taken its place yet, be it that the time is over. */
  get hasReservation(): boolean {
    return this.reservation !== null;
  }

  /** The job has taken its place; without effect if the machine is kept for another. */
  endReservation(job: JobId): void {
    if (this.reservation?.job === job) this.reservation = null;
  }
}
