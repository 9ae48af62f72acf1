import type { Context } from '../context.js';
import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import { Autoscaler } from '../machines/autoscaler.js';
import { HealthChecks } from '../machines/health_checks.js';
import { Machine } from '../machines/machine.js';
import { Registry } from '../machines/registry.js';
import type { StoredItem } from '../messages.js';
import { MACHINE_PREFIX, type MachineRecord } from '../records.js';
import { migrateToCachedImages } from '../scheduler/migration.js';
import { preempt } from '../scheduler/preemption.js';
import { scheduleRound } from '../scheduler/round.js';
import { placeServices } from '../scheduler/services.js';
import { type JobId, type MachineType, type Steady, steadyPlus, type TypeName, type WorkerReport } from '../types.js';
import { ReportHandler, type ReportReply } from '../workers/report_handler.js';
import { Cluster } from './cluster.js';
import type { Election, Leadership } from './election.js';
import { maxJobViewAgeMs } from './lease_bounds.js';
import { RecordWriter } from './record_writer.js';

/**
 * The holder of the lead. A new one is made for every term. Here: reading what earlier terms left, rounds, and how the
 * parts hang together: beats.ts talks with workers, ledger.ts writes, upkeep.ts and autoscaler.ts look after machines.
 */
export class Leader {
  readonly cluster: Cluster;
  private readonly autoscaler: Autoscaler;
  private readonly recordWriter: RecordWriter;
  private readonly reportHandler: ReportHandler;
  private readonly healthChecks: HealthChecks;
  private readonly registry: Registry;
  private readonly since: Steady;
  private readonly maxJobViewAgeMs: number;
  private loaded = false;
  private loading = false;
  private stopped = false;
  private lastRoundAt = 0 as Steady;
  private rounds = 0;
  private lastSteps = 0;
  private unresponsiveSince: Steady | null = null;

  constructor(
    private readonly ctx: Context,
    private readonly election: Election,
    private readonly jobCache: JobCache,
    leadership: Leadership,
    types: ReadonlyMap<TypeName, MachineType>,
    private readonly seed: number,
  ) {
    this.since = ctx.now.steady;
    this.maxJobViewAgeMs = maxJobViewAgeMs(ctx.settings);
    this.cluster = new Cluster(ctx, leadership.term);
    this.cluster.types = types;
    this.registry = new Registry(ctx.settings.store.valueBytes);
    this.recordWriter = new RecordWriter(this.cluster, leadership, this.registry, {
      mayWrite: () => this.valid() && this.loaded,
      onRecordRead: (item) => void this.jobCache.update(item),
      onWritten: () => {
        this.reportHandler.release();
        this.reportHandler.sendDirect();
      },
    });
    this.reportHandler = new ReportHandler(this.cluster, leadership, {
      isLeaseValid: () => this.valid(),
      hasRecentJobView: () => this.hasRecentJobView(),
      isLoaded: () => this.loaded,
      writesInFlight: () => this.recordWriter.busy,
      jobsCurrentAsOf: () => this.jobCache.currentAsOf,
      registerMachine: (m) => this.recordWriter.registerMachine(m),
      scheduleRoundSoon: () => this.scheduleRoundSoon(),
    });
    this.healthChecks = new HealthChecks(this.cluster, () => this.scheduleRoundSoon());
    this.autoscaler = new Autoscaler(
      this.cluster,
      (m) => this.recordWriter.registerMachine(m),
      (m) => this.recordWriter.unregisterMachine(m),
    );
    this.load();
    ctx.timers.set('healthChecks', this.inMs(1000));
  }

  setTypes(types: ReadonlyMap<TypeName, MachineType>): void {
    this.cluster.types = types;
    if (!this.loaded) this.load();
  }

  stop(): void {
    this.stopped = true;
    this.recordWriter.stop();
    this.reportHandler.stop();
    for (const t of [
      'round',
      'recordFlush',
      'heldReports',
      'healthChecks',
      'workerCommands',
      'loadState',
      'servicePlacement',
    ] as const)
      this.ctx.timers.clear(t);
  }

  private valid(): boolean {
    return !this.stopped && this.election.isValid();
  }

  /**
   * A leader whose lease is renewed while it hears nothing of jobs would keep cancelled tasks alive for ever: its answers
   * count for nothing then, and it lets go of the lead (uninformed-leader.txt).
   */
  private hasRecentJobView(): boolean {
    const knownAt = this.loaded ? this.jobCache.currentAsOf : this.since;
    return this.ctx.now.steady - knownAt < this.maxJobViewAgeMs;
  }

  private inMs(ms: number): Steady {
    return steadyPlus(this.ctx.now.steady, ms);
  }

  // ---- rebuilding from the store

  /** Reads machines and jobs as they stand after the key was taken; tried again until it works. */
  load(): void {
    if (this.loaded || this.loading || this.stopped || this.cluster.types.size === 0) return;
    this.loading = true;
    let pages: StoredItem[] | null = null;
    let jobs = false;
    const part = (ok: boolean): void => {
      if (this.stopped || this.loaded || !this.loading) return;
      if (!ok) {
        this.loading = false;
        this.ctx.timers.set('loadState', this.inMs(300));
      } else if (pages !== null && jobs) this.takeOver(pages);
    };
    this.readPages((items) => {
      pages = items;
      part(items !== null);
    });
    this.jobCache.read((ok) => {
      jobs = ok;
      part(ok);
    });
  }

