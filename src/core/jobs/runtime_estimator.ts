/** Estimates run times by learning, per job class, how far the estimates of job owners are off. */
import type { JobSpec } from '../types.js';

/**
 * Expected run time of a service replica, in seconds. It equals the longest planning horizon, because the capacity of a
 * replica does not become free.
 */
const UNBOUNDED_RUNTIME_SECONDS = 3600;
const MIN_RUNTIME_SECONDS = 0.5;
/** Weight of the prior, in tasks. The prior assumes that tasks run as long as estimated, plus or minus half. */
const PRIOR_TASKS = 8;
const PRIOR_STANDARD_DEVIATION = 0.5;
/** Maximum number of tasks per class that the history represents. */
const MAX_REMEMBERED_TASKS = 200;
/** Limit of the absolute value of log(actual / estimate) for one task, which is a factor of e^3 in either direction. */
const MAX_LOG_RATIO = 3;
const MIN_STANDARD_DEVIATION = 0.1;

/**
 * Observations of a class: number of tasks, sum of log(actual / estimate), and sum of the squared errors of its
 * prediction.
 */
interface ClassHistory {
  taskCount: number;
  logRatioSum: number;
  squaredErrorSum: number;
}

const emptyHistory = (): ClassHistory => ({ taskCount: 0, logRatioSum: 0, squaredErrorSum: 0 });

const meanLogRatio = (history: ClassHistory | undefined): number =>
  history ? history.logRatioSum / (history.taskCount + PRIOR_TASKS) : 0;

/**
 * Learns per class the mean and standard deviation of log(actual / estimate). While few tasks have been observed, both
 * are pulled towards the prior, which is a correct estimate plus or minus half.
 */
export class RuntimeEstimator {
  private readonly classes = new Map<string, ClassHistory>();

  /**
   * Records that a task of the job ran for `actualSeconds`. Returns the logarithm of the ratio of actual to expected
   * run time, which is 0 if the task ran as long as expected.
   */
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

  /** Returns the expected run time of one task, in seconds. A service's replicas run until the service is cancelled. */
  expectedSeconds(spec: JobSpec): number {
    if (spec.kind === 'service') return UNBOUNDED_RUNTIME_SECONDS;
    return Math.max(
      MIN_RUNTIME_SECONDS,
      spec.estimatedRuntimeSeconds * Math.exp(meanLogRatio(this.classes.get(spec.jobClass))),
    );
  }

  /** Returns the uncertainty of the expected run time: the standard deviation of log(actual / expected). */
  logStandardDeviation(spec: JobSpec): number {
    const { taskCount, squaredErrorSum } = this.classes.get(spec.jobClass) ?? emptyHistory();
    const prior = PRIOR_TASKS * PRIOR_STANDARD_DEVIATION ** 2;
    return Math.max(MIN_STANDARD_DEVIATION, Math.sqrt((prior + squaredErrorSum) / (taskCount + PRIOR_TASKS)));
  }
}

/** Scales the history down to MAX_REMEMBERED_TASKS tasks. */
function decay(history: ClassHistory): void {
  const factor = MAX_REMEMBERED_TASKS / history.taskCount;
  history.logRatioSum *= factor;
  history.squaredErrorSum *= factor;
  history.taskCount = MAX_REMEMBERED_TASKS;
}
