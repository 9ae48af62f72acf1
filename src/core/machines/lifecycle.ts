/** Tracks the lifecycle of one machine from provisioning to termination. */
import type { MonotonicTime } from '../types.js';

/** `booting` until its worker sends a heartbeat or the cloud lists the machine as running. */
export type MachinePhase = 'booting' | 'up';

/** State of the request to terminate the machine. `unknown`: a request failed, and its outcome can't be determined. */
type Termination = 'none' | 'inFlight' | 'unknown';

/** A machine's state between provisioning and termination. */
export class Lifecycle {
  private currentPhase: MachinePhase;
  private registered = false;
  private provisioned: MonotonicTime;
  private bootOverdue = false;
  private termination: Termination = 'none';

  /** `isProvisionedByThisLeader`: if true, the time until it is up is used to estimate boot times. */
  constructor(
    phase: MachinePhase,
    provisionedAt: MonotonicTime,
    readonly isProvisionedByThisLeader: boolean,
  ) {
    this.currentPhase = phase;
    this.provisioned = provisionedAt;
  }

  /** Whether it is booting or up. */
  get phase(): MachinePhase {
    return this.currentPhase;
  }

  /** Whether the machine is stored in the registry. No command is sent to it before that. */
  get isRegistered(): boolean {
    return this.registered;
  }

  /** The earliest known time of its provisioning. */
  get provisionedAt(): MonotonicTime {
    return this.provisioned;
  }

  /** Returns the seconds since it was provisioned. */
  ageSeconds(now: MonotonicTime): number {
    return (now - this.provisioned) / 1000;
  }

  /** Whether a request to terminate it is in flight. */
  get isTerminating(): boolean {
    return this.termination === 'inFlight';
  }

  /** Whether its termination was ever requested, so that it may already be terminated. */
  get wasTerminationRequested(): boolean {
    return this.termination !== 'none';
  }

  /** Whether it is registered and still booting, and this leader did not provision it. */
  get isInheritedBooting(): boolean {
    return this.currentPhase === 'booting' && this.registered && !this.isProvisionedByThisLeader;
  }

  /** Records that the machine is up. */
  markUp(): void {
    this.currentPhase = 'up';
  }

  /** Records that the machine is stored in the registry. */
  markRegistered(): void {
    this.registered = true;
  }

  /** Records the provisioning time that follows from the cloud's list, if it is earlier than the known time. */
  recordProvisionedAt(at: MonotonicTime): void {
    if (at < this.provisioned) this.provisioned = at;
  }

  /** Records that the boot is overdue. Returns whether this was recorded for the first time. */
  recordBootOverdue(): boolean {
    const isFirst = !this.bootOverdue;
    this.bootOverdue = true;
    return isFirst;
  }

  /** Records that its termination is requested from the cloud. */
  beginTermination(): void {
    this.termination = 'inFlight';
  }

  /** Records that the request to terminate it failed. */
  failTermination(): void {
    this.termination = 'unknown';
  }
}
