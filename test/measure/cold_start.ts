/**
 * Measures a cold start in simulated worlds. All controllers crash at the same time and restart after 5 s. In half of
 * the worlds, 1 % of the machines disappear at the crash. Each world runs with the same seed on the production version
 * and on the current version, with recovery off and on.
 *   node target/check/test/measure/cold_start.js [--failures] [WORKERS ...]
 * With --failures all tasks on 1 % of the machines fail while no controller is running, and the time until they run
 * again is measured.
 */
import { type Histogram, build as makeHistogram } from 'hdr-histogram-js';
import type { JobId, MachineId, TeamName, ZoneName } from '../../src/core/types.js';
import { type Build, CURRENT_BUILD, FEATURES_OFF } from '../sim/build.js';
import { ControllerProcess } from '../sim/controller_process.js';
import { LIMITS } from '../sim/deployment.js';
import { type JobOptions, makeJobSpec } from '../sim/job_options.js';
import { C8 } from '../sim/machine_types.js';
import { loadOldVersions } from '../sim/old_versions.js';
import { crashControllers } from '../sim/scenario/events/controllers.js';
import { World } from '../sim/world.js';

const CRASH_SECONDS = 40;
const RESTART_SECONDS = 5;
const END_SECONDS = 100;
/** The run time of tasks differs between jobs, so that tasks finish throughout the measurement. */
const SHORTEST_RUN_SECONDS = 25;
const RUN_STEP_SECONDS = 5;
const RUN_LENGTHS = 10;
/** Each task uses one core. */
const TASKS_PER_MACHINE = C8.cpus;
const VANISHING_SHARE = 0.01;
const FAILING_SHARE = 0.01;
/** Time from the crash to the failure of tasks, in milliseconds. */
const FAILURE_DELAY_MS = 2000;
const SAMPLE_INTERVAL_MS = 20;
const ZONES = ['a', 'b', 'c'] as ZoneName[];
const TYPES = [{ ...C8, zones: ZONES }];
const TEAMS = [{ name: 'crew' as TeamName, guaranteed: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } }];

/** Total processor time of the controllers' steps, in microseconds. */
let stepMicroseconds = 0;

function instrumentSteps(): void {
  const { step } = ControllerProcess.prototype;
  ControllerProcess.prototype.step = function (input) {
    const before = process.cpuUsage();
    step.call(this, input);
    const { user, system } = process.cpuUsage(before);
    stepMicroseconds += user + system;
  };
}

function makeWorld(workers: number, build: Build, oldVersions: ReadonlyMap<string, Build>): World {
  const limits = {
    ...LIMITS,
    requestsPerSecond: 500,
    writesPerSecond: 50,
    cloudRequestsPerSecond: 8,
    heartbeatIntervalMs: 2500,
    leaseMs: 15_250,
    cancellationTimeoutMs: 40_250,
  };
  const { tuning } = CURRENT_BUILD;
  const sizes = { seed: 7, controllers: 5, capacity: workers, zones: ZONES, teams: TEAMS, types: TYPES };
  const world = new World({ ...sizes, tuning, limits, builds: [build], oldVersions });
  for (let i = 0; i < workers; i++) {
    world.cloud.addMachine(TYPES[0] as (typeof TYPES)[0], ZONES[i % ZONES.length] as ZoneName, false, 1);
  }
  return world;
}

/** Submits arrays that need twice the capacity of all machines. Every second array must run in a single zone. */
function submitWork(world: World, workers: number): void {
  const jobs = Math.max(4, Math.ceil(workers / 20));
  const tasks = Math.ceil((workers * TASKS_PER_MACHINE * 2) / jobs);
  for (let i = 0; i < jobs; i++) {
    const runS = SHORTEST_RUN_SECONDS + RUN_STEP_SECONDS * (i % RUN_LENGTHS);
    const options: JobOptions = { tasks: String(tasks), estimatedRuntime: String(runS) };
    if (i % 2 === 0) options.singleZone = 'yes';
    world.clock.schedule(2000 + i * 5, () =>
      world.users.submit(makeJobSpec(`job-${100 + i}`, 'array', options), runS * 1000),
    );
  }
}

