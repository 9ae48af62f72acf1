import type { UserRequest, UserResponse } from '../../src/core/messages.js';
import * as records from '../../src/core/records.js';
import type { Settings, Tuning } from '../../src/core/settings.js';
import type {
  Attempt,
  ControllerName,
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  TeamQuota,
  ZoneName,
} from '../../src/core/types.js';
import { ServiceAvailability } from './availability.js';
import { type Build, CURRENT_BUILD, isCurrent } from './build.js';
import { Clock } from './clock.js';
import { SimulatedCloud } from './cloud.js';
import { CommandCounts } from './command_counts.js';
import { ControllerProcess } from './controller_process.js';
import { IdleCapacityCheck } from './idle_capacity.js';
import { Invariants } from './invariants.js';
import { ResourceMeters } from './meters.js';
import { Network } from './network.js';
import { SimulatedStateStore } from './state_store.js';
import { WireTrace } from './wire_trace.js';
import { type SimulatedTask, SimulatedWorker } from './worker.js';

/** What a deployment allows and asks, as its settings say it. */
export interface Limits {
  readonly rps: number;
  readonly writeRps: number;
  /** Announced for later; 0: no other. */
  readonly nextRps: number;
  readonly nextWriteRps: number;
  readonly nextValueBytes: number;
  readonly nextTxnOps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
  readonly cloudRps: number;
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly cancelMs: number;
  readonly cpuShare: number;
}

export const LIMITS: Limits = {
  rps: 200,
  writeRps: 20,
  nextRps: 0,
  nextWriteRps: 0,
  nextValueBytes: 0,
  nextTxnOps: 0,
  valueBytes: 8192,
  txnOps: 8,
  cloudRps: 5,
  reportMs: 2000,
  leaseMs: 14_000,
  cancelMs: 39_000,
  cpuShare: 0.3,
};

interface GangMember {
  readonly worker: SimulatedWorker;
  readonly task: SimulatedTask;
}

export interface WorldOptions {
  readonly seed: number;
  readonly controllers: number;
  readonly zones: readonly ZoneName[];
  readonly teams: readonly TeamQuota[];
  readonly types: readonly MachineType[];
  readonly capacity: number;
  readonly tuning: Tuning;
  readonly limits?: Limits;
  /** What the nodes run at first, where it isn't the present build: one for each, in turn. Peers then speak over bytes. */
  readonly builds?: readonly Build[];
  /** Earlier builds that nodes may be put back to. */
  readonly oldVersions?: ReadonlyMap<string, Build>;
}

const USER_TIMEOUT_MS = 5000;
/** Looks of each user at each node, and within which time. */
const POLLS_PER_BURST = 4;
const POLL_BURST_MS = 60;
/** Within this time a leader hears that a job's last task has ended. */
const COMPLETION_NOTICED_MS = 2500;

interface UserJob {
  readonly spec: JobSpec;
  readonly runMs: number;
  isSettled: boolean;
}

export class World {
  readonly clock: Clock;
  readonly network: Network;
  readonly stateStore: SimulatedStateStore;
  readonly cloud: SimulatedCloud;
  readonly invariants: Invariants;
  readonly controllers: ControllerProcess[] = [];
  readonly workers = new Map<MachineId, SimulatedWorker>();
  readonly faultyJobs = new Set<JobId>();
  readonly errors: string[] = [];
  readonly limits: Limits;
  readonly workerTiming: { leaseMs: number; heartbeatMs: number; gangWaitMs: number; gangPeerMs: number };
  readonly meters: ResourceMeters;
  readonly commandCounts = new CommandCounts();
  /** Keys whose values were made unreadable on purpose. */
  readonly corruptedKeys = new Set<string>();
  private readonly registeredMachines = new Set<string>();
  /** Until then every report is delivered once more, late. */
  duplicateHeartbeatsUntil = 0;
  /** Transactions of the present build that were refused for their size: earlier builds don't know of announced limits. */
  oversizedTransactions = 0;
  /** Until then users look closely at whatever happens to a job. */
  pollBurstsUntil = 0;
  /** Leases that ran out on workers with tasks. */
  expiredLeases = 0;
  /** Peers' messages go through the codecs of both ends. */
  readonly encodesPeerMessages: boolean;
  readonly availability = new ServiceAvailability(this);
  verbose = process.env.SIM_LOG === '1';
  /** Null: nothing is traced. */
  readonly trace = WireTrace.fromEnvironment();
  private readonly jobs = new Map<JobId, UserJob>();
  /** Of the jobs that end before then this share is called off just then. */
  cancelAtEnd = { share: 0, until: 0 };
  private readonly injectedRunMs = new Map<JobId, number>();
  private readonly checkpoints = new Map<string, number>();
  private readonly gangIndex = new Map<string, GangMember[]>();

