/** Populates a new leader's cluster with the state that previous terms left in the state store. */
import type { JobCache } from '../jobs/job_cache.js';
import { Machine } from '../machines/machine.js';
import type { MachineRegistry } from '../machines/machine_registry.js';
import type { StoredEntry } from '../messages.js';
import type { MachineRecord } from '../records.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineId, MonotonicTime } from '../types.js';

/** Used once per term, after all records have been read. */
export class StateRestorer {
  /**
   * `lastLeaseRenewalAt` returns the latest time at which any controller may have renewed the lease of a machine's
   * worker before this leader knew of the machine.
   */
  constructor(
    private readonly cluster: Cluster,
    private readonly registry: MachineRegistry,
    private readonly jobCache: JobCache,
    private readonly lastLeaseRenewalAt: (machine: MachineId) => MonotonicTime,
  ) {}

  /** Adds the jobs in the cache that may have tasks, and the machines on the registry's pages to the cluster. */
  restore(pages: readonly StoredEntry[]): void {
    const { context, previousTerms, machines } = this.cluster;
    this.cluster.jobs.setUnreadable(this.jobCache.unreadableJobs);
    for (const { record, version } of this.jobCache.jobsWithTasks()) this.cluster.applyJobRecord(record, version);
    for (const item of pages) this.restorePage(item);
    this.registry.splitOversizedPages();
    const unreadableJobs = this.jobCache.unreadableJobs.size;
    context.log('state read', {
      term: this.cluster.term,
      jobs: this.jobCache.size,
      begunJobs: previousTerms.begunJobs,
      unreadableJobs,
      machines: machines.size,
    });
    previousTerms.onLoaded(unreadableJobs);
  }

  private restorePage(item: StoredEntry): void {
    const { context, previousTerms } = this.cluster;
    const page = this.registry.load(item);
    const { key } = item;
    if (!page.complete) {
      context.log('registry page not understood', { key });
      previousTerms.onUnreadablePage();
    }
    for (const record of page.machines) this.restoreMachine(record, key);
  }

  private restoreMachine(record: MachineRecord, key: string): void {
    const { context, previousTerms, machines, machineTypes, images } = this.cluster;
    if (machines.has(record.id)) {
      this.registry.rewriteWithoutDuplicates(key);
      return;
    }
    const type = machineTypes.get(record.type);
    // A record of an unknown machine type is kept unchanged, and its page is never written without it. The machine may
    // run any task.
    if (!type) {
      context.log('machine of unknown type registered', { machine: record.id, type: record.type });
      this.registry.keepUnknownMachine(key, record);
      previousTerms.onUnreadablePage();
      return;
    }
    const now = context.now.monotonic;
    const { id, zone, spot, address } = record;
    // A machine without an address was provisioned by a previous leader and is not known to be up. It may still be
    // booting (boots-leader-change.txt), but it may also have come up just now, so it counts as unreconciled.
    const phase = address === '' ? 'booting' : 'up';
    const machine = new Machine({ id, type, zone, spot, address, reconciled: false, phase, now });
    machine.images.restore(record.images, record.imagePullSpeed, (image) => images.sizeGb(image), now);
    if (previousTerms.recovery) machine.messages.restoreLeaseRenewal(this.lastLeaseRenewalAt(id));
    machines.add(machine);
    this.registry.restore(machine, key);
    previousTerms.onMachineRestored(machine);
  }
}