interface Measurement {
  readonly renewalTimes: Histogram;
  /** Seconds from the election to the first start of a task of a job that had already started before the crash. */
  firstStartSeconds: number;
  /** Seconds from the election until a task that failed while no controller was running is on a machine again. */
  readonly restartSeconds: number[];
}

/** A task that failed while no controller was running. */
interface FailedTask {
  readonly job: JobId;
  readonly index: number;
}

/** Makes all tasks on these machines fail after `FAILURE_DELAY_MS`. Returns a list that is filled at that time. */
function failTasksLater(world: World, machines: readonly MachineId[]): readonly FailedTask[] {
  const failed: FailedTask[] = [];
  world.clock.schedule(FAILURE_DELAY_MS, () => {
    for (const id of machines) {
      const worker = world.workers.get(id);
      for (const task of [...(worker?.tasks.values() ?? [])]) {
        if (task.phase === 'exited') continue;
        failed.push({ job: task.job, index: task.index });
        worker?.executor.exit(task, 'error');
      }
    }
  });
  return failed;
}

/** Watches failed tasks until they are on a machine again. */
class RestartWatch {
  private readonly restarted = new Set<FailedTask>();

  constructor(
    private readonly world: World,
    private readonly failed: readonly FailedTask[],
  ) {}

  /** Returns the tasks that have come onto a machine again since the previous call. */
  takeRestarted(): FailedTask[] {
    const { tasksOnMachines } = this.world.invariants;
    const isOnMachine = ({ job, index }: FailedTask): boolean => tasksOnMachines.get(job)?.has(index) ?? false;
    const found = this.failed.filter((task) => !this.restarted.has(task) && isOnMachine(task));
    for (const task of found) this.restarted.add(task);
    return found;
  }
}

/** Measures when each worker gets its first response from the new leader, and when tasks are started again. */
function watchRecovery(world: World, vanished: ReadonlySet<MachineId>, failed: readonly FailedTask[]): Measurement {
  const renewalTimes = makeHistogram({ highestTrackableValue: 120_000, numberOfSignificantValueDigits: 3 });
  const measured: Measurement = { renewalTimes, firstStartSeconds: Number.NaN, restartSeconds: [] };
  const restarts = new RestartWatch(world, failed);
  const startsBefore = new Map(world.invariants.startsByJob);
  const before = world.stateStore.item('leader')?.version;
  const waiting = new Set([...world.workers.keys()].filter((id) => !vanished.has(id)));
  let electedAt: number | null = null;
  const sample = (): void => {
    if (world.clock.now < END_SECONDS * 1000) world.clock.schedule(SAMPLE_INTERVAL_MS, sample);
    const leader = world.stateStore.item('leader');
    if (!leader || leader.version === before) return;
    electedAt ??= world.clock.now;
    const sinceMs = world.clock.now - electedAt;
    for (const id of waiting) {
      if ((world.workers.get(id)?.highestFencingToken ?? 0n) !== (leader.version as bigint)) continue;
      renewalTimes.recordValue(sinceMs);
      waiting.delete(id);
    }
    measured.restartSeconds.push(...restarts.takeRestarted().map(() => sinceMs / 1000));
    if (Number.isNaN(measured.firstStartSeconds) && hasStartedMore(world, startsBefore))
      measured.firstStartSeconds = sinceMs / 1000;
  };
  sample();
  return measured;
}

function hasStartedMore(world: World, startsBefore: ReadonlyMap<JobId, number>): boolean {
  for (const [id, starts] of startsBefore) if ((world.invariants.startsByJob.get(id) ?? 0) > starts) return true;
  return false;
}

