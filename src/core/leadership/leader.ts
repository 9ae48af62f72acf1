/** The leader of one term: creates the components that act for it, and dispatches each input to one of them. */
import type { RecoverySummary } from '../../recovery/index.js';
import { Autoscaler } from '../autoscaling/autoscaler.js';
import { HealthChecks } from '../health/health_checks.js';
import type { JobCache } from '../jobs/job_cache.js';
import type { Machine } from '../machines/machine.js';
import { MachineRegistry } from '../machines/machine_registry.js';
import type { MachineTypes } from '../machines/machine_type_catalog.js';
import type { StoredEntry, TaskCounts } from '../messages.js';
import type { JobRecord } from '../records.js';
import { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { Heartbeat, JobId, MachineId, MonotonicTime, Revision } from '../types.js';
import { CommandDelivery } from '../workers/command_delivery.js';
import { type CommandLeader, CommandPusher } from '../workers/command_pusher.js';
import { FencingTokens } from '../workers/fencing_tokens.js';
import { HeartbeatHandler, type HeartbeatLeader } from '../workers/heartbeat_handler.js';
import type { HeartbeatResponder } from '../workers/heartbeat_response.js';
import { Reconciler, type ReconciliationLeader } from '../workers/reconciler.js';
import { StatusRequests } from '../workers/status_requests.js';
import type { Election } from './election.js';
import { IsolationCheck } from './isolation_check.js';
import { JobRecordLookup } from './job_record_lookup.js';
import { JobView } from './job_view.js';
import type { Leadership } from './leadership.js';
import { LoadingLimit } from './loading_limit.js';
import { PlanningRounds } from './planning_rounds.js';
import { RecordWriter } from './record_writer.js';
import { StateLoader } from './state_loader.js';
import { StateRestorer } from './state_restorer.js';

const HEALTH_CHECK_INTERVAL_MS = 1000;
const FIRST_HEALTH_CHECK_MS = 500;

/** The state of a leader within its term. Each state is followed by the next one or by `stopped`. */
type LeaderState =
  /**
   * Reads the state that previous terms left and the machine types. Workers' leases are renewed meanwhile and cancelled
   * tasks are stopped, but nothing is planned or started.
   */
  | 'loading'
  /** The state is loaded, and the leader handles all inputs. */
  | 'active'
  /** This controller is no longer the leader. Inputs that still arrive are ignored. */
  | 'stopped';

/** What a leader is given for its term. */
export interface LeaderInit {
  readonly leadership: Leadership;
  /** The machine types that the cloud offers. Empty if this controller has not been able to read them yet. */
  readonly types: MachineTypes;
  /** Determines all random choices of the scheduler. */
  readonly seed: number;
  /** Returns whether another controller is alive and reaches the state store. */
  readonly isAnyPeerAbleToLead: () => boolean;
}

/** A new instance is created for every term. */
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
  private readonly planningRounds: PlanningRounds;
  private readonly jobView: JobView;
  private readonly stateLoader: StateLoader;
  private readonly loadingLimit: LoadingLimit;
  private readonly isolationCheck: IsolationCheck;
  private readonly jobRecordLookup: JobRecordLookup;
  private readonly healthCheckTimer: Timer;
  private readonly statusRequestTimer: Timer;
  private readonly electedAt: MonotonicTime;
  private state: LeaderState = 'loading';

  constructor(
    private readonly context: StepContext,
    private readonly election: Election,
    private readonly jobCache: JobCache,
    { leadership, types, seed, isAnyPeerAbleToLead }: LeaderInit,
  ) {
    const tokens = new FencingTokens(leadership.fencingToken, () => context.stateStore.newestRevision);
    this.electedAt = context.now.monotonic;
    this.cluster = new Cluster(context, leadership.term, leadership.startZonesRecordedSince, jobCache.images);
    this.cluster.machineTypes = types;
    this.healthCheckTimer = this.cluster.timers.create(() => this.runHealthChecks());
    this.statusRequestTimer = this.cluster.timers.create(() => this.requestAllStatuses());
    this.registry = new MachineRegistry(context.settings.stateStore.maxValueBytes);
    this.recordWriter = this.makeRecordWriter(leadership);
    const reconciler = new Reconciler(this.cluster, tokens, this);
    this.heartbeatHandler = new HeartbeatHandler(this.cluster, tokens, reconciler, this);
    this.commandDelivery = new CommandDelivery(this.cluster, tokens, reconciler);
    this.statusRequests = new StatusRequests(this.cluster, this.commandDelivery);
    this.commandPusher = new CommandPusher(this.cluster, this.commandDelivery, this);
    this.healthChecks = new HealthChecks(this.cluster, () => this.schedulePlanningRoundSoon());
    this.autoscaler = new Autoscaler(this.cluster, this.recordWriter);
    this.planningRounds = this.makePlanningRounds(seed);
    this.jobView = new JobView(context, jobCache);
    this.jobRecordLookup = new JobRecordLookup(context, jobCache, this.cluster.previousTerms, (record, version) =>
      this.applyJobRecord(record, version),
    );
    this.loadingLimit = new LoadingLimit(context, {
      hasRecentJobView: () => this.hasRecentJobView(),
      isAnyPeerAbleToLead,
    });
    this.isolationCheck = new IsolationCheck(context);
    this.stateLoader = new StateLoader(context, this.cluster.timers, jobCache, {
      hasMachineTypes: () => this.cluster.machineTypes.size > 0,
      onLoaded: (pages) => this.restoreState(pages),
    });
    this.stateLoader.load();
    this.healthCheckTimer.set(context.after(HEALTH_CHECK_INTERVAL_MS));
  }

  private makeRecordWriter(leadership: Leadership): RecordWriter {
    return new RecordWriter(this.cluster, leadership, this.registry, {
      mayWrite: () => this.mayAct(),
      onRecordRead: (item) => void this.jobCache.update(item),
      onWriteFinished: () => {
        this.heartbeatHandler.releaseDeferred();
        this.commandPusher.pushDueCommands();
      },
    });
  }

  private makePlanningRounds(seed: number): PlanningRounds {
    return new PlanningRounds(this.cluster, this.autoscaler, seed, {
      mayPlan: () => this.mayAct(),
      flushRecords: () => this.recordWriter.flush(),
      pushCommands: () => this.commandPusher.pushDueCommands(),
      releaseDeferredResponses: () => this.heartbeatHandler.releaseDeferred(),
    });
  }

  /** The number of machines that are not proven to be terminated. */
  get machineCount(): number {
    return this.cluster.machines.size;
  }

  /** Sets the cloud's list of machine types when it has been read for the first time or has changed. */
  setMachineTypes(types: MachineTypes): void {
    this.cluster.machineTypes = types;
    this.stateLoader.finishIfComplete();
  }

  /** Stops all activity after the leadership was lost. Heartbeats that still wait for a response receive status 503. */
  stop(): void {
    this.state = 'stopped';
    this.stateLoader.stop();
    this.jobRecordLookup.stop();
    this.recordWriter.stop();
    this.statusRequests.stop();
    this.commandDelivery.stop();
    this.heartbeatHandler.stop();
    this.cluster.timers.close();
  }

  // ---- queries and requests of the components

  /** Returns whether this controller is the leader and its lease rules out any other leader at this moment. */
  isLeaseValid(): boolean {
    return this.state !== 'stopped' && this.election.isLeaseValid();
  }

  /** Returns whether the state is loaded and the lease rules out any other leader at this moment. */
  private mayAct(): boolean {
    return this.state === 'active' && this.election.isLeaseValid();
  }

  /** Returns whether the view of jobs is recent enough to renew workers' leases. */
  hasRecentJobView(): boolean {
    return this.jobView.mayRenewLeases();
  }

  /** Returns whether the job is known to be cancelled, by its record or by a broadcast. */
  isCancelled(job: JobId): boolean {
    return this.cluster.jobs.isCancelled(job) || this.jobCache.get(job)?.state === 'cancelled';
  }

  /** Returns whether the view of jobs is recent enough to start tasks. */
  mayStartTasks(): boolean {
    return this.jobView.mayStartTasks();
  }

  /** Returns whether the state of previous terms has been read. */
  isLoaded(): boolean {
    return this.state === 'active';
  }

  /** Returns whether writes are in flight that a start may be waiting for. */
  hasWritesInFlight(): boolean {
    return this.recordWriter.hasWritesInFlight;
  }

  /** Adds the machine to the stored machine registry. */
  registerMachine(machine: Machine): void {
    this.recordWriter.registerMachine(machine);
  }

  /** Writes the machine's record again, which raises the revision of the state store. */
  rewriteMachineRecord(machine: Machine): void {
    this.recordWriter.rewriteMachineRecord(machine);
  }

  /** Brings the next planning round forward. */
  schedulePlanningRoundSoon(): void {
    this.planningRounds.scheduleSoon();
  }

  /** Looks up the records of jobs that are known only from workers' statuses. */
  lookUpSuspectedOrphans(): void {
    this.jobRecordLookup.lookUpSuspectedOrphans();
  }

  // ---- failover

  private restoreState(pages: readonly StoredEntry[]): void {
    // Previous leaders have renewed no worker lease since this leader was elected. This leader has renewed some of them
    // while it was loading the state.
    const renewals = this.heartbeatHandler.renewalsWhileLoading;
    const lastLeaseRenewalAt = (machine: MachineId) => renewals.lastRenewalAt(machine, this.electedAt);
    new StateRestorer(this.cluster, this.registry, this.jobCache, lastLeaseRenewalAt).restore(pages);
    this.state = 'active';
    this.autoscaler.listMachines();
    if (this.cluster.previousTerms.recovery === null) this.statusRequests.requestAll();
    else this.statusRequestTimer.set(this.context.after(this.context.features.recovery.ask_after_ms));
    this.planningRounds.start();
    this.healthCheckTimer.set(this.context.after(FIRST_HEALTH_CHECK_MS));
  }

  // ---- jobs

  /** Applies a newer job record from the cache, caused by a submission, a cancellation or a write of this leader. */
  onJobRecord(record: JobRecord, version: Revision): void {
    const { id } = record.spec;
    // A job that has ended before it became known here has no tasks that this leader started.
    if (record.state !== 'accepted' && !this.cluster.jobs.get(id)) this.cluster.jobs.forgetCancellation(id);
    else this.applyJobRecord(record, version);
  }

  private applyJobRecord(record: JobRecord, version: Revision): void {
    if (this.state !== 'active') return;
    const known = this.cluster.jobs.get(record.spec.id);
    if (known && known.stored.version >= version) return;
    this.cluster.applyJobRecord(record, version);
    this.schedulePlanningRoundSoon();
  }

  /**
   * Applies a cancellation that a controller has persisted. The watch of the state store may report the same
   * cancellation much later.
   */
  onCancellationBroadcast(id: JobId): void {
    if (this.state !== 'stopped') this.cluster.applyCancellationBroadcast(id);
  }

  /** Returns a job's task counts for display, or null if they are not known here. */
  taskCounts(id: JobId): TaskCounts | null {
    if (!this.mayAct()) return null;
    const job = this.cluster.jobs.get(id);
    return job ? { done: job.doneTasks.count, running: this.cluster.placements.runningCount(job) } : null;
  }

  /** Returns what recovery has found of previous terms, or null if the recovery feature is disabled. */
  recoverySummary(): RecoverySummary | null {
    return this.cluster.previousTerms.summary();
  }

  // ---- workers

  /** Handles a worker's heartbeat that this controller or a peer received. `respond` is called once, possibly later. */
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    this.heartbeatHandler.onHeartbeat(heartbeat, respond);
  }

  private requestAllStatuses(): void {
    if (this.isLeaseValid()) this.statusRequests.requestAll();
  }

  // ---- health

  /**
   * Runs once a second. Handles overdue heartbeats, lost machines and scale-in, and steps down if this controller
   * should no longer be the leader.
   */
  private runHealthChecks(): void {
    this.healthCheckTimer.set(this.context.after(HEALTH_CHECK_INTERVAL_MS));
    if (!this.isLeaseValid()) return;
    if (this.state === 'loading') {
      this.stepDownIfLoadingTooLong();
      return;
    }
    if (!this.hasRecentJobView()) {
      this.election.stepDown('view of jobs too old');
      return;
    }
    this.healthChecks.run();
    this.cluster.jobs.expireSettled(this.context.now.monotonic);
    this.cluster.previousTerms.finishIfReconciled();
    this.statusRequests.probe();
    this.autoscaler.runScaleIn(this.electedAt);
    this.registry.collectImageChanges();
    this.recordWriter.flush();
    const isIsolated = this.healthChecks.isLeaderIsolated();
    if (this.isolationCheck.recordIsolation(isIsolated)) this.election.stepDown('responses do not reach machines');
  }

  private stepDownIfLoadingTooLong(): void {
    if (!this.loadingLimit.isExceeded()) return;
    this.election.stepDown(this.stateLoader.hasReadRecords ? 'machine types not read' : 'state not read');
  }
}