  constructor(readonly options: WorldOptions) {
    this.clock = new Clock(options.seed);
    this.encodesPeerMessages = options.builds !== undefined;
    this.network = new Network(this.clock);
    this.limits = options.limits ?? LIMITS;
    this.workerTiming = {
      leaseMs: this.limits.leaseMs,
      heartbeatMs: this.limits.reportMs,
      gangWaitMs: 40_000,
      gangPeerMs: 5000,
    };
    this.meters = new ResourceMeters(this.clock);
    this.stateStore = new SimulatedStateStore(this.clock, this.limits);
    this.invariants = new Invariants(this.clock, options.teams, this.limits.cancelMs);
    this.invariants.onStatusChange = (job) => this.sendPollBurst(job);
    this.invariants.onCompleted = (job) => {
      if (this.clock.now < this.pollBurstsUntil) {
        this.clock.schedule(this.clock.randomBetween(0, COMPLETION_NOTICED_MS), () => this.sendPollBurst(job));
      }
      if (this.clock.now >= this.cancelAtEnd.until || this.clock.randomBetween(0, 1) >= this.cancelAtEnd.share) return;
      // The leader hears of the end, writes it, and others read it: each of these moments is met.
      const after = this.clock.randomBetween(0, 1) < 0.5 ? 0 : this.clock.randomBetween(0, 2500);
      this.clock.schedule(after, () => this.cancel(job));
    };
    this.stateStore.onChanged = (keys) => {
      if (keys.some((key) => key.startsWith(records.MACHINE_PREFIX))) this.checkRegistry();
    };
    this.stateStore.onOversizedTransaction = (from) => {
      if (this.controllers.some((node) => node.name === from && isCurrent(node.build))) this.oversizedTransactions += 1;
    };
    new IdleCapacityCheck(this);
    this.availability.start();
    const names = Array.from({ length: options.controllers }, (_, i) => `perch-${i}` as ControllerName);
    const builds = options.builds ?? [CURRENT_BUILD];
    names.forEach((name, i) => {
      const build = builds[i % builds.length] as Build;
      this.controllers.push(
        new ControllerProcess(this, name, (build) => makeSettings(name, names, options, build), build),
      );
    });
    this.cloud = new SimulatedCloud(this.clock, options.types, options.capacity, 3000, {
      onBooted: (id, type, zone, spot) => this.addWorker(id, type, zone, spot),
      onTermination: (id) => {
        if ((this.workers.get(id)?.tasks.size ?? 0) > 0) this.meters.terminatedWhileBusy += 1;
      },
      onGone: (id) => {
        this.workers.get(id)?.terminate();
        this.workers.delete(id);
      },
    });
  }

  startControllers(): void {
    for (const node of this.controllers) this.clock.schedule(this.clock.randomBetween(0, 300), () => node.start());
  }

  addWorker(id: MachineId, type: MachineType, zone: ZoneName, spot: boolean): void {
    this.workers.set(id, new SimulatedWorker(this, id, type, zone, spot));
  }

  /** A machine once on record stays there for as long as it is rented, whatever is rewritten on the way. */
  private checkRegistry(): void {
    const now = new Set<string>();
    for (const key of this.stateStore.keys(records.MACHINE_PREFIX)) {
      // What a page holds that was made unreadable on purpose isn't known here either.
      if (this.corruptedKeys.has(key)) return;
      for (const machine of records.decodePage(this.stateStore.item(key)?.value)?.machines ?? []) now.add(machine.id);
    }
    for (const id of this.registeredMachines) {
      if (!now.has(id) && this.cloud.machines.has(id as MachineId)) this.invariants.onUnregistered(id);
      if (!now.has(id)) this.registeredMachines.delete(id);
    }
    for (const id of now) this.registeredMachines.add(id);
  }

  /** The leader as the store knows it. */
  leader(): ControllerProcess | undefined {
    const value = this.stateStore.item('leader')?.value as { node?: string } | undefined;
    return this.controllers.find((node) => node.name === value?.node);
  }

  // ---- what workers ask of the world