function restartCount(world: World): number {
  let total = 0;
  for (const [id, starts] of world.invariants.startsByJob) {
    total += Math.max(0, starts - (world.invariants.submitted.get(id)?.taskCount ?? 0));
  }
  return total;
}

/** Returns the median and the maximum as text, with the number of times out of `all`. */
function describeTimes(seconds: readonly number[], all: number): string {
  if (all === 0) return '-';
  const sorted = [...seconds].sort((first, second) => first - second);
  const median = sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
  const largest = sorted.at(-1) ?? Number.NaN;
  return `${median.toFixed(2)}/${largest.toFixed(2)} (${sorted.length} of ${all})`;
}

/** Conditions of one measured world. */
interface MeasuredCase {
  readonly workers: number;
  readonly build: Build;
  readonly vanish: boolean;
  readonly failures: boolean;
}

function measure({ workers, build, vanish, failures }: MeasuredCase, oldVersions: ReadonlyMap<string, Build>): string {
  const world = makeWorld(workers, build, oldVersions);
  submitWork(world, workers);
  world.startControllers();
  world.clock.runUntil(CRASH_SECONDS * 1000 - 1);
  const leasesBefore = world.expiredLeases;
  const ids = [...world.workers.keys()];
  const vanishing = Math.ceil(workers * VANISHING_SHARE);
  const failing = failures ? Math.ceil(workers * FAILING_SHARE) : 0;
  const vanished = new Set(ids.slice(0, vanish ? vanishing : 0));
  crashControllers(world, 'all', String(RESTART_SECONDS));
  for (const id of vanished) world.cloud.interrupt(id);
  world.commandCounts.reset();
  const failed = failTasksLater(world, ids.slice(vanishing, vanishing + failing));
  const measured = watchRecovery(world, vanished, failed);
  stepMicroseconds = 0;
  world.clock.runUntil(END_SECONDS * 1000);
  const { renewalTimes, firstStartSeconds, restartSeconds } = measured;
  const commands = (['start', 'stop', 'acknowledge', 'inquiry'] as const)
    .map((kind) => world.commandCounts.count(kind))
    .join('/');
  const restarted = Math.max(0, restartCount(world));
  const times = [renewalTimes.getValueAtPercentile(50), renewalTimes.getValueAtPercentile(99), renewalTimes.maxValue];
  const renewalSeconds = times.map((ms) => (ms / 1000).toFixed(2)).join('/');
  const summary = world.leader()?.recoverySummary();
  const certainS = summary?.finishedAt ? ((summary.finishedAt - summary.startedAt) / 1000).toFixed(2) : '-';
  const cells = [
    workers,
    vanish ? '1 %' : 'none',
    build.name,
    commands,
    restarted,
    renewalSeconds,
    firstStartSeconds.toFixed(2),
    certainS,
    describeTimes(restartSeconds, failed.length),
  ];
  const losses = `${world.expiredLeases - leasesBefore}/${world.invariants.violations.length}`;
  return `| ${[...cells, losses, (stepMicroseconds / 1e6).toFixed(2)].join(' | ')} |`;
}

const args = process.argv.slice(2);
const failures = args.includes('--failures');
const sizes = args.filter((word) => word !== '--failures').map(Number);
const oldVersions = await loadOldVersions();
const production = oldVersions.get('production');
if (!production) throw new Error('the production version is not built: run tools/old_versions.sh');
instrumentSteps();
console.log(
  '| workers | vanished | build | start/stop/acknowledge/inquiry | restarts | renewal p50/p99/max s | first start s |',
);
console.log(
  '  recovery finished s | failed tasks restarted p50/max s | expired leases/violations | steps, s of processor time |',
);
for (const workers of sizes.length > 0 ? sizes : [30, 600, 4000]) {
  for (const vanish of [false, true]) {
    for (const build of [production, FEATURES_OFF, CURRENT_BUILD])
      console.log(measure({ workers, build, vanish, failures }, oldVersions));
  }
}
