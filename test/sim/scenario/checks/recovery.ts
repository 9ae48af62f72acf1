/** Checks on the recovery after a failover: what the last leader found and which commands it sent. */
import { decodeJob, jobKey } from '../../../../src/core/records.js';
import type { JobId, MachineId } from '../../../../src/core/types.js';
import type { CommandKind } from '../../command_counts.js';
import type { CheckTable } from './check.js';

/** Command kinds by their names in a scenario. */
const COMMAND_KINDS: Readonly<Record<string, CommandKind>> = {
  start: 'start',
  stop: 'stop',
  acknowledge: 'acknowledge',
  'status-request': 'inquiry',
};

/** Checks on recovery. */
export const recoveryChecks: CheckTable = {
  /** commands KIND at-most|at-least N: the number of commands that reached workers since the last `count-commands` */
  commands(world, [kind, bound, wanted]) {
    const commandKind = COMMAND_KINDS[kind ?? ''];
    if (!commandKind) return `unknown command kind ${kind}`;
    const count = world.commandCounts.count(commandKind);
    const holds = bound === 'at-most' ? count <= Number(wanted) : count >= Number(wanted);
    return holds ? null : `${count} commands of kind ${kind}, expected ${bound} ${wanted}`;
  },
  /** found CLASS N: the number of tasks that the current leader classified as CLASS in its recovery */
  found(world, [taskClass, wanted]) {
    const tasks: Record<string, number> = { ...world.leader()?.recoverySummary()?.tasks };
    const count = tasks[taskClass ?? ''];
    return count === Number(wanted) ? null : `${count} tasks classified as ${taskClass}, expected ${wanted}`;
  },
  /**
   * certain-by CERTAINTY N: the number of machines that were reconciled in this way (`listed`, `leaseEnded` or `gone`)
   */
  'certain-by'(world, [how, wanted]) {
    const certainty: Record<string, number> = { ...world.leader()?.recoverySummary()?.reconciledBy };
    const count = certainty[how ?? ''];
    return count === Number(wanted) ? null : `${count} machines reconciled by ${how}, expected ${wanted}`;
  },
  /** recovered-within S: all machines were reconciled within S seconds after the leader's election */
  'recovered-within'(world, [seconds]) {
    const summary = world.leader()?.recoverySummary();
    if (!summary || summary.finishedAt === null) return 'recovery has not ended';
    const tookS = (summary.finishedAt - summary.startedAt) / 1000;
    return tookS <= Number(seconds) ? null : `recovery took too long: ${tookS} s`;
  },
  /** orphans JOB ...: exactly these jobs are listed as orphans for operators. Without JOB, none is listed */
  orphans(world, ids) {
    const listed = new Set(
      world
        .leader()
        ?.recoverySummary()
        ?.orphans.map(({ job }) => job as string),
    );
    const same = listed.size === ids.length && ids.every((id) => listed.has(id));
    return same ? null : `other orphans listed than expected: ${[...listed].join(' ')}`;
  },
  /** runs-only-on MACHINE TASK: only this machine has the task, apart from machines on which it has exited */
  'runs-only-on'(world, [machine, task]) {
    const places = [...world.workers.values()].filter(
      ({ tasks }) => (tasks.get(task ?? '')?.phase ?? 'exited') !== 'exited',
    );
    const ids = places.map(({ id }) => id as string).join(' ');
    return ids === machine ? null : `${task} is on [${ids}], expected only on ${machine}`;
  },
  /** not-kept MACHINE JOB: the worker holds no task of the job any more, running or exited */
  'not-kept'(world, [machine, id]) {
    const tasks = [...(world.workers.get(machine as MachineId)?.tasks.values() ?? [])];
    return tasks.some(({ job }) => job === id) ? `${machine} still holds tasks of ${id}` : null;
  },
  /**
   * logged-error TEXT: an expected error that contains TEXT was logged. Errors that don't contain it still fail the
   * scenario
   */
  'logged-error'(world, words) {
    const text = words.join(' ');
    const others = world.errors.filter((error) => !error.includes(text));
    if (others.length === world.errors.length) return `no logged error contains: ${text}`;
    world.errors.splice(0, world.errors.length, ...others);
    return null;
  },
  /**
   * started-again TASK EVIDENCE: a leader started a task of a previous term again, and logged this evidence that its
   * earlier attempt had ended
   */
  'started-again'(world, [task, evidence]) {
    const logged = world.restartEvidence.get(task ?? '');
    return logged === evidence ? null : `${task} was started again with evidence ${logged}, expected ${evidence}`;
  },
  /** recorded-zones JOB ZONE ...: the stored job record names exactly these zones */
  'recorded-zones'(world, [id, ...zones]) {
    const record = decodeJob(world.stateStore.item(jobKey(id as JobId))?.value);
    const named = [...(record?.startZones ?? [])].sort().join(' ');
    return named === zones.sort().join(' ') ? null : `the record of ${id} names other zones than expected: ${named}`;
  },
};
