/** When replicas that have no placement are looked at next: soon, not with the next planning round. */
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';
import type { JobTable } from './job_table.js';
import type { TermTimers } from './term_timers.js';

/** Least spacing of placements of replicas, and how long one waits for more to place. */
const SPACING_MS = 100;
const BATCHING_MS = 10;

/** Spaces the placements of replicas. */
export class ServicePlacementSchedule {
  private lastPlacementAt = 0 as MonotonicTime;

  constructor(
    private readonly context: StepContext,
    private readonly timers: TermTimers,
    private readonly jobs: JobTable,
  ) {}

  /** Replicas are placed in this step. */
  onPlacement(): void {
    this.lastPlacementAt = this.context.now.monotonic;
  }

  /** A replica has no placement, or capacity for one was freed. `at`: not before this time. */
  request(at: MonotonicTime = this.context.now.monotonic): void {
    if (!this.jobs.hasPendingReplicas()) return;
    const spaced = this.lastPlacementAt + SPACING_MS;
    const earliest = Math.max(at, spaced, this.context.after(BATCHING_MS)) as MonotonicTime;
    this.timers.servicePlacement.bringForward(earliest);
  }
}
