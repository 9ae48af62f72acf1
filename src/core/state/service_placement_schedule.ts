/** Schedules the next attempt to place pending replicas, so that they do not have to wait for a planning round. */
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';
import type { JobTable } from './job_table.js';
import type { TermTimers } from './term_timers.js';

/**
 * Minimum interval between placements of replicas, and the delay that lets further replicas join the same placement.
 * Both are in milliseconds.
 */
const MIN_PLACEMENT_INTERVAL_MS = 100;
const BATCHING_DELAY_MS = 10;

/** Limits how often replicas are placed. */
export class ServicePlacementSchedule {
  private lastPlacementAt = 0 as MonotonicTime;

  constructor(
    private readonly context: StepContext,
    private readonly timers: TermTimers,
    private readonly jobs: JobTable,
  ) {}

  /** Records that replicas are placed in this step. */
  onPlacement(): void {
    this.lastPlacementAt = this.context.now.monotonic;
  }

  /**
   * Schedules a placement of replicas, not before `at`. Called when a replica needs a placement or when capacity for
   * one was freed.
   */
  request(at: MonotonicTime = this.context.now.monotonic): void {
    if (!this.jobs.hasPendingReplicas()) return;
    const spaced = this.lastPlacementAt + MIN_PLACEMENT_INTERVAL_MS;
    const earliest = Math.max(at, spaced, this.context.after(BATCHING_DELAY_MS)) as MonotonicTime;
    this.timers.servicePlacement.bringForward(earliest);
  }
}
