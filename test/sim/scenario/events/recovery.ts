/** Events that make stored records and the tasks on workers inconsistent. */
import { RangeSet } from '../../../../src/core/jobs/range_set.js';
import { encodeJob, jobKey, pageKey } from '../../../../src/core/records.js';
import type { Attempt, JobId, MachineId, WallClockTime } from '../../../../src/core/types.js';
import { makeJobSpec, numberOption, readJobOptions } from '../../job_options.js';
import type { SimulatedWorker } from '../../worker.js';
import type { World } from '../../world.js';
import type { EventTable } from './targets.js';

/** A value with a version that only a later release would write, which this version can't read. */
const FUTURE_VALUE = { v: 99, of: 'a later release' };
const MAX_VALUE_BYTES = 8192;

/** Values that `corrupt-job` and `corrupt-page` replaced, by key, for `restore-corrupted`. */
const replacedValues = new WeakMap<World, Map<string, unknown>>();

function corrupt(world: World, key: string): void {
  const values = replacedValues.get(world) ?? new Map<string, unknown>();
  replacedValues.set(world, values);
  values.set(key, world.stateStore.item(key)?.value);
  world.registryCheck.corruptedKeys.add(key);
  world.stateStore.overwrite(key, FUTURE_VALUE);
}

/** Returns a worker that doesn't hold the task. */
function workerWithout(world: World, id: string | undefined, index: string | undefined): SimulatedWorker | undefined {
  return [...world.workers.values()].find((worker) => !worker.tasks.has(`${id}/${index}`));
}

/** Events that make stored records and the tasks on workers inconsistent, and the count of commands. */
export const recoveryEvents: EventTable = {
  /** count-commands: resets the counts of commands that reach workers, for the check `commands` */
  'count-commands'(world) {
    world.commandCounts.reset();
  },
  /**
   * inject-task MACHINE|other JOB INDEX ATTEMPT [OPTION ...]: a task that no controller started runs on the machine.
   * `other` is a machine that doesn't hold this task
   */
  'inject-task'(world, [machine, id, index, attempt, ...rest]) {
    const worker = machine === 'other' ? workerWithout(world, id, index) : world.workers.get(machine as MachineId);
    if (!worker) throw new Error(`unknown machine ${machine}`);
    const job = id as JobId;
    const options = readJobOptions(rest);
    if (!world.invariants.specOf(job)) world.invariants.injectedJobs.set(job, makeJobSpec(job, 'array', options));
    worker.executor.inject(job, Number(index), BigInt(attempt ?? '1') as Attempt);
    world.progress.setInjectedRunMs(job, numberOption(options, 'runtime', 10) * 1000);
  },
  /** record-job JOB: the record of an injected job appears, as a submission that is applied late would write it */
  'record-job'(world, [id]) {
    const spec = world.invariants.injectedJobs.get(id as JobId);
    if (!spec) throw new Error(`record-job ${id}: no task of this job was injected`);
    world.users.pollRecordedJob(spec, world.progress.runMs(spec.id));
    const record = { spec, submittedAt: world.clock.now as WallClockTime, state: 'accepted', startTerm: 1 } as const;
    const value = encodeJob({ ...record, startZone: null, startZones: null, done: new RangeSet() }, MAX_VALUE_BYTES);
    world.stateStore.overwrite(jobKey(spec.id), value);
  },
  /** corrupt-job JOB: the job record is replaced by one that this version can't read */
  'corrupt-job'(world, [id]) {
    corrupt(world, jobKey(id as JobId));
  },
  /** corrupt-page N: page N of the machine registry is replaced by one that this version can't read */
  'corrupt-page'(world, [index]) {
    corrupt(world, pageKey(Number(index)));
  },
  /**
   * restore-corrupted: restores the replaced values. It is an error if a controller has written one of these keys since
   */
  'restore-corrupted'(world) {
    for (const [key, value] of replacedValues.get(world) ?? []) {
      const isUntouched = JSON.stringify(world.stateStore.item(key)?.value) === JSON.stringify(FUTURE_VALUE);
      world.registryCheck.corruptedKeys.delete(key);
      if (isUntouched) world.stateStore.overwrite(key, value);
      else world.errors.push(`${key} was overwritten while its value was unreadable`);
    }
  },
};
