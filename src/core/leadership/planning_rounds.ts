/** Decides when planning rounds and placements of replicas run, and carries out the actions that follow from them. */
import type { Autoscaler } from '../autoscaling/autoscaler.js';
import { LongWaits } from '../scheduler/long_waits.js';
import { migrateToCachedImages } from '../scheduler/migration.js';
import { preempt } from '../scheduler/preemption.js';
import { scheduleRound } from '../scheduler/round.js';
import { placeServices } from '../scheduler/service_placement.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';

const FIRST_ROUND_MS = 50;
/** Minimum delay of a requested round, in milliseconds, so that one round can cover several requests. */
const BATCHING_MS = 20;
/** Difference between the random seeds of successive rounds. */
const SEED_STEP = 7919;

/** The condition for planning rounds, and the actions that follow a round or a placement. */
export interface PlanningRoundCallbacks {
  /** Returns whether the state is loaded and this controller is the leader. */
  mayPlan(): boolean;
  /** Writes the records that starts are waiting for. */
  flushRecords(): void;
  /** Pushes the start commands of replicas to the workers. */
  pushCommands(): void;
  /** Sends the deferred heartbeat responses, which carry start commands. */
  releaseDeferredResponses(): void;
}

/** Runs the scheduler for one leader during its term. */
export class PlanningRounds {
  private readonly context: StepContext;
  private lastRoundAt = 0 as MonotonicTime;
  private lastRoundSteps = 0;
  private roundCount = 0;
  private readonly longWaits: LongWaits;

  /** `seed` determines all random choices of the rounds. */
  constructor(
    private readonly cluster: Cluster,
    private readonly autoscaler: Autoscaler,
    private readonly seed: number,
    private readonly callbacks: PlanningRoundCallbacks,
  ) {
    this.context = cluster.context;
    this.longWaits = new LongWaits(cluster);
    cluster.timers.planningRound.setCallback(() => this.onRoundDue());
    cluster.timers.servicePlacement.setCallback(() => {
      if (this.callbacks.mayPlan()) this.placeServices();
    });
  }

  /** Schedules the first round. Called when the state has been restored. */
  start(): void {
    this.cluster.timers.planningRound.set(this.context.after(FIRST_ROUND_MS));
  }

  /** Brings the next round forward. The minimum spacing of rounds grows with the cost of a round. */
  scheduleSoon(): void {
    this.cluster.servicePlacements.request();
    const { spacing_ms, spacing_per_machine_ms, spacing_per_step_ms } = this.context.tuning.scheduler;
    const costMs = spacing_per_machine_ms * this.cluster.machines.size + spacing_per_step_ms * this.lastRoundSteps;
    const earliest = this.lastRoundAt + spacing_ms + costMs;
    const at = Math.max(earliest, this.context.after(BATCHING_MS)) as MonotonicTime;
    this.cluster.timers.planningRound.bringForward(at);
  }

  /** Places pending replicas. Their start commands are pushed instead of waiting for heartbeat responses. */
  private placeServices(): void {
    this.cluster.servicePlacements.onPlacement();
    if (placeServices(this.cluster) === 0) return;
    this.callbacks.flushRecords();
    this.callbacks.pushCommands();
  }

  /** Runs a round if that is possible now, and schedules the next one in any case. */
  private onRoundDue(): void {
    this.cluster.timers.planningRound.set(this.context.after(this.context.tuning.scheduler.period_ms));
    this.lastRoundAt = this.context.now.monotonic;
    if (this.callbacks.mayPlan()) this.run();
  }

  /** Plans all pending work, and scales out for the work that does not fit on the machines. */
  private run(): void {
    this.roundCount += 1;
    this.placeServices();
    const round = scheduleRound(this.cluster, (this.seed + this.roundCount * SEED_STEP) | 0);
    const longWaits = this.longWaits.startDueJobs(this.context.tuning.scheduler.plan_steps);
    this.lastRoundSteps = round.steps + longWaits.steps;
    migrateToCachedImages(this.cluster);
    preempt(this.cluster, round);
    this.autoscaler.runScaleOut(round);
    this.callbacks.flushRecords();
    if (longWaits.replicas > 0) this.callbacks.pushCommands();
    this.callbacks.releaseDeferredResponses();
  }
}
