import { RangeSet } from '../../src/core/jobs/range_set.js';
import { decodeJob, encodeJob, jobKey, pageKey } from '../../src/core/records.js';
import type { Attempt, JobId, MachineId, WallClockTime } from '../../src/core/types.js';
import type { CommandKind } from './command_counts.js';
import { makeJobSpec, numberOption, readOptions } from './job_options.js';
import type { SimulatedWorker } from './worker.js';
import type { World } from './world.js';

type ScenarioEvent = (world: World, words: string[]) => void;

/** A value as a later release might write it. */
const FUTURE_VALUE = { v: 99, of: 'a later release' };

/** Values that were replaced, to be put back. */
const replacedValues = new WeakMap<World, Map<string, unknown>>();

function corrupt(world: World, key: string): void {
  const values = replacedValues.get(world) ?? new Map<string, unknown>();
  replacedValues.set(world, values);
  values.set(key, world.stateStore.item(key)?.value);
  world.corruptedKeys.add(key);
  world.stateStore.overwrite(key, FUTURE_VALUE);
}

/** A machine that doesn't hold the task yet. */
function workerWithout(world: World, id: string | undefined, index: string | undefined): SimulatedWorker | undefined {
  return [...world.workers.values()].find((worker) => !worker.tasks.has(`${id}/${index}`));
}

/** Events that set what is stored and what workers hold at odds. */
export const recoveryEvents: Readonly<Record<string, ScenarioEvent>> = {
  /** count-orders: what workers are told is counted from now on */
  'count-orders'(world) {
    world.commandCounts.reset();
  },
  /** plant MACHINE|other JOB INDEX ATTEMPT key=value ...: a task is there that no controller of this world has started */
  plant(world, [machine, id, index, attempt, ...rest]) {
    const worker = machine === 'other' ? workerWithout(world, id, index) : world.workers.get(machine as MachineId);
    if (!worker) throw new Error(`no machine ${machine}`);
    const options = readOptions(rest);
    if (!world.invariants.specOf(id as JobId))
      world.invariants.injectedJobs.set(id as JobId, makeJobSpec(id ?? '', 'array', options));
    worker.injectTask(id as JobId, Number(index), BigInt(attempt ?? '1') as Attempt);
    world.setRunMs(id as JobId, numberOption(options, 'run', 10) * 1000);
  },
  /** record-late JOB: the record of a planted job turns up, as its submission carried out late would write it */
  'record-late'(world, [id]) {
    const spec = world.invariants.injectedJobs.get(id as JobId);
    if (!spec) throw new Error(`${id} was not planted`);
    world.follow(spec, world.runMs(spec.id));
    const record = { spec, submittedAt: world.clock.now as WallClockTime, state: 'accepted', startTerm: 1 } as const;
    const value = encodeJob({ ...record, startZone: null, startZones: null, done: new RangeSet() }, 8192);
    world.stateStore.overwrite(jobKey(spec.id), value);
  },
  /** garble-job JOB, garble-page N: the value becomes one that this version can't read */
  'garble-job'(world, [id]) {
    corrupt(world, jobKey(id as JobId));
  },
  'garble-page'(world, [no]) {
    corrupt(world, pageKey(Number(no)));
  },
  /** restore: garbled values are as they were, if nobody has written them since */
  restore(world) {
    for (const [key, value] of replacedValues.get(world) ?? []) {
      const isUntouched = JSON.stringify(world.stateStore.item(key)?.value) === JSON.stringify(FUTURE_VALUE);
      world.corruptedKeys.delete(key);
      if (isUntouched) world.stateStore.overwrite(key, value);
      else world.errors.push(`${key} was written over`);
    }
  },
};

type ScenarioCheck = (world: World, words: string[]) => string | null;

/** What scenarios call the commands to workers. */
const COMMAND_OF_WORD: Readonly<Record<string, CommandKind>> = {
  start: 'start',
  stop: 'stop',
  forget: 'acknowledge',
  inquiry: 'inquiry',
};

/** What recovery is expected to have done. */
export const recoveryChecks: Readonly<Record<string, ScenarioCheck>> = {
  /** expect orders KIND at-most|at-least N: since they were last counted anew */
  orders(world, [kind, bound, wanted]) {
    const command = COMMAND_OF_WORD[kind ?? ''];
    if (!command) return `no orders are called ${kind}`;
    const count = world.commandCounts.count(command);
    const holds = bound === 'at-most' ? count <= Number(wanted) : count >= Number(wanted);
    return holds ? null : `${count} orders to ${kind}, not ${bound} ${wanted}`;
  },
  /** expect found CLASS N: so many tasks were found to be that when the lead last changed */
  found(world, [taskClass, wanted]) {
    const tasks: Record<string, number> = { ...world.leader()?.recoverySummary()?.tasks };
    const count = tasks[taskClass ?? ''];
    return count === Number(wanted) ? null : `${count} ${taskClass}, not ${wanted}`;
  },
  /** expect certain-by CERTAINTY N: so many machines became certain in that way */
  'certain-by'(world, [how, wanted]) {
    const certainty: Record<string, number> = { ...world.leader()?.recoverySummary()?.reconciledBy };
    const count = certainty[how ?? ''];
    return count === Number(wanted) ? null : `${count} machines certain by ${how}, not ${wanted}`;
  },
  /** expect recovered-within S: everything was certain so long after the lead was taken */
  'recovered-within'(world, [seconds]) {
    const summary = world.leader()?.recoverySummary();
    if (!summary || summary.finishedAt === null) return 'recovery has not ended';
    const tookS = (summary.finishedAt - summary.startedAt) / 1000;
    return tookS <= Number(seconds) ? null : `recovery took ${tookS} s`;
  },
  /** expect orphans JOB ...: exactly these are listed for operators */
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
  /** expect live-only-on MACHINE TASK: the task is there, and on no other machine */
  'live-only-on'(world, [machine, task]) {
    const places = [...world.workers.values()].filter(
      ({ tasks }) => (tasks.get(task ?? '')?.phase ?? 'exited') !== 'exited',
    );
    const ids = places.map(({ id }) => id as string).join(' ');
    return ids === machine ? null : `${task} is on ${ids}, not on ${machine} alone`;
  },
  /** expect not-kept MACHINE JOB: the worker doesn't know it any more, ended or not */
  'not-kept'(world, [machine, id]) {
    const tasks = [...(world.workers.get(machine as MachineId)?.tasks.values() ?? [])];
    return tasks.some(({ job }) => job === id) ? `${machine} still shows ${id}` : null;
  },
  /** expect logged-error TEXT: one that is meant to be there; any other fails the scenario */
  'logged-error'(world, words) {
    const text = words.join(' ');
    const others = world.errors.filter((error) => !error.includes(text));
    if (others.length === world.errors.length) return `no error says ${text}`;
    world.errors.splice(0, world.errors.length, ...others);
    return null;
  },
  /** expect zones-of JOB ZONE ...: the zones that its record names */
  'zones-of'(world, [id, ...zones]) {
    const record = decodeJob(world.stateStore.item(jobKey(id as JobId))?.value);
    const named = [...(record?.startZones ?? [])].sort().join(' ');
    return named === zones.sort().join(' ') ? null : `the record of ${id} names ${named}`;
  },
};
