import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CommandPush } from '../src/core/messages.js';
import type { Command, JobId, TeamName, ZoneName } from '../src/core/types.js';
import { CURRENT_BUILD } from './sim/build.js';
import { type JobOptions, makeJobSpec } from './sim/job_options.js';
import { C8 } from './sim/machine_types.js';
import { events } from './sim/scenario/events/index.js';
import type { SimulatedWorker } from './sim/worker.js';
import { World } from './sim/world.js';

/*
 * Guards against copies of pushed starts that were executed and answered, and reach the machine again for a minute, with
 * the same fencing token and agent epoch. After an acknowledgement the worker no longer knows the attempt, so only a
 * higher token or another epoch keeps it from running the attempt again.
 */

const SEEDS = 4;
const RUN_SECONDS = 150;
/** Copies of a push arrive at this interval, in milliseconds. */
const COPY_INTERVAL_MS = 400;
const COPY_SECONDS = 60;
const LEADER_EVENT_SECONDS = [18, 36];

/** What happens to the leader while copies arrive. `restart` is the time until its process is back, in seconds. */
const LEADER_FATES = {
  'the same leader': null,
  'a new leader': { controllers: 3, restart: '5' },
  'a leader that is back under its name': { controllers: 1, restart: '0.2' },
} as const;
type LeaderFate = keyof typeof LEADER_FATES;

/** How the started tasks end. */
const TASK_FATES = ['ended', 'moved', 'cancelled'] as const;
type TaskFate = (typeof TASK_FATES)[number];

interface CopyCounts {
  /** Copies that arrived when the worker did not know the attempt any more. */
  ofForgottenAttempts: number;
  pushedStarts: Command[];
}

const isStart = ({ op }: Command): boolean => op === 'start';

/** Delivers each executed push again and again. */
function copyPushes(world: World): CopyCounts {
  const { clock } = world;
  const counts: CopyCounts = { ofForgottenAttempts: 0, pushedStarts: [] };
  const copied = new WeakSet<CommandPush>();
  const deliverCopy = (worker: SimulatedWorker, push: CommandPush): void => {
    const isForgotten = push.commands.some((command) => isStart(command) && !worker.executor.knows(command));
    if (worker.isAlive && push.agentEpoch === worker.agentEpoch && isForgotten) counts.ofForgottenAttempts += 1;
    worker.receivePushedCommands(push, () => {});
  };
  world.onPushExecuted = (worker, push) => {
    if (copied.has(push)) return;
    copied.add(push);
    counts.pushedStarts.push(...push.commands.filter(isStart));
    for (let ms = COPY_INTERVAL_MS; ms <= COPY_SECONDS * 1000; ms += COPY_INTERVAL_MS) {
      clock.schedule(ms, () => deliverCopy(worker, push));
    }
  };
  return counts;
}

/** Work that goes on beside the tasks whose starts are copied. It holds the machines, so that their epochs go on. */
const OTHER_WORK: JobOptions = { tasks: '2', cpus: '3', runtime: '400' };

function makeWorld(seed: number, leaderFate: LeaderFate): World {
  const fate = LEADER_FATES[leaderFate];
  const zones = ['a'] as ZoneName[];
  const world = new World({
    seed,
    controllers: fate?.controllers ?? 3,
    zones,
    teams: [{ name: 'crew' as TeamName, guaranteed: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } }],
    types: [{ ...C8, zones }],
    capacity: 3,
    tuning: CURRENT_BUILD.tuning,
  });
  for (let i = 0; i < 2; i++) world.cloud.addMachine({ ...C8, zones }, zones[0] as ZoneName, false, 1);
  world.startControllers();
  submit(world, 2, 'job-1', 'array', OTHER_WORK);
  if (fate === null) return world;
  for (const at of LEADER_EVENT_SECONDS) {
    world.clock.schedule(at * 1000, () => events.crash?.(world, ['leader', fate.restart]));
  }
  return world;
}

function submit(world: World, atS: number, id: string, kind: 'array' | 'gang' | 'service', options: JobOptions): JobId {
  const spec = makeJobSpec(id, kind, options);
  const runtimeMs = Number(options.runtime) * 1000;
  world.clock.schedule(atS * 1000, () => world.users.submit(spec, runtimeMs));
  return spec.id;
}

/** Lets the job's tasks end some seconds after their starts. */
function scheduleFate(world: World, fate: TaskFate, job: JobId): void {
  const { clock, users } = world;
  if (fate === 'cancelled') clock.schedule(19_000, () => users.cancel(job));
  if (fate === 'moved') clock.schedule(19_000, () => events['interruption-notice']?.(world, ['busy', '40']));
}

function assertNoViolation({ invariants, errors, expiredLeases }: World, name: string): void {
  assert.deepEqual([...invariants.violations, ...errors], [], name);
  assert.equal(invariants.startsAfterCancellation, 0, name);
  assert.equal(expiredLeases, 0, name);
}

for (const leaderFate of Object.keys(LEADER_FATES) as LeaderFate[]) {
  for (const fate of TASK_FATES) {
    test(`copies of pushed starts of replicas that were ${fate} have no effect, under ${leaderFate}`, () => {
      let copiesOfForgottenAttempts = 0;
      for (let seed = 1; seed <= SEEDS; seed++) {
        const world = makeWorld(seed, leaderFate);
        const counts = copyPushes(world);
        const runtime = fate === 'ended' ? '6' : '100000';
        const options = { tasks: '3', cpus: '0.5', runtime, estimatedRuntime: '0', priorityLevel: '3' };
        const job = submit(world, 15, 'job-2', 'service', options);
        scheduleFate(world, fate, job);
        if (fate === 'ended') world.clock.schedule((RUN_SECONDS - 40) * 1000, () => world.users.cancel(job));
        world.clock.runUntil(RUN_SECONDS * 1000);
        assertNoViolation(world, `seed ${seed}`);
        assert.ok(counts.pushedStarts.length > 0, `seed ${seed}: no start was pushed`);
        copiesOfForgottenAttempts += counts.ofForgottenAttempts;
        if (fate === 'moved') assert.equal(world.availability.latestRunningShare(job), 1, `seed ${seed}`);
      }
      // Exits on a machine that is about to be reclaimed are not acknowledged, so its attempts are not forgotten.
      if (fate !== 'moved') assert.ok(copiesOfForgottenAttempts > 0, 'no copy arrived after an acknowledgement');
    });

    test(`starts of arrays and gangs that were ${fate} are never pushed, under ${leaderFate}`, () => {
      for (let seed = 1; seed <= SEEDS; seed++) {
        const world = makeWorld(seed, leaderFate);
        const counts = copyPushes(world);
        const runtime = fate === 'ended' ? '8' : '60';
        const array = submit(world, 15, 'job-2', 'array', {
          tasks: '4',
          cpus: '0.5',
          runtime,
          checkpointInterval: '4',
        });
        const gang = submit(world, 15, 'job-3', 'gang', { tasks: '2', cpus: '1', runtime, checkpointInterval: '4' });
        for (const job of [array, gang]) scheduleFate(world, fate, job);
        world.clock.runUntil(RUN_SECONDS * 1000);
        assertNoViolation(world, `seed ${seed}`);
        assert.deepEqual(counts.pushedStarts, [], `seed ${seed}`);
        assert.ok(world.invariants.hasStarted(array) && world.invariants.hasStarted(gang), `seed ${seed}`);
      }
    });
  }
}
