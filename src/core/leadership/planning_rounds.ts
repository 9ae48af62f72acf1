/** When planning rounds and placements of replicas take place, and what follows from them. */
import type { Autoscaler } from '../autoscaling/autoscaler.js';
import { migrateToCachedImages } from '../scheduler/migration.js';
import { preempt } from '../scheduler/preemption.js';
import { scheduleRound } from '../scheduler/round.js';
import { placeServices } from '../scheduler/service_placement.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';

const FIRST_ROUND_MS = 50;
/** A round that something calls for waits a moment for more of it. */
const BATCHING_MS = 20;
/** Sets the random choices of one round apart from those of the next. */
const SEED_STEP = 7919;

/** What rounds depend on, and what follows from a round or a placement. */
export interface PlanningRoundCallbacks {
  /** Returns whether the state is loaded, and this controller is the leader. */
  mayPlan(): boolean;
  /** Writes the records that starts wait for. */
  flushRecords(): void;
  /** Sends the starts of replicas. */
  pushCommands(): void;
  /** Answers heartbeats whose responses carry starts. */
  releaseDeferredResponses(): void;
}

/** Runs the scheduler for one leader. */
export class PlanningRounds {
  private readonly context: StepContext;
  private lastRoundAt = 0 as MonotonicTime;
  private lastRoundSteps = 0;
  private roundCount = 0;

  /** `seed` is what all random choices of the rounds come from. */
  constructor(
    private readonly cluster: Cluster,
    private readonly autoscaler: Autoscaler,
    private readonly seed: number,
    private readonly callbacks: PlanningRoundCallbacks,
  ) {
    this.context = cluster.context;
    cluster.timers.planningRound.handle(() => this.onRoundDue());
    cluster.timers.servicePlacement.handle(() => {
      if (this.callbacks.mayPlan()) this.placeServices();
    });
  }

  /** The state has been restored: the first round follows at once. */
  start(): void {
    this.cluster.timers.planningRound.set(this.context.after(FIRST_ROUND_MS));
  }

  /** Brings the next round forward, as far as the cost of rounds allows. */
  scheduleSoon(): void {
    this.cluster.servicePlacements.request();
    const { spacing_ms, spacing_per_machine_ms, spacing_per_step_ms } = this.context.tuning.scheduler;
    const costMs = spacing_per_machine_ms * this.cluster.machines.size + spacing_per_step_ms * this.lastRoundSteps;
    const earliest = this.lastRoundAt + spacing_ms + costMs;
    const at = Math.max(earliest, this.context.after(BATCHING_MS)) as MonotonicTime;
    this.cluster.timers.planningRound.bringForward(at);
  }

  /** Places replicas that wait; their starts are pushed, not left to responses. */
  private placeServices(): void {
    this.cluster.servicePlacements.onPlacement();
    if (placeServices(this.cluster) === 0) return;
    this.callbacks.flushRecords();
    this.callbacks.pushCommands();
  }

  /** The round after this one is scheduled, whether or not this one can be run. */
  private onRoundDue(): void {
    this.cluster.timers.planningRound.set(this.context.after(this.context.tuning.scheduler.period_ms));
    this.lastRoundAt = this.context.now.monotonic;
    if (this.callbacks.mayPlan()) this.run();
  }

  /** Plans all work that waits, and scales out for what the machines can't take. */
  private run(): void {
    this.roundCount += 1;
    this.placeServices();
    const round = scheduleRound(this.cluster, (this.seed + this.roundCount * SEED_STEP) | 0);
    this.lastRoundSteps = round.steps;
    migrateToCachedImages(this.cluster);
    preempt(this.cluster, round);
    this.autoscaler.runScaleOut(round);
    this.callbacks.flushRecords();
    this.callbacks.releaseDeferredResponses();
  }
}