  /** Where the tasks of one attempt of a job are. */
  gangMembers(job: JobId, attempt: Attempt): GangMember[] {
    return this.gangIndex.get(`${job}#${attempt}`) ?? [];
  }

  addGangMember(worker: SimulatedWorker, task: SimulatedTask): void {
    const key = `${task.job}#${task.attempt}`;
    this.gangIndex.set(key, [...(this.gangIndex.get(key) ?? []), { worker, task }]);
  }

  removeGangMember(worker: SimulatedWorker, task: SimulatedTask): void {
    const key = `${task.job}#${task.attempt}`;
    const left = this.gangMembers(task.job, task.attempt).filter(
      (member) => member.worker !== worker || member.task !== task,
    );
    if (left.length > 0) this.gangIndex.set(key, left);
    else this.gangIndex.delete(key);
  }

  runMs(job: JobId): number {
    return this.jobs.get(job)?.runMs ?? this.injectedRunMs.get(job) ?? 10_000;
  }

  /** For jobs that nobody submitted. */
  setRunMs(job: JobId, ms: number): void {
    this.injectedRunMs.set(job, ms);
  }

  checkpointedMs(job: JobId, index: number): number {
    return this.checkpoints.get(`${job}/${index}`) ?? 0;
  }

  saveCheckpoint(job: JobId, index: number, ms: number): void {
    const key = `${job}/${index}`;
    this.checkpoints.set(key, Math.max(ms, this.checkpoints.get(key) ?? 0));
  }

  // ---- users

  private sendUserRequest(
    request: UserRequest,
    done: (answer: UserResponse | null, asked?: Build, givenAt?: number, leftAt?: number) => void,
  ): void {
    // As the load balancer sees it: healthy nodes, else any that is up.
    const up = this.controllers.filter((node) => node.isRunning);
    const healthy = up.filter((node) => node.isHealthy);
    const node =
      healthy.length > 0
        ? this.clock.pickRandom(healthy)
        : up.length > 0
          ? this.clock.pickRandom(up)
          : this.controllers[0];
    if (!node) {
      done(null);
      return;
    }
    const { build } = node;
    this.sendUserRequestTo(node, request, (answer, givenAt, leftAt) => done(answer, build, givenAt, leftAt));
  }

  private sendUserRequestTo(
    node: ControllerProcess,
    request: UserRequest,
    done: (answer: UserResponse | null, givenAt: number, leftAt: number) => void,
  ): void {
    let givenAt = this.clock.now;
    const serve = (reply: (answer: UserResponse) => void): void =>
      node.receiveUserRequest(request, (answer) => {
        givenAt = this.clock.now;
        reply(answer);
      });
    // With one question at a time an answer that arrives is the newest; only close looks overtake each other.
    const closeLooks = this.pollBurstsUntil > 0;
    this.network.request<UserResponse>('users', node.name, USER_TIMEOUT_MS, serve, (answer) =>
      done(answer, closeLooks ? givenAt : this.clock.now, givenAt),
    );
  }

  /** Users ask all nodes, again and again within milliseconds, and repeat the submission. */
  private sendPollBurst(id: JobId): void {
    const spec = this.invariants.submitted.get(id);
    if (this.clock.now >= this.pollBurstsUntil || !spec) return;
    for (const node of this.controllers) {
      for (let look = 0; look < POLLS_PER_BURST; look++) {
        const request: UserRequest = look === 0 ? { op: 'submit', id, spec, problem: '' } : { op: 'query', id };
        this.clock.schedule(this.clock.randomBetween(0, POLL_BURST_MS), () =>
          this.sendUserRequestTo(node, request, (answer, givenAt) => {
            if (answer) this.invariants.onResponse(id, answer, givenAt);
          }),
        );
      }
    }
  }

  submit(spec: JobSpec, runMs: number): void {
    this.invariants.onSubmitted(spec);
    this.jobs.set(spec.id, { spec, runMs, isSettled: false });
    this.retrySubmission(spec, this.clock.now + 60_000);
  }

  private retrySubmission(spec: JobSpec, until: number): void {
    this.sendUserRequest({ op: 'submit', id: spec.id, spec, problem: '' }, (answer, _, givenAt) => {
      if (answer) this.invariants.onResponse(spec.id, answer, givenAt);
      if (answer && 'jobStatus' in answer) return this.poll(spec.id);
      if ((answer === null || answer.status === 503) && this.clock.now < until) {
        this.clock.schedule(1000, () => this.retrySubmission(spec, until));
      }
    });
  }

