/** Tracks one machine's way from its provisioning to its termination. */
import type { MonotonicTime } from '../types.js';

/** `booting` until its agent is heard or the cloud lists it as running. */
export type MachinePhase = 'booting' | 'up';

/** A request to terminate the machine: `unknown` where one failed, whose outcome can't be told. */
type Termination = 'none' | 'inFlight' | 'unknown';

/** Where a machine is between its provisioning and its termination. */
export class Lifecycle {
  private currentPhase: MachinePhase;
  private onRecord = false;
  private provisioned: MonotonicTime;
  private bootOverdue = false;
  private termination: Termination = 'none';

  /** `isProvisionedByThisLeader`: then the time until it is up tells how long boots take. */
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

  /** Whether the machine is on record in the state store: before that, no command goes to it. */
  get isRegistered(): boolean {
    return this.onRecord;
  }

  /** When it was provisioned, as far as is known. */
  get provisionedAt(): MonotonicTime {
    return this.provisioned;
  }

  /** Seconds since it was provisioned. */
  ageSeconds(now: MonotonicTime): number {
    return (now - this.provisioned) / 1000;
  }

  /** Whether a request to terminate it has yet to be answered. */
  get isTerminating(): boolean {
    return this.termination === 'inFlight';
  }

  /** Whether its termination was ever requested: it may be gone already. */
  get wasTerminationRequested(): boolean {
    return this.termination !== 'none';
  }

  /** Whether it was provisioned by a previous leader and has yet to be heard by this one. */
  get isInheritedUnreported(): boolean {
    return this.currentPhase === 'booting' && this.onRecord && !this.isProvisionedByThisLeader;
  }

  /** The machine has come up. */
  markUp(): void {
    this.currentPhase = 'up';
  }

  /** The machine is on record in the state store. */
  markRegistered(): void {
    this.onRecord = true;
  }

  /** The cloud tells when it was provisioned; the earliest time that was told holds. */
  recordProvisionedAt(at: MonotonicTime): void {
    if (at < this.provisioned) this.provisioned = at;
  }

  /** The machine has not come up in time. Returns whether this was recorded for the first time. */
  recordBootOverdue(): boolean {
    const isFirst = !this.bootOverdue;
    this.bootOverdue = true;
    return isFirst;
  }

  /** Its termination is requested of the cloud. */
  beginTermination(): void {
    this.termination = 'inFlight';
  }

  /** The request to terminate it failed. */
  failTermination(): void {
    this.termination = 'unknown';
  }
}
