import type { JobSpec } from '../types.js';

/** As long as any plan looks ahead: room that a replica has taken doesn't come free. */
const UNBOUNDED_RUNTIME_SECONDS = 3600;
const MIN_RUNTIME_SECONDS = 0.5;
/** The prior counts as so many tasks that ran as estimated, give or take half. */
const PRIOR_TASKS = 8;
const PRIOR_STANDARD_DEVIATION = 0.5;
/** So many tasks are remembered of a class. */
const MAX_REMEMBERED_TASKS = 200;
/** One task counts as no more than e^3 times too long or too short. */
const MAX_LOG_RATIO = 3;
const MIN_STANDARD_DEVIATION = 0.1;

/** What the tasks of a class showed: their number, and sums of log(actual / estimate) and of its squared error. */
interface ClassHistory {
  taskCount: number;
  logRatioSum: number;
  squaredErrorSum: number;
}

const emptyHistory = (): ClassHistory => ({ taskCount: 0, logRatioSum: 0, squaredErrorSum: 0 });

const meanLogRatio = (history: ClassHistory | undefined): number =>
  history ? history.logRatioSum / (history.taskCount + PRIOR_TASKS) : 0;

/**
 * How far the owners' estimates are off, per class: mean and spread of log(actual / estimate), pulled towards "right, give
 * or take half" while few tasks have been seen.
 */
export class RuntimeEstimator {
  private readonly classes = new Map<string, ClassHistory>();

  /** Returns how much longer than expected it took, as a logarithm: 0 is as expected. */
  observe(spec: JobSpec, actualS: number): number {
    if (!(actualS > 0) || !(spec.estimatedRuntimeSeconds > 0)) return 0;
    const ratio = Math.min(MAX_LOG_RATIO, Math.max(-MAX_LOG_RATIO, Math.log(actualS / spec.estimatedRuntimeSeconds)));
    const history = this.historyOf(spec.jobClass);
    const surprise = ratio - meanLogRatio(history);
    history.taskCount += 1;
    history.logRatioSum += ratio;
    history.squaredErrorSum += surprise * surprise;
    if (history.taskCount > MAX_REMEMBERED_TASKS) decay(history);
    return surprise;
  }

  private historyOf(jobClass: string): ClassHistory {
    const known = this.classes.get(jobClass);
    if (known) return known;
    const history = emptyHistory();
    this.classes.set(jobClass, history);
    return history;
  }

  /** Expected run time of one task, in seconds. A service's replicas run until they are called off. */
  expectedSeconds(spec: JobSpec): number {
    if (spec.kind === 'service') return UNBOUNDED_RUNTIME_SECONDS;
    return Math.max(
      MIN_RUNTIME_SECONDS,
      spec.estimatedRuntimeSeconds * Math.exp(meanLogRatio(this.classes.get(spec.jobClass))),
    );
  }

  /** How uncertain that is: the spread of log(actual / expected). */
  logStandardDeviation(spec: JobSpec): number {
    const { taskCount, squaredErrorSum } = this.classes.get(spec.jobClass) ?? emptyHistory();
    const prior = PRIOR_TASKS * PRIOR_STANDARD_DEVIATION ** 2;
    return Math.max(MIN_STANDARD_DEVIATION, Math.sqrt((prior + squaredErrorSum) / (taskCount + PRIOR_TASKS)));
  }
}

/** Keeps the history as if it were of so many tasks as are remembered. */
function decay(history: ClassHistory): void {
  const keep = MAX_REMEMBERED_TASKS / history.taskCount;
  history.logRatioSum *= keep;
  history.squaredErrorSum *= keep;
  history.taskCount = MAX_REMEMBERED_TASKS;
}
