import type { JobSpec } from '../types.js';

/** As long as any plan looks ahead: room that a replica has taken doesn't come free. */
const FOREVER_S = 3600;
const MIN_RUN_S = 0.5;
/** The prior counts as so many tasks that ran as estimated, give or take half. */
const PRIOR_TASKS = 8;
const PRIOR_SPREAD = 0.5;
/** So many tasks are remembered of a class. */
const MEMORY_TASKS = 200;
/** One task counts as no more than e^3 times too long or too short. */
const MAX_LOG_RATIO = 3;
const MIN_SPREAD = 0.1;

/** What the tasks of a class showed: their number, and sums of log(actual / estimate) and of its squared error. */
interface ClassHistory {
  tasks: number;
  logSum: number;
  squaredErrors: number;
}

const emptyHistory = (): ClassHistory => ({ tasks: 0, logSum: 0, squaredErrors: 0 });

const meanOf = (history: ClassHistory | undefined): number =>
  history ? history.logSum / (history.tasks + PRIOR_TASKS) : 0;

/**
 * How far the owners' estimates are off, per class: mean and spread of log(actual / estimate), pulled towards "right, give
 * or take half" while few tasks have been seen.
 */
export class Estimates {
  private readonly classes = new Map<string, ClassHistory>();

  /** Returns how much longer than expected it took, as a logarithm: 0 is as expected. */
  observe(spec: JobSpec, actualS: number): number {
    if (!(actualS > 0) || !(spec.estimatedRuntimeSeconds > 0)) return 0;
    const ratio = Math.min(MAX_LOG_RATIO, Math.max(-MAX_LOG_RATIO, Math.log(actualS / spec.estimatedRuntimeSeconds)));
    const history = this.historyOf(spec.jobClass);
    const surprise = ratio - meanOf(history);
    history.tasks += 1;
    history.logSum += ratio;
    history.squaredErrors += surprise * surprise;
    if (history.tasks > MEMORY_TASKS) fade(history);
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
  expectS(spec: JobSpec): number {
    if (spec.kind === 'service') return FOREVER_S;
    return Math.max(MIN_RUN_S, spec.estimatedRuntimeSeconds * Math.exp(meanOf(this.classes.get(spec.jobClass))));
  }

  /** How uncertain that is: the spread of log(actual / expected). */
  spread(spec: JobSpec): number {
    const { tasks, squaredErrors } = this.classes.get(spec.jobClass) ?? emptyHistory();
    const prior = PRIOR_TASKS * PRIOR_SPREAD ** 2;
    return Math.max(MIN_SPREAD, Math.sqrt((prior + squaredErrors) / (tasks + PRIOR_TASKS)));
  }
}

/** Keeps the history as if it were of so many tasks as are remembered. */
function fade(history: ClassHistory): void {
  const keep = MEMORY_TASKS / history.tasks;
  history.logSum *= keep;
  history.squaredErrors *= keep;
  history.tasks = MEMORY_TASKS;
}
