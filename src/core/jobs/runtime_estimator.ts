/** Estimates run times: how far the estimates of job owners are off, by class of jobs. */
import type { JobSpec } from '../types.js';

/** As long as any plan looks ahead: capacity that a replica has taken doesn't come free. */
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

  /** A task of the job took so many seconds. Returns how much longer than expected that is, as a logarithm: 0 is as expected. */
  observe(spec: JobSpec, actualSeconds: number): number {
    if (!(actualSeconds > 0) || !(spec.estimatedRuntimeSeconds > 0)) return 0;
    const ratio = Math.min(
      MAX_LOG_RATIO,
      Math.max(-MAX_LOG_RATIO, Math.log(actualSeconds / spec.estimatedRuntimeSeconds)),
    );
    const history = this.historyOf(spec.jobClass);
    const logError = ratio - meanLogRatio(history);
    history.taskCount += 1;
    history.logRatioSum += ratio;
    history.squaredErrorSum += logError * logError;
    if (history.taskCount > MAX_REMEMBERED_TASKS) decay(history);
    return logError;
  }

  private historyOf(jobClass: string): ClassHistory {
    const known = this.classes.get(jobClass);
    if (known) return known;
    const history = emptyHistory();
    this.classes.set(jobClass, history);
    return history;
  }

  /** Returns the expected run time of one task, in seconds. A service's replicas run until they are cancelled. */
  expectedSeconds(spec: JobSpec): number {
    if (spec.kind === 'service') return UNBOUNDED_RUNTIME_SECONDS;
    return Math.max(
      MIN_RUNTIME_SECONDS,
      spec.estimatedRuntimeSeconds * Math.exp(meanLogRatio(this.classes.get(spec.jobClass))),
    );
  }

  /** Returns how uncertain that is: the standard deviation of log(actual / expected). */
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
