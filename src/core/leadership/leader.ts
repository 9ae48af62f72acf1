import type { RecoverySummary } from '../../recovery/index.js';
import { Autoscaler } from '../autoscaling/autoscaler.js';
import { HealthChecks } from '../health/health_checks.js';
import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import { maxJobViewAgeMs } from '../lease_bounds.js';
import type { Machine } from '../machines/machine.js';
import { MachineRegistry } from '../machines/machine_registry.js';
import type { MachineTypes } from '../machines/machine_type_catalog.js';
import type { StoredEntry, TaskCounts } from '../messages.js';
import { migrateToCachedImages } from '../scheduler/migration.js';
import { preempt } from '../scheduler/preemption.js';
import { scheduleRound } from '../scheduler/round.js';
import { placeServices } from '../scheduler/service_placement.js';
import { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { Heartbeat, JobId, MonotonicTime } from '../types.js';
import { CommandDelivery } from '../workers/command_delivery.js';
import { type CommandLeader, CommandPusher } from '../workers/command_pusher.js';
import { HeartbeatHandler, type HeartbeatLeader } from '../workers/heartbeat_handler.js';
import type { HeartbeatResponder } from '../workers/heartbeat_response.js';
import { Reconciler, type ReconciliationLeader } from '../workers/reconciler.js';
import { StatusRequests } from '../workers/status_requests.js';
import type { Election } from './election.js';
import { JobRecordLookup } from './job_record_lookup.js';
import type { Leadership } from './leadership.js';
import { RecordWriter } from './record_writer.js';
import { StateLoader } from './state_loader.js';
import { StateRestorer } from './state_restorer.js';

const HEALTH_CHECK_INTERVAL_MS = 1000;
const FIRST_PLANNING_ROUND_MS = 50;
const FIRST_HEALTH_CHECK_MS = 500;
/** A round that something calls for waits a moment for more of it. */
const PLANNING_ROUND_BATCHING_MS = 20;
/** Sets the random choices of one round apart from those of the next. */
const PLANNING_ROUND_SEED_STEP = 7919;
/** A start is based on a view of jobs that is at most so old: a cancellation may be on record since. */
const MAX_JOB_VIEW_AGE_FOR_STARTS_MS = 4000;

/**
 * The holder of the lead; a new one is made for every term. It ties the parts together: reports and commands (workers/),
 * records (record_writer.ts), machines (machines/), and the rounds of the scheduler.
 */
export class Leader implements HeartbeatLeader, CommandLeader, ReconciliationLeader {
  private readonly cluster: Cluster;
  private readonly autoscaler: Autoscaler;
  private readonly recordWriter: RecordWriter;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly commandDelivery: CommandDelivery;
  private readonly statusRequests: StatusRequests;
  private readonly commandPusher: CommandPusher;
  private readonly healthChecks: HealthChecks;
  private readonly registry: MachineRegistry;
  private readonly stateLoader: StateLoader;
  private readonly stateRestorer: StateRestorer;
  private readonly jobRecordLookup: JobRecordLookup;
  private readonly electedAt: MonotonicTime;
  private readonly healthCheckTimer: Timer;
  private readonly statusRequestTimer: Timer;
  private loaded = false;
  private stopped = false;
  private lastPlanningRoundAt = 0 as MonotonicTime;
  private planningRounds = 0;
  private lastPlanningRoundSteps = 0;
  private unreachableSince: MonotonicTime | null = null;

  constructor(
    private readonly context: StepContext,
    private readonly election: Election,
    private readonly jobCache: JobCache,
    leadership: Leadership,
    types: MachineTypes,
    private readonly seed: number,
  ) {
    this.electedAt = context.now.monotonic;
    this.cluster = new Cluster(context, leadership.term, leadership.startZonesRecordedSince);
    this.cluster.machineTypes = types;
    const { timers } = this.cluster;
    timers.planningRound.handle(() => this.runPlanningRound());
    timers.servicePlacement.handle(() => this.placeServices());
    this.healthCheckTimer = timers.create(() => this.runHealthChecks());
    this.statusRequestTimer = timers.create(() => this.requestAllStatuses());
    this.registry = new MachineRegistry(context.settings.stateStore.maxValueBytes);
    this.recordWriter = new RecordWriter(this.cluster, leadership, this.registry, {
      mayWrite: () => this.isLeaseValid() && this.loaded,
      onRecordRead: (item) => void this.jobCache.update(item),
      onWriteFinished: () => {
        this.heartbeatHandler.releaseDeferred();
        this.commandPusher.pushDueCommands();
      },
    });
    const { fencingToken } = leadership;
    const reconciler = new Reconciler(this.cluster, fencingToken, this);
    this.heartbeatHandler = new HeartbeatHandler(this.cluster, fencingToken, reconciler, this);
    this.commandDelivery = new CommandDelivery(this.cluster, fencingToken, reconciler);
    this.statusRequests = new StatusRequests(this.cluster, this.commandDelivery);
    this.commandPusher = new CommandPusher(this.cluster, this.commandDelivery, this);
    this.healthChecks = new HealthChecks(this.cluster, () => this.schedulePlanningRoundSoon());
    this.autoscaler = new Autoscaler(this.cluster, this.recordWriter);
    // Earlier leaders answered nobody after this one took the lead; it has itself answered some while it read the state.
    this.stateRestorer = new StateRestorer(this.cluster, this.registry, jobCache, (machine) =>
      this.heartbeatHandler.renewalsWhileLoading.lastRenewalAt(machine, this.electedAt),
    );
    this.jobRecordLookup = new JobRecordLookup(context, jobCache, this.cluster.previousTerms);
    this.stateLoader = new StateLoader(context, this.cluster.timers, jobCache, (pages) => this.restoreState(pages));
    this.loadState();
    this.healthCheckTimer.set(context.after(HEALTH_CHECK_INTERVAL_MS));
  }

  get machineCount(): number {
    return this.cluster.machines.size;
  }

  setMachineTypes(types: MachineTypes): void {
    this.cluster.machineTypes = types;
    this.loadState();
  }

  stop(): void {
    this.stopped = true;
    this.stateLoader.stop();
    this.jobRecordLookup.stop();
    this.recordWriter.stop();
    this.statusRequests.stop();
    this.commandDelivery.stop();
    this.heartbeatHandler.stop();
    this.cluster.timers.close();
  }

  // ---- what the parts ask

  isLeaseValid(): boolean {
    return !this.stopped && this.election.isLeaseValid();
  }

  /**
   * A leader whose lease is renewed while it hears nothing of jobs would keep cancelled tasks alive for ever: its answers
   * count for nothing then, and it lets go of the lead (no-job-news.txt).
   */
  hasRecentJobView(): boolean {
    const knownAt = this.loaded ? this.jobCache.currentAsOf : this.electedAt;
    return this.context.now.monotonic - knownAt < maxJobViewAgeMs(this.context.settings);
  }

  mayStartTasks(): boolean {
    return this.context.now.monotonic - this.jobCache.currentAsOf < MAX_JOB_VIEW_AGE_FOR_STARTS_MS;
  }

  isLoaded(): boolean {
    return this.loaded;
  }

  hasWritesInFlight(): boolean {
    return this.recordWriter.hasWritesInFlight;
  }

  registerMachine(machine: Machine): void {
    this.recordWriter.registerMachine(machine);
  }

  schedulePlanningRoundSoon(): void {
    this.cluster.servicePlacements.request();
    const { spacing_ms, spacing_per_machine_ms, spacing_per_step_ms } = this.context.tuning.scheduler;
    const costMs = spacing_per_machine_ms * this.machineCount + spacing_per_step_ms * this.lastPlanningRoundSteps;
    const earliest = this.lastPlanningRoundAt + spacing_ms + costMs;
    const at = Math.max(earliest, this.context.after(PLANNING_ROUND_BATCHING_MS)) as MonotonicTime;
    this.cluster.timers.planningRound.bringForward(at);
  }

  // ---- rebuilding from the store

  /** Begins, or begins again, to read what earlier leaders left. */
  loadState(): void {
    if (!this.loaded && this.cluster.machineTypes.size > 0) this.stateLoader.load();
  }

  private restoreState(pages: readonly StoredEntry[]): void {
    this.stateRestorer.restore(pages);
    this.loaded = true;
    this.autoscaler.listMachines();
    if (this.cluster.previousTerms.recovery === null) this.statusRequests.requestAll();
    else this.statusRequestTimer.set(this.context.after(this.context.features.recovery.ask_after_ms));
    this.cluster.timers.planningRound.set(this.context.after(FIRST_PLANNING_ROUND_MS));
    this.healthCheckTimer.set(this.context.after(FIRST_HEALTH_CHECK_MS));
  }

  /** The cache has a newer record of a job: a submission, a cancellation, or what this leader wrote itself. */
  onJobRecord(job: CachedJob): void {
    if (!this.loaded || this.stopped) return;
    const known = this.cluster.jobs.get(job.record.spec.id);
    if (known && known.stored.version >= job.version) return;
    this.cluster.applyJobRecord(job.record, job.version);
    this.schedulePlanningRoundSoon();
  }

  /** A node has put a cancellation on record; the store's own news of it may take long to come through. */
  onCancellationBroadcast(id: JobId): void {
    if (!this.stopped) this.cluster.applyCancellationBroadcast(id);
  }

  // ---- workers

  onHeartbeat(report: Heartbeat, reply: HeartbeatResponder): void {
    this.heartbeatHandler.onHeartbeat(report, reply);
  }

  private requestAllStatuses(): void {
    if (this.isLeaseValid()) this.statusRequests.requestAll();
  }

  lookUpSuspectedOrphans(): void {
    this.jobRecordLookup.lookUpSuspectedOrphans();
  }

  recoverySummary(): RecoverySummary | null {
    return this.cluster.previousTerms.summary();
  }

  // ---- rounds

  /** Replicas that wait are given places at once, and their starts go out directly. */
  private placeServices(): void {
    if (!this.isLeaseValid() || !this.loaded) return;
    this.cluster.servicePlacements.onPlacement();
    if (placeServices(this.cluster) === 0) return;
    this.recordWriter.flush();
    this.commandPusher.pushDueCommands();
  }

  /** One planning round, and what follows from it. */
  private runPlanningRound(): void {
    this.cluster.timers.planningRound.set(this.context.after(this.context.tuning.scheduler.period_ms));
    this.lastPlanningRoundAt = this.context.now.monotonic;
    if (!this.isLeaseValid() || !this.loaded) return;
    this.planningRounds += 1;
    this.placeServices();
    const round = scheduleRound(this.cluster, (this.seed + this.planningRounds * PLANNING_ROUND_SEED_STEP) | 0);
    this.lastPlanningRoundSteps = round.steps;
    migrateToCachedImages(this.cluster);
    preempt(this.cluster, round);
    this.autoscaler.runScaleOut(round);
    this.recordWriter.flush();
    this.heartbeatHandler.releaseDeferred();
  }

  /** Once a second: silence, losses, returns. */
  private runHealthChecks(): void {
    this.healthCheckTimer.set(this.context.after(HEALTH_CHECK_INTERVAL_MS));
    if (!this.isLeaseValid()) return;
    if (!this.hasRecentJobView()) {
      this.election.stepDown('view of jobs too old');
      return;
    }
    if (!this.loaded) return;
    this.healthChecks.run();
    this.cluster.previousTerms.finishIfReconciled();
    this.statusRequests.probe();
    this.autoscaler.runScaleIn(this.electedAt);
    this.registry.collectImageChanges();
    this.recordWriter.flush();
    this.stepDownIfUnreachable();
  }

  /** Where most machines report but don't hear this node, another should lead. */
  private stepDownIfUnreachable(): void {
    const now = this.context.now.monotonic;
    if (!this.healthChecks.isLeaderIsolated()) {
      this.unreachableSince = null;
      return;
    }
    this.unreachableSince ??= now;
    if (now - this.unreachableSince < this.context.tuning.leadership.resign_after_ms) return;
    this.election.stepDown('responses do not reach machines');
  }

  /** Counts for display, where this node knows them. */
  taskCounts(id: JobId): TaskCounts | null {
    if (!this.isLeaseValid() || !this.loaded) return null;
    const job = this.cluster.jobs.get(id);
    return job ? { done: job.doneTasks.count, running: this.cluster.placements.runningCount(job) } : null;
  }
}