  /** A user asks for the job from now on, whoever submitted it. */
  follow(spec: JobSpec, runMs: number): void {
    this.invariants.onSubmitted(spec);
    this.jobs.set(spec.id, { spec, runMs, isSettled: false });
    this.poll(spec.id);
  }

  private poll(id: JobId): void {
    this.clock.schedule(this.clock.randomBetween(4000, 6000), () => {
      this.sendUserRequest({ op: 'query', id }, (answer, _, givenAt) => {
        if (answer) this.invariants.onResponse(id, answer, givenAt);
        if (!answer || !('jobStatus' in answer)) this.invariants.onNoResponse(id);
        const job = this.jobs.get(id);
        if (job && this.invariants.finalStateOf(id)) job.isSettled = true;
        // Users may ask again at any later time: every final state is asked for twice more.
        if (job?.isSettled)
          this.clock.schedule(10_000, () =>
            this.sendUserRequest(
              { op: 'query', id },
              (later, __, laterGivenAt) => later && this.invariants.onResponse(id, later, laterGivenAt),
            ),
          );
        else this.poll(id);
      });
    });
  }

  cancel(id: JobId): void {
    this.invariants.cancellationRequested.add(id);
    const again = (until: number): void => {
      this.sendUserRequest({ op: 'cancel', id }, (answer, _, givenAt, leftAt) => {
        // A user who calls off what has yet to be accepted may be told 404 just before the submission gets through.
        const isEarlier404 = answer?.status === 404 && this.invariants.wasAcceptedAfter(id, leftAt ?? this.clock.now);
        if (answer && !isEarlier404) this.invariants.onResponse(id, answer, givenAt);
        if ((answer === null || answer.status === 503) && this.clock.now < until)
          this.clock.schedule(1000, () => again(until));
      });
    };
    again(this.clock.now + 60_000);
  }

  /** Any node may be asked; what it says is judged by the rules, unless `excused` says that its build knows no better. */
  request(request: UserRequest, excused: (asked: Build) => boolean = () => false): void {
    this.sendUserRequest(request, (answer, asked) => {
      if (answer && asked && !excused(asked)) this.invariants.onResponse(request.id, answer);
    });
  }

  pollUntracked(id: JobId, seen: (answer: UserResponse | null) => void): void {
    this.sendUserRequest({ op: 'query', id }, (answer) => {
      if (answer) this.invariants.onResponse(id, answer);
      seen(answer);
    });
  }
}

export function makeSettings(
  name: ControllerName,
  names: readonly ControllerName[],
  options: WorldOptions,
  build: Build,
): Settings {
  const zone = options.zones[0] as ZoneName;
  const limits = options.limits ?? LIMITS;
  const {
    rps: requestsPerSecond,
    writeRps: writesPerSecond,
    nextRps,
    nextWriteRps,
    nextValueBytes,
    nextTxnOps,
    valueBytes,
    txnOps,
    cloudRps,
  } = limits;
  const { reportMs: heartbeatIntervalMs, leaseMs, cancelMs: cancellationTimeoutMs, cpuShare } = limits;
  return {
    controller: name,
    zone,
    peers: names.filter((peer) => peer !== name).map((peer) => ({ name: peer, zone })),
    controllerCount: names.length,
    zones: options.zones,
    clockSkewMs: 25,
    teamQuotas: options.teams,
    objectives: [],
    workers: {
      heartbeatIntervalMs,
      leaseMs,
      gangBarrierTimeoutMs: 40_000,
      gangPeerTimeoutMs: 5000,
      cancellationTimeoutMs,
    },
    stateStore: {
      requestsPerSecond,
      writesPerSecond,
      announcedRequestsPerSecond: nextRps || requestsPerSecond,
      announcedWritesPerSecond: nextWriteRps || writesPerSecond,
      // Builds before it know nothing of limits announced for later.
      maxValueBytes: build.readsAnnouncedLimits ? Math.min(valueBytes, nextValueBytes || valueBytes) : valueBytes,
      maxChangesPerTransaction: build.readsAnnouncedLimits ? Math.min(txnOps, nextTxnOps || txnOps) : txnOps,
    },
    cloud: { requestsPerSecond: cloudRps, listStalenessMs: 3000 },
    limits: { cpuShare, maxConnections: 2000 },
  };
}
