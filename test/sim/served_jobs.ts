/** Checks at the end of a run how well jobs were served, by class and team. */
import type { JobSpec } from '../../src/core/types.js';
import type { Invariants } from './invariants.js';

/**
 * Maximum wait of the largest jobs of each class until their first start, in milliseconds. It counts from the
 * submission, or from the end of all faults if that is later.
 */
const MAX_WAIT_OF_LARGEST_JOBS_MS = 240_000;

/** The largest tenth of the jobs of each class, at least one job, by number of tasks. */
function largestOfClasses(specs: readonly JobSpec[]): JobSpec[] {
  const byClass = new Map<string, JobSpec[]>();
  for (const spec of specs) byClass.set(spec.jobClass, [...(byClass.get(spec.jobClass) ?? []), spec]);
  return [...byClass.values()].flatMap((jobs) => {
    const largestFirst = jobs.sort((a, b) => b.taskCount - a.taskCount);
    return largestFirst.slice(0, Math.ceil(largestFirst.length / 10));
  });
}

/**
 * The shares of jobs that completed, by class, by team, and for the largest jobs of each class. Counts only accepted
 * arrays and gangs whose cancellation no user requested.
 */
export function servedShares(invariants: Invariants): Map<string, number> {
  const counts = new Map<string, { total: number; served: number }>();
  const count = (key: string, served: boolean): void => {
    const tally = counts.get(key) ?? { total: 0, served: 0 };
    tally.total += 1;
    if (served) tally.served += 1;
    counts.set(key, tally);
  };
  const finite = invariants.wantedJobs().filter((spec) => spec.kind !== 'service');
  for (const spec of finite) {
    count(`class ${spec.jobClass}`, invariants.isDone(spec.id));
    count(`team ${spec.team}`, invariants.isDone(spec.id));
  }
  for (const spec of largestOfClasses(finite)) count(`largest of ${spec.jobClass}`, invariants.isDone(spec.id));
  return new Map([...counts].map(([key, { total, served }]) => [key, served / total]));
}

/** The largest jobs of each class that waited over four minutes for their first start, after the end of all faults. */
export function lateLargestJobs(invariants: Invariants): string[] {
  const isLate = ({ id }: JobSpec): boolean =>
    invariants.waitMsSince(id, invariants.faultsUntil) > MAX_WAIT_OF_LARGEST_JOBS_MS;
  return largestOfClasses(invariants.wantedJobs())
    .filter(isLate)
    .map((spec) => spec.id);
}
