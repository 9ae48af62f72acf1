/** What a task that a worker reports is, as far as this leader's records and placements tell, and what follows. */
import type { Classification, OtherPlacement, ReportedTask, StoredJob } from './types.js';

/**
 * Returns what a reported task is, and what follows. A pure function of what was stored and what is reported, so that a leader
 * that repeats it after another one failed comes to the same result.
 */
export function classify(task: ReportedTask): Classification {
  switch (task.job.kind) {
    case 'unreadable':
      return { taskClass: 'unreadable', action: 'ignore' };
    case 'unread':
      return { taskClass: 'orphanSuspected', action: 'lookUpRecord' };
    case 'absent':
      return { taskClass: 'orphan', action: task.exitReason === null ? 'stop' : 'acknowledge' };
    case 'recorded':
      return task.exitReason === null ? classifyLive(task, task.job) : classifyExited(task, task.job);
  }
}

type RecordedJob = Extract<StoredJob, { kind: 'recorded' }>;

function classifyExited({ exitReason }: ReportedTask, job: RecordedJob): Classification {
  // A replica that ends has no result, whatever it says of itself.
  const hasResult = exitReason === 'done' && !job.isService;
  if (!hasResult) return { taskClass: 'endedOtherwise', action: job.cancelled ? 'acknowledge' : 'requeue' };
  if (job.taskDone || job.cancelled) return { taskClass: 'finishedOnRecord', action: 'acknowledge' };
  return { taskClass: 'finished', action: 'recordResult' };
}

function classifyLive({ attempt, otherPlacement }: ReportedTask, job: RecordedJob): Classification {
  if (otherPlacement !== null) return classifyDuplicate(attempt, otherPlacement);
  if (job.cancelled) return { taskClass: 'cancelled', action: 'adoptAndStop' };
  if (job.taskDone) return { taskClass: 'alreadyDone', action: 'adoptAndStop' };
  return { taskClass: 'agrees', action: 'adopt' };
}

/**
 * Attempts only grow, so the lower one is left over from an earlier start. Equal ones can't be told apart by any number that
 * two machines share: the place that was found first holds.
 */
function classifyDuplicate(attempt: bigint, elsewhere: OtherPlacement): Classification {
  if (attempt > elsewhere.attempt) return { taskClass: 'newerDuplicate', action: 'adoptAndStopOther' };
  return { taskClass: 'staleDuplicate', action: 'stop' };
}
