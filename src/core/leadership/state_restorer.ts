/** Fills a new leader's cluster with what previous terms left in the state store. */
import type { JobCache } from '../jobs/job_cache.js';
import { Machine } from '../machines/machine.js';
import type { MachineRegistry } from '../machines/machine_registry.js';
import type { StoredEntry } from '../messages.js';
import type { MachineRecord } from '../records.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineId, MonotonicTime } from '../types.js';

/** Used once, when all records have been read. */
export class StateRestorer {
  /** `lastLeaseRenewalAt`: when anybody may last have renewed a machine's lease before this leader knew of the machine. */
  constructor(
    private readonly cluster: Cluster,
    private readonly registry: MachineRegistry,
    private readonly jobCache: JobCache,
    private readonly lastLeaseRenewalAt: (machine: MachineId) => MonotonicTime,
  ) {}

  /** Adds the jobs of the cache and the machines of the registry's pages. */
  restore(pages: readonly StoredEntry[]): void {
    const { context, previousTerms, machines } = this.cluster;
    this.cluster.jobs.setUnreadable(this.jobCache.unreadableJobs);
    for (const job of this.jobCache.all()) this.cluster.applyJobRecord(job.record, job.version);
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
    // A record that isn't understood stays as it is: its page is never written without it. Its machine may run anything.
    if (!type) {
      this.registry.keepUnknownMachine(key, record);
      previousTerms.onUnreadablePage();
      return;
    }
    const now = context.now.monotonic;
    const { id, zone, spot, address } = record;
    // Provisioned by a previous leader and not known to be up: it may still boot (boots-leader-change.txt), or have come up just
    // now, so that it counts as unreconciled all the same.
    const phase = address === '' ? 'booting' : 'up';
    const machine = new Machine({ id, type, zone, spot, address, reconciled: false, phase, now });
    machine.images.restore(record.images, record.imagePullSpeed, images.sizesGb, now);
    if (previousTerms.recovery) machine.messages.restoreLeaseRenewal(this.lastLeaseRenewalAt(id));
    machines.add(machine);
    this.registry.restore(machine, key);
    previousTerms.onMachineRestored(machine);
  }
}
