import type { JobSpec } from '../../src/core/types.js';
import type { Invariants } from './invariants.js';

/* How well jobs were served, beside what must never happen: judged by classes and teams once a run is over. */

/** Of each class, the largest jobs begin within this time, faults not counted. */
const LONGEST_WAIT_OF_LARGEST_MS = 240_000;

/** The largest tenth of the jobs of each class, one at least. */
function largestOfClasses(specs: readonly JobSpec[]): JobSpec[] {
  const byClass = new Map<string, JobSpec[]>();
  for (const spec of specs) byClass.set(spec.jobClass, [...(byClass.get(spec.jobClass) ?? []), spec]);
  return [...byClass.values()].flatMap((jobs) => {
    const largestFirst = jobs.sort((a, b) => b.taskCount - a.taskCount);
    return largestFirst.slice(0, Math.ceil(largestFirst.length / 10));
  });
}

/** Of accepted jobs that nobody cancelled, the shares that were served: by class, by team, and of each class's largest. */
export function servedShares(invariants: Invariants): Map<string, number> {
  const counts = new Map<string, { asked: number; served: number }>();
  const count = (key: string, served: boolean): void => {
    const tally = counts.get(key) ?? { asked: 0, served: 0 };
    tally.asked += 1;
    if (served) tally.served += 1;
    counts.set(key, tally);
  };
  const finite = invariants.wantedJobs().filter((spec) => spec.kind !== 'service');
  for (const spec of finite) {
    count(`class ${spec.jobClass}`, invariants.isDone(spec.id));
    count(`team ${spec.team}`, invariants.isDone(spec.id));
  }
  for (const spec of largestOfClasses(finite)) count(`largest of ${spec.jobClass}`, invariants.isDone(spec.id));
  return new Map([...counts].map(([key, { asked, served }]) => [key, served / asked]));
}

/** Of each class's largest jobs those that waited over four minutes to begin, faults not counted. */
export function lateLargestJobs(invariants: Invariants): string[] {
  const isLate = ({ id }: JobSpec): boolean =>
    invariants.waitMsSince(id, invariants.faultsUntil) > LONGEST_WAIT_OF_LARGEST_MS;
  return largestOfClasses(invariants.wantedJobs())
    .filter(isLate)
    .map((spec) => spec.id);
}
