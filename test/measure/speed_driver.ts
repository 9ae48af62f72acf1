/** The driver with which the speed comparison (speed.ts) times this build. */
import { Controller } from '../../src/core/controller.js';
import type { MachineType, MachineTypeName, TeamName, ZoneName } from '../../src/core/types.js';
import { encodeFrame, FrameSplitter } from '../../src/io/peers/peer_codec.js';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';
import { decodeHeartbeat } from '../../src/io/workers/worker_codec.js';
import { CURRENT_BUILD } from '../sim/build.js';
import { LIMITS } from '../sim/deployment.js';
import { type JobOptions, makeJobSpec } from '../sim/job_options.js';
import { World } from '../sim/world.js';
import type { SpeedDriver, StepTimes, WorldPlan } from './speed.js';

/**
 * Called after each step with its duration in nanoseconds and whether it ran a planning round. Null while not timing.
 */
let onStep: ((ns: number, isRound: boolean) => void) | null = null;

function timeSteps(): void {
  const { step } = Controller.prototype;
  Controller.prototype.step = function (now, input) {
    if (onStep === null) return step.call(this, now, input);
    const before = process.hrtime.bigint();
    const outputs = step.call(this, now, input);
    const elapsedNs = Number(process.hrtime.bigint() - before);
    const isRound = outputs.some((output) => output.kind === 'log' && output.event === 'planning round finished');
    onStep(elapsedNs, isRound);
    return outputs;
  };
}

function heartbeatOperations(wireHeartbeat: unknown, tasks: number): Record<string, () => unknown> {
  const body = encodeCbor(wireHeartbeat);
  const fields = decodeCbor(body);
  const message = { kind: 'heartbeat', id: 7, heartbeat: decodeHeartbeat(fields) } as const;
  const frame = encodeFrame(message);
  return {
    [`heartbeat of ${tasks} tasks, fields to domain`]: () => decodeHeartbeat(fields),
    [`heartbeat of ${tasks} tasks, body to domain`]: () => decodeHeartbeat(decodeCbor(body)),
    [`heartbeat of ${tasks} tasks, peer frame to domain`]: () => new FrameSplitter().push(frame),
    [`heartbeat of ${tasks} tasks, domain to peer frame`]: () => encodeFrame(message),
  };
}

function machineTypeOf({ machineType, zones }: WorldPlan): MachineType {
  return {
    ...machineType,
    name: machineType.name as MachineTypeName,
    imageCacheGb: 50,
    imagePullGbPerSecond: 0.5,
    pricePerHour: 0.4,
    spotPricePerHour: 0.1,
    bootSeconds: 20,
    zones: zones as ZoneName[],
  };
}

function makeWorld(plan: WorldPlan): World {
  const { seed, controllers, machines, jobs } = plan;
  const zones = plan.zones as ZoneName[];
  const type = machineTypeOf(plan);
  const teams = [{ name: 'crew' as TeamName, guaranteed: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } }];
  const limits = { ...LIMITS, requestsPerSecond: 500, writesPerSecond: 50, cpuShare: 0.8 };
  const { tuning } = CURRENT_BUILD;
  const world = new World({ seed, controllers, zones, teams, types: [type], capacity: machines, tuning, limits });
  for (let i = 0; i < machines; i++) world.cloud.addMachine(type, zones[i % zones.length] as ZoneName, false, 1);
  world.startControllers();
  for (const { id, kind, tasks, cpus, runSeconds, priority, atMs } of jobs) {
    const options: JobOptions = {
      tasks: String(tasks),
      cpus: String(cpus),
      estimatedRuntime: String(runSeconds),
      priorityLevel: String(priority),
    };
    world.clock.schedule(atMs, () => world.users.submit(makeJobSpec(id, kind, options), runSeconds * 1000));
  }
  return world;
}

function playWorld(plan: WorldPlan): StepTimes {
  const world = makeWorld(plan);
  const steps: number[] = [];
  const rounds: number[] = [];
  onStep = (ns, isRound) => {
    steps.push(ns);
    if (isRound) rounds.push(ns);
  };
  world.clock.runUntil(plan.seconds * 1000);
  onStep = null;
  if (world.invariants.violations.length > 0) throw new Error(world.invariants.violations.join());
  return { steps, rounds };
}

timeSteps();

export const driver: SpeedDriver = { heartbeatOperations, playWorld };
