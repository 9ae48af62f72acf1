import { decodeJob, jobKey } from '../../../../src/core/records.js';
import type { JobId, MachineId } from '../../../../src/core/types.js';
import type { CommandKind } from '../../command_counts.js';
import type { CheckTable } from './check.js';

/** Kinds of commands, by the words of a scenario. */
const COMMAND_KINDS: Readonly<Record<string, CommandKind>> = {
  start: 'start',
  stop: 'stop',
  acknowledge: 'acknowledge',
  'status-request': 'inquiry',
};

/** What a new leader found and did. */
export const recoveryChecks: CheckTable = {
  /** commands KIND at-most|at-least N: since they were last counted anew */
  commands(world, [kind, bound, wanted]) {
    const commandKind = COMMAND_KINDS[kind ?? ''];
    if (!commandKind) return `no kind of command ${kind}`;
    const count = world.commandCounts.count(commandKind);
    const holds = bound === 'at-most' ? count <= Number(wanted) : count >= Number(wanted);
    return holds ? null : `${count} commands to ${kind}, not ${bound} ${wanted}`;
  },
  /** found CLASS N: so many tasks were found to be that at the last failover */
  found(world, [taskClass, wanted]) {
    const tasks: Record<string, number> = { ...world.leader()?.recoverySummary()?.tasks };
    const count = tasks[taskClass ?? ''];
    return count === Number(wanted) ? null : `${count} ${taskClass}, not ${wanted}`;
  },
  /** certain-by CERTAINTY N: so many machines became certain in that way */
  'certain-by'(world, [how, wanted]) {
    const certainty: Record<string, number> = { ...world.leader()?.recoverySummary()?.reconciledBy };
    const count = certainty[how ?? ''];
    return count === Number(wanted) ? null : `${count} machines certain by ${how}, not ${wanted}`;
  },
  /** recovered-within S: everything was certain so long after leadership was taken */
  'recovered-within'(world, [seconds]) {
    const summary = world.leader()?.recoverySummary();
    if (!summary || summary.finishedAt === null) return 'recovery has not ended';
    const tookS = (summary.finishedAt - summary.startedAt) / 1000;
    return tookS <= Number(seconds) ? null : `recovery took ${tookS} s`;
  },
  /** orphans JOB ...: exactly these are listed for operators */
  orphans(world, ids) {
    const listed = new Set(
      world
        .leader()
        ?.recoverySummary()
        ?.orphans.map(({ job }) => job as string),
    );
    const same = listed.size === ids.length && ids.every((id) => listed.has(id));
    return same ? null : `orphans listed: ${[...listed].join(' ')}`;
  },
  /** runs-only-on MACHINE TASK: the task is there, and on no other machine */
  'runs-only-on'(world, [machine, task]) {
    const places = [...world.workers.values()].filter(
      ({ tasks }) => (tasks.get(task ?? '')?.phase ?? 'exited') !== 'exited',
    );
    const ids = places.map(({ id }) => id as string).join(' ');
    return ids === machine ? null : `${task} is on ${ids}, not on ${machine} alone`;
  },
  /** not-kept MACHINE JOB: the worker doesn't know it any more, ended or not */
  'not-kept'(world, [machine, id]) {
    const tasks = [...(world.workers.get(machine as MachineId)?.tasks.values() ?? [])];
    return tasks.some(({ job }) => job === id) ? `${machine} still shows ${id}` : null;
  },
  /** logged-error TEXT: one that is meant to be there; any other fails the scenario */
  'logged-error'(world, words) {
    const text = words.join(' ');
    const others = world.errors.filter((error) => !error.includes(text));
    if (others.length === world.errors.length) return `no error says ${text}`;
    world.errors.splice(0, world.errors.length, ...others);
    return null;
  },
  /** started-again TASK EVIDENCE: a leader started it again after an earlier one, and said so with this evidence */
  'started-again'(world, [task, evidence]) {
    const logged = world.restartEvidence.get(task ?? '');
    return logged === evidence ? null : `${task} was started again on the evidence ${logged}, not ${evidence}`;
  },
  /** recorded-zones JOB ZONE ...: the zones that its record names */
  'recorded-zones'(world, [id, ...zones]) {
    const record = decodeJob(world.stateStore.item(jobKey(id as JobId))?.value);
    const named = [...(record?.startZones ?? [])].sort().join(' ');
    return named === zones.sort().join(' ') ? null : `the record of ${id} names ${named}`;
  },
};
