/** Reads the cloud's list of machines, and updates the machines that the leader knows accordingly. */
import { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { CloudMachine, MachineId, MonotonicTime } from '../types.js';

/** Minimum time between a complete read of the list and the next periodic read, in milliseconds. */
const LIST_PERIOD_MS = 6000;
const LIST_PRIORITY = 2;
/** Number of machines at which no further page of the list is read. */
const MAX_LISTED_MACHINES = 20_000;

/**
 * Reads the cloud's list of machines, which may be out of date. A machine that is missing from the list is not removed,
 * because it may still exist. A listed machine that this leader did not know is added.
 */
export class MachineList {
  private readInFlight = false;
  private lastReadAt = 0 as MonotonicTime;
  private complete = false;

  /**
   * `onMachineStopped` is called for machines that stopped without a termination request. `onApplied` is called after
   * each complete list was applied.
   */
  constructor(
    private readonly cluster: Cluster,
    private readonly onMachineStopped: (machine: Machine) => void,
    private readonly onApplied: () => void,
  ) {}

  /** Whether a complete list was read at least once. */
  get isComplete(): boolean {
    return this.complete;
  }

  /** Reads the list, unless a read is in flight or the last one was completed recently. */
  readIfDue(): void {
    if (this.cluster.context.now.monotonic - this.lastReadAt > LIST_PERIOD_MS) this.read();
  }

  /** Reads the list, unless a read is in flight. */
  read(): void {
    if (this.readInFlight) return;
    this.readInFlight = true;
    this.readPage(null, []);
  }

  private readPage(after: MachineId | null, before: readonly CloudMachine[]): void {
    this.cluster.context.cloud.call({ op: 'list', after }, LIST_PRIORITY, (result) => {
      if (!result.ok) {
        this.readInFlight = false;
        return;
      }
      const all = [...before, ...result.value.machines];
      const last = all[all.length - 1];
      if (result.value.more && last && all.length < MAX_LISTED_MACHINES) return this.readPage(last.id, all);
      this.readInFlight = false;
      this.complete = true;
      this.lastReadAt = this.cluster.context.now.monotonic;
      for (const listed of all) this.apply(listed);
      this.onApplied();
    });
  }

  private apply(listed: CloudMachine): void {
    const machine = this.cluster.machines.get(listed.id) ?? this.addUnknown(listed);
    if (!machine) return;
    if (machine.address === '') machine.updateAddress(listed.address);
    const provisionedAt = (this.cluster.context.now.monotonic - listed.ageSeconds * 1000) as MonotonicTime;
    machine.lifecycle.recordProvisionedAt(provisionedAt);
    if (listed.phase === 'running' && machine.lifecycle.isInheritedBooting) this.onListedRunning(machine);
    if (listed.phase === 'failed' && !machine.lifecycle.isTerminating) this.handleStopped(machine);
  }

  /**
   * Marks a previous leader's machine as up before it has sent a heartbeat to this leader. From now on its heartbeats
   * can become overdue.
   */
  private onListedRunning(machine: Machine): void {
    const now = this.cluster.context.now.monotonic;
    machine.lifecycle.markUp();
    machine.messages.expectHeartbeats(now);
  }

  /**
   * Adds a listed machine that this leader did not know. It was provisioned by a previous leader or by a request that
   * the cloud carried out late, and is used like any other machine. Returns null if its type is unknown or if it was
   * removed in this term.
   */
  private addUnknown({ id, type: typeName, zone, spot, address, phase }: CloudMachine): Machine | null {
    const type = this.cluster.machineTypes.get(typeName);
    if (!type || this.cluster.machines.wasRemoved(id)) return null;
    const now = this.cluster.context.now.monotonic;
    const machine = new Machine({ id, type, zone, spot, address, reconciled: true, phase: 'booting', now });
    this.cluster.machines.add(machine);
    this.cluster.previousTerms.recovery?.onUnregisteredMachine();
    this.cluster.context.log('unregistered machine listed', { machine: id, phase });
    return machine;
  }

  /**
   * Handles a machine that the cloud lists as failed. It stopped without a request, and no task runs on it any more.
   */
  private handleStopped(machine: Machine): void {
    this.cluster.context.log('machine stopped', { machine: machine.id, lostTasks: machine.allocations.taskCount });
    this.cluster.clearMachine(machine, 'machineGone');
    this.cluster.markReconciled(machine, 'gone');
    this.onMachineStopped(machine);
  }
}
