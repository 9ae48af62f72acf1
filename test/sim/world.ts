/** The simulated deployment in which scenarios and property tests run. */
import type { CommandPush } from '../../src/core/messages.js';
import type { Settings, Tuning } from '../../src/core/settings.js';
import type { ControllerName, JobId, MachineId, MachineType, ZoneName } from '../../src/core/types.js';
import { ServiceAvailability } from './availability.js';
import { type Build, CURRENT_BUILD, isCurrent } from './build.js';
import { Clock } from './clock.js';
import { SimulatedCloud } from './cloud.js';
import { CommandCounts } from './command_counts.js';
import { ControllerProcess } from './controller_process.js';
import {
  type DeploymentOptions,
  LIMITS,
  LIST_STALENESS_MS,
  type Limits,
  makeSettings,
  workerSettings,
} from './deployment.js';
import { GangIndex } from './gang_index.js';
import { IdleCapacityCheck } from './idle_capacity.js';
import { Invariants } from './invariants.js';
import { ResourceMeters } from './meters.js';
import { Network } from './network.js';
import { RegistryCheck } from './registry_check.js';
import { SimulatedStateStore } from './state_store.js';
import { TaskProgress } from './task_progress.js';
import { SimulatedUsers } from './users.js';
import { WireTrace } from './wire_trace.js';
import { SimulatedWorker } from './worker.js';

/** The composition of a world, and the seed of its random choices. */
export interface WorldOptions extends DeploymentOptions {
  readonly seed: number;
  /** The number of controllers; they are named perch-0, perch-1 and so on, in the order of `World.controllers`. */
  readonly controllers: number;
  readonly types: readonly MachineType[];
  /** The maximum number of machines that the cloud provides at one time. */
  readonly capacity: number;
  readonly tuning: Tuning;
  /**
   * The builds that the controllers run initially, assigned to them in turn. If undefined, all run the current build.
   * If defined, messages between peers are encoded to bytes and decoded again.
   */
  readonly builds?: readonly Build[];
  /** Earlier builds that controllers may be downgraded to, by name. */
  readonly oldVersions?: ReadonlyMap<string, Build>;
}

/** A simulated deployment: controllers, workers, users, state store and cloud on one clock and one network. */
export class World {
  readonly clock: Clock;
  readonly network: Network;
  readonly stateStore: SimulatedStateStore;
  readonly cloud: SimulatedCloud;
  readonly invariants: Invariants;
  readonly controllers: readonly ControllerProcess[];
  /** The live workers, by machine. */
  readonly workers = new Map<MachineId, SimulatedWorker>();
  /** Jobs whose tasks fail on every machine. */
  readonly faultyJobs = new Set<JobId>();
  /** Log events of level `error`, and other errors that fail the run. */
  readonly errors: string[] = [];
  /**
   * The evidence that the earlier attempt of a task from a previous term had ended, as logged when the task was last
   * started again. By task.
   */
  readonly restartEvidence = new Map<string, string>();
  readonly limits: Limits;
  readonly workerTiming: Settings['workers'];
  readonly meters: ResourceMeters;
  readonly users: SimulatedUsers;
  readonly gangs = new GangIndex();
  readonly progress = new TaskProgress();
  readonly registryCheck = new RegistryCheck(this);
  readonly availability = new ServiceAvailability(this);
  readonly commandCounts = new CommandCounts();
  /** The time until which each heartbeat that a worker sends is delivered a second time, with a delay. */
  duplicateHeartbeatsUntil = 0;
  /** The time until which pushed commands that a worker executes are delivered a second time, with a delay. */
  duplicatePushesUntil = 0;
  /** Called with pushed commands that a worker has executed. */
  onPushExecuted: (worker: SimulatedWorker, push: CommandPush) => void = () => {};
  /** Called with pushed commands that are held up on their way to a worker. */
  onPushHeld: (push: CommandPush) => void = () => {};
  /**
   * The number of transactions that the state store refused for their size. Only those of controllers of this version
   * count, because some earlier builds ignore announced limits.
   */
  oversizedTransactions = 0;
  /** The number of agent leases that expired on workers with tasks. */
  expiredLeases = 0;
  /** Whether messages between peers are encoded by the sender's codec and decoded by the receiver's. */
  readonly encodesPeerMessages: boolean;
  /** Whether log events are printed to standard error. */
  verbose = process.env.SIM_LOG === '1';
  /** Null if tracing is off. */
  readonly trace = WireTrace.fromEnvironment();

  constructor(readonly options: WorldOptions) {
    this.clock = new Clock(options.seed);
    this.encodesPeerMessages = options.builds !== undefined;
    this.network = new Network(this.clock);
    this.limits = options.limits ?? LIMITS;
    this.workerTiming = workerSettings(this.limits);
    this.meters = new ResourceMeters(this.clock, this.limits.cloudRequestsPerSecond);
    this.stateStore = new SimulatedStateStore(this.clock, this.limits);
    this.invariants = new Invariants(this.clock, options.teams, this.limits.cancellationTimeoutMs);
    this.users = new SimulatedUsers(this);
    this.stateStore.onChanged = (keys) => this.registryCheck.onChanged(keys);
    this.stateStore.onOversizedTransaction = (from) => {
      if (this.controllers.some((controller) => controller.name === from && isCurrent(controller.build)))
        this.oversizedTransactions += 1;
    };
    new IdleCapacityCheck(this);
    this.availability.start();
    this.controllers = this.makeControllers();
    this.cloud = this.makeCloud();
  }

  private makeControllers(): ControllerProcess[] {
    const { options } = this;
    const names = Array.from({ length: options.controllers }, (_, i) => `perch-${i}` as ControllerName);
    const builds = options.builds ?? [CURRENT_BUILD];
    return names.map((name, i) => {
      const settings = (build: Build): Settings => makeSettings(name, names, options, build);
      return new ControllerProcess(this, name, settings, builds[i % builds.length] as Build);
    });
  }

  private makeCloud(): SimulatedCloud {
    return new SimulatedCloud(this.clock, this.options.types, this.options.capacity, LIST_STALENESS_MS, {
      onBooted: (id, type, zone, spot) => this.addWorker(id, type, zone, spot),
      onTermination: (id) => {
        if ((this.workers.get(id)?.tasks.size ?? 0) > 0) this.meters.terminatedWhileBusy += 1;
      },
      onRemoved: (id) => {
        this.workers.get(id)?.terminate();
        this.workers.delete(id);
      },
    });
  }

  /** Starts each controller at a random time within 300 ms. */
  startControllers(): void {
    for (const controller of this.controllers)
      this.clock.schedule(this.clock.randomBetween(0, 300), () => controller.start());
  }

  /** Adds the worker of a machine that has booted. */
  addWorker(id: MachineId, type: MachineType, zone: ZoneName, spot: boolean): void {
    this.workers.set(id, new SimulatedWorker(this, id, type, zone, spot));
  }

  /** The controller that the leader key in the state store names; undefined if there is none. */
  leader(): ControllerProcess | undefined {
    const value = this.stateStore.item('leader')?.value as { node?: string } | undefined;
    return this.controllers.find((controller) => controller.name === value?.node);
  }
}