  private readPages(then: (items: StoredItem[] | null) => void): void {
    const all: StoredItem[] = [];
    const next = (after: string | null): void => {
      this.ctx.store({ op: 'list', prefix: MACHINE_PREFIX, after, limit: 500 }, 1, (result) => {
        if (!result.ok) return then(null);
        all.push(...(result.value.items ?? []));
        const last = all[all.length - 1];
        if (result.value.more && last) return next(last.key);
        then(all);
      });
    };
    next(null);
  }

  private takeOver(pages: readonly StoredItem[]): void {
    for (const job of this.jobCache.all()) this.cluster.learnJob(job.record, job.version);
    for (const item of pages) {
      for (const record of this.registry.load(item)) this.restoreMachine(record, item.key);
    }
    this.registry.spreadAll();
    this.loaded = true;
    this.loading = false;
    const machines = this.cluster.machines.size;
    this.ctx.log('info', 'state read', { jobs: this.jobCache.size, machines });
    this.cluster.updateUnreconciled();
    this.autoscaler.listMachines();
    this.reportHandler.fence();
    this.ctx.timers.set('round', this.inMs(50));
    this.ctx.timers.set('healthChecks', this.inMs(500));
  }

  private restoreMachine(record: MachineRecord, key: string): void {
    const type = this.cluster.types.get(record.type);
    if (this.cluster.machines.has(record.id)) return this.registry.rewriteWithoutDuplicates(key);
    // A record that isn't understood stays as it is: its page is never written without it.
    if (!type) return this.registry.keepUnknown(key, record);
    const now = this.ctx.now.steady;
    const machine = new Machine(record.id, type, record.zone, record.spot, record.addr, false, 'up', now);
    machine.fetchSpeed = record.fetchSpeed;
    for (const image of record.images) {
      const gb = this.cluster.imageGb.get(image);
      if (gb !== undefined) machine.restoreImage(image, gb, now);
    }
    this.cluster.machines.set(machine.id, machine);
    this.registry.restore(machine, key);
  }

  /** The mirror has a newer record of a job: a submission, a cancellation, or what we wrote ourselves. */
  onRecord(seen: CachedJob): void {
    if (!this.loaded || this.stopped) return;
    const known = this.cluster.jobs.get(seen.record.spec.id);
    if (known && known.version >= seen.version) return;
    this.cluster.learnJob(seen.record, seen.version);
    this.scheduleRoundSoon();
  }

  /** A peer has put a cancellation on record; the store's own word of it may take long to come through. */
  onCancellationNotice(id: JobId): void {
    if (!this.stopped) this.cluster.cancelOnNotice(id);
  }

  // ---- workers

  onReport(report: WorkerReport, reply: ReportReply): void {
    this.reportHandler.take(report, reply);
  }

  releaseHeldReports(): void {
    this.reportHandler.release();
  }

  sendDirect(): void {
    this.reportHandler.sendDirect();
  }

  flush(): void {
    this.recordWriter.flush();
  }

  // ---- rounds

  /** Replicas that wait are given places at once, and their starts go out directly. */
  placeServices(): void {
    if (!this.valid() || !this.loaded) return;
    this.cluster.lastServicePlacementAt = this.ctx.now.steady;
    if (placeServices(this.cluster) === 0) return;
    this.recordWriter.flush();
    this.reportHandler.sendDirect();
  }

  private scheduleRoundSoon(): void {
    this.cluster.scheduleServicePlacement();
    const { spacing_ms, spacing_per_machine_ms, spacing_per_step_ms } = this.ctx.tuning.scheduler;
    const cost = spacing_per_machine_ms * this.cluster.machines.size + spacing_per_step_ms * this.lastSteps;
    const earliest = steadyPlus(this.lastRoundAt, spacing_ms + cost);
    const at = Math.max(earliest, this.ctx.now.steady + 20) as Steady;
    const next = this.ctx.timers.at('round');
    if (next === null || next > at) this.ctx.timers.set('round', at);
  }

  round(): void {
    this.ctx.timers.set('round', this.inMs(this.ctx.tuning.scheduler.period_ms));
    this.lastRoundAt = this.ctx.now.steady;
    if (!this.valid() || !this.loaded) return;
    this.rounds += 1;
    this.placeServices();
    const result = scheduleRound(this.cluster, (this.seed + this.rounds * 7919) | 0);
    this.lastSteps = result.steps;
    migrateToCachedImages(this.cluster);
    preempt(this.cluster, result);
    this.autoscaler.rentForNeed(result);
    this.recordWriter.flush();
    this.reportHandler.release();
  }

  /** Once a second: silence, losses, returns. */
  runHealthChecks(): void {
    this.ctx.timers.set('healthChecks', this.inMs(1000));
    if (!this.valid()) return;
    if (!this.hasRecentJobView()) return this.election.resign('what is known of jobs is too old');
    if (!this.loaded) return;
    this.healthChecks.run();
    this.reportHandler.probe();
    this.autoscaler.returnMachines(this.since);
    this.registry.collectHints();
    this.recordWriter.flush();
    this.resignIfUnresponsive();
  }

  private resignIfUnresponsive(): void {
    const now = this.ctx.now.steady;
    if (!this.healthChecks.isLeaderUnreachable()) {
      this.unresponsiveSince = null;
      return;
    }
    this.unresponsiveSince ??= now;
    if (now - this.unresponsiveSince < this.ctx.tuning.leadership.resign_after_ms) return;
    this.election.resign('machines report but hear nothing from this node');
  }

  /** Counts for display, where this node knows them. */
  taskCounts(id: JobId): { done: number; running: number } | null {
    if (!this.valid() || !this.loaded) return null;
    const job = this.cluster.jobs.get(id);
    return job ? { done: job.done.count, running: job.runningCount() } : null;
  }
}
