/**
 * Classifies the tasks that workers report, by this leader's records and placements, and decides what to do about them.
 */
import type { Classification, OtherPlacement, ReportedTask, StoredJob } from './types.js';

/**
 * Returns the class of a reported task and the action to take. This is a pure function of the stored and the reported
 * state, so a leader that repeats the decision after another leader has failed obtains the same result.
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
  // A replica of a service never has a result, regardless of its exit reason.
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
 * Attempt numbers only increase, so the lower attempt is left over from an earlier start. Two machines report no other
 * number by which equal attempts could be ordered, so the placement that was found first is then retained.
 */
function classifyDuplicate(attempt: bigint, otherPlacement: OtherPlacement): Classification {
  if (attempt > otherPlacement.attempt) return { taskClass: 'newerDuplicate', action: 'adoptAndStopOther' };
  return { taskClass: 'staleDuplicate', action: 'stop' };
}
