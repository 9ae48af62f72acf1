import type { JobStatus, UserResponse } from '../../src/core/messages.js';
import type { JobId, JobSpec, MachineId, MachineType, TeamQuota, ZoneName } from '../../src/core/types.js';
import type { Clock } from './clock.js';

interface TaskPlace {
  readonly machine: MachineId;
  readonly zone: ZoneName;
}

const LONGEST_UNANSWERED_MS = 75_000;

const isFinal = (status: JobStatus): boolean => status === 'done' || status === 'cancelled';

/** Watches everything that happens, and records each violation of what must always hold. */
export class Invariants {
  /** What did not hold, each with its time and its rule. */
  readonly violations: string[] = [];
  /** What users submitted. */
  readonly submitted = new Map<JobId, JobSpec>();
  /** Tasks on machines: by job, then task number. */
  readonly tasksOnMachines = new Map<JobId, Map<number, TaskPlace[]>>();
  /** Numbers of the tasks that were completed, by job. */
  readonly completedTasks = new Map<JobId, Set<number>>();
  private readonly accepted = new Set<JobId>();
  private readonly acceptanceToldAt = new Map<JobId, number>();
  private readonly finalStates = new Map<JobId, 'done' | 'cancelled'>();
  /** Jobs whose users asked for their cancellation. */
  readonly cancellationRequested = new Set<JobId>();
  private readonly cancellationToldAt = new Map<JobId, number>();
  private readonly lastTaskLeftAt = new Map<JobId, number>();
  /** Tasks that began to run. */
  starts = 0;
  /** Starts after the user was told that the job is cancelled: allowed only for what was on its way. */
  startsAfterCancellation = 0;
  /** Submissions that can never run or lack a field. */
  readonly infeasibleJobs = new Set<JobId>();
  /** Called when the last task of a job is completed. */
  onCompleted: (job: JobId) => void = () => {};
  /** Called when a user is told for the first time that a job is accepted, done or cancelled. */
  onStatusChange: (job: JobId) => void = () => {};
  private readonly finalStateToldAt = new Map<JobId, number>();
  /** Jobs whose users were answered that they can never run. */
  readonly refusedJobs = new Set<JobId>();
  /** When a task of the job was last started. */
  readonly lastStartAt = new Map<JobId, number>();
  /** How many tasks of the job began to run. */
  readonly startsByJob = new Map<JobId, number>();
  /** Machines on which some task began to run. */
  readonly usedMachines = new Set<string>();
  private readonly submittedAt = new Map<JobId, number>();
  private readonly firstStartAt = new Map<JobId, number>();
  private readonly completionToldAt = new Map<JobId, number>();
  private readonly answeredAt = new Map<JobId, number>();
  /** When the last known fault is over. */
  faultsUntil = 0;

  constructor(
    private readonly clock: Clock,
    private readonly teams: readonly TeamQuota[],
    private readonly cancelMs: number,
  ) {}

  /** Jobs of which a worker has tasks though nobody submitted them. */
  readonly injectedJobs = new Map<JobId, JobSpec>();

  /** What workers know of a job. */
  specOf(job: JobId): JobSpec | undefined {
    return this.submitted.get(job) ?? this.injectedJobs.get(job);
  }

  /** A user submits a job. */
  onSubmitted(spec: JobSpec): void {
    this.submitted.set(spec.id, spec);
    this.submittedAt.set(spec.id, this.clock.now);
  }

  /** Whether the user was first told that the job is accepted after that time, or never. */
  wasAcceptedAfter(job: JobId, time: number): boolean {
    return (this.acceptanceToldAt.get(job) ?? Number.POSITIVE_INFINITY) > time;
  }

  /** How long a job waited until its first task began; until now if none has. */
  waitMs(job: JobId): number {
    return (this.firstStartAt.get(job) ?? this.clock.now) - (this.submittedAt.get(job) ?? this.clock.now);
  }

  /** How long a job took until its user was told that it is done; until now if it wasn't. */
  turnaroundMs(job: JobId): number {
    return (this.completionToldAt.get(job) ?? this.clock.now) - (this.submittedAt.get(job) ?? this.clock.now);
  }

  /** Whether any task of the job began to run. */
  hasStarted(job: JobId): boolean {
    return this.firstStartAt.has(job);
  }

  /** A request about a job got no response: after all faults, 75 s of that is a job forgotten, however others fare. */
  onNoResponse(job: JobId): void {
    if (!this.accepted.has(job)) return;
    const since = Math.max(this.answeredAt.get(job) ?? 0, this.faultsUntil);
    if (this.clock.now - since > LONGEST_UNANSWERED_MS) this.report('forgotten', `${job}: no answer for 75 s`);
  }

  /** How long a job waited for its first start from its submission or a later time on; until now if there was none. */
  waitMsSince(job: JobId, since: number): number {
    const from = Math.max(this.submittedAt.get(job) ?? 0, since);
    return (this.firstStartAt.get(job) ?? this.clock.now) - from;
  }

  /** The accepted jobs that nobody cancelled. */
  wantedJobs(): JobSpec[] {
    return [...this.submitted.values()].filter(
      (spec) => this.accepted.has(spec.id) && !this.cancellationRequested.has(spec.id),
    );
  }

  /** A machine is no longer on record, though it is provisioned. */
  onUnregistered(machine: string): void {
    this.report('unregistered', `${machine} is rented and no longer on record`);
  }

  /** A job has waited beside free capacity for it, long after all faults. */
  onIdleCapacity(job: JobId, machine: MachineId): void {
    this.report('idle_room', `${job} waits while ${machine} has room`);
  }

  private report(rule: string, what: string): void {
    this.violations.push(`${(this.clock.now / 1000).toFixed(2)} ${rule}: ${what}`);
  }

  /** A task begins to run on a machine. */
  onTaskStarted(job: JobId, index: number, machine: MachineId, type: MachineType, zone: ZoneName, spot: boolean): void {
    this.starts += 1;
    this.usedMachines.add(machine);
    if (!this.firstStartAt.has(job)) this.firstStartAt.set(job, this.clock.now);
    this.lastStartAt.set(job, this.clock.now);
    this.startsByJob.set(job, (this.startsByJob.get(job) ?? 0) + 1);
    const spec = this.submitted.get(job);
    if (!spec) {
      this.report('invented', `${job}/${index} started`);
      return;
    }
    let tasks = this.tasksOnMachines.get(job);
    if (!tasks) {
      tasks = new Map();
      this.tasksOnMachines.set(job, tasks);
    }
    const places = tasks.get(index) ?? [];
    if (places.length > 0) this.report('ran_twice', `${job}/${index} on ${machine} and ${places[0]?.machine}`);
    this.checkPlacement(spec, type, zone, spot);
    if (spec.singleZone || spec.zoneSpread) {
      const zones = [...tasks.values()].flat().map((place) => place.zone);
      this.checkZones(spec, zone, zones);
    }
    tasks.set(index, [...places, { machine, zone }]);
    if (this.cancellationToldAt.has(job)) this.startsAfterCancellation += 1;
    this.checkNotCancelled(job, index);
    this.checkQuota(spec);
  }

  private checkPlacement(spec: JobSpec, type: MachineType, zone: ZoneName, spot: boolean): void {
    const { id } = spec;
    const wrongType = spec.allowedMachineTypes !== null && !spec.allowedMachineTypes.includes(type.name);
    if (wrongType) this.report('wrong_place', `${id} on type ${type.name}`);
    if (spec.zone !== null && spec.zone !== zone) this.report('wrong_place', `${id} in zone ${zone}`);
    if (spot && !spec.toleratesSpot) this.report('wrong_place', `${id} on a spot machine`);
  }

  /** `others`: the zones of the job's other tasks. */
  private checkZones(spec: JobSpec, zone: ZoneName, others: readonly ZoneName[]): void {
    const { id } = spec;
    if (spec.singleZone && others.some((other) => other !== zone)) this.report('wrong_place', `${id} in two zones`);
    const here = others.filter((other) => other === zone).length + 1;
    const tooMany = spec.zoneSpread && here > Math.ceil(spec.taskCount / 2);
    if (tooMany) this.report('wrong_place', `${id} has too many tasks in zone ${zone}`);
  }

  /** A task is no longer on a machine. */
  onTaskEnded(job: JobId, index: number, machine: MachineId): void {
    const tasks = this.tasksOnMachines.get(job);
    const places = tasks?.get(index)?.filter((place) => place.machine !== machine) ?? [];
    if (places.length === 0) tasks?.delete(index);
    else tasks?.set(index, places);
    if (tasks?.size === 0) this.lastTaskLeftAt.set(job, this.clock.now);
  }

  /** How long after its user was told of the cancellation the last task of a job was gone; until now if some are there. */
  stopMs(job: JobId): number {
    const there = (this.tasksOnMachines.get(job)?.size ?? 0) > 0;
    return (there ? this.clock.now : (this.lastTaskLeftAt.get(job) ?? 0)) - (this.cancellationToldAt.get(job) ?? 0);
  }

  /** A task has its result. */
  onTaskCompleted(job: JobId, index: number): void {
    let set = this.completedTasks.get(job);
    if (!set) {
      set = new Set();
      this.completedTasks.set(job, set);
    }
    if (set.has(index)) return;
    set.add(index);
    if (this.isDone(job)) this.onCompleted(job);
  }

  /** Whether all tasks of the job are completed. */
  isDone(job: JobId): boolean {
    return (
      (this.completedTasks.get(job)?.size ?? 0) >= (this.submitted.get(job)?.taskCount ?? Number.POSITIVE_INFINITY)
    );
  }

  /** The final state that the job's user was told; undefined: none yet. */
  finalStateOf(job: JobId): string | undefined {
    return this.finalStates.get(job);
  }

  /** Whether the job's user was told that it is accepted. */
  isAccepted(job: JobId): boolean {
    return this.accepted.has(job);
  }

  private checkNotCancelled(job: JobId, index: number): void {
    const at = this.cancellationToldAt.get(job);
    if (at !== undefined && this.clock.now > at + this.cancelMs) this.report('ran_cancelled', `${job}/${index}`);
  }

  private checkQuota(spec: JobSpec): void {
    const team = this.teams.find((each) => each.name === spec.team);
    if (!team || (team.limit.cpus <= 0 && team.limit.gpus <= 0)) return;
    let cpus = 0;
    let gpus = 0;
    for (const [id, tasks] of this.tasksOnMachines) {
      const other = this.submitted.get(id);
      if (!other || other.team !== spec.team) continue;
      const count = [...tasks.values()].reduce((sum, places) => sum + places.length, 0);
      cpus += count * other.cpus;
      gpus += count * other.gpus;
    }
    if (team.limit.cpus > 0 && cpus > team.limit.cpus + 1e-6) this.report('quota', `${team.name}: ${cpus} cpus`);
    if (team.limit.gpus > 0 && gpus > team.limit.gpus + 1e-6) this.report('quota', `${team.name}: ${gpus} gpus`);
  }

  /** A response that reached a user. One that a controller gave before the user was told of an end may still say otherwise. */
  onResponse(job: JobId, answer: UserResponse, givenAt = this.clock.now): void {
    if (!('jobStatus' in answer)) this.onErrorResponse(job, answer.status);
    else if (this.infeasibleJobs.has(job)) this.report('taken', `${job} can't run or lacks a field`);
    else this.onJobStatus(job, answer.jobStatus, givenAt);
  }

  private onErrorResponse(job: JobId, status: number): void {
    if (status === 422) this.refusedJobs.add(job);
    if (!this.accepted.has(job)) return;
    if (status === 404) this.report('forgotten', `${job} answered 404`);
    if (status === 400 || status === 422) this.report('forgotten', `${job} refused`);
  }

  private onJobStatus(job: JobId, status: JobStatus, givenAt: number): void {
    if (!this.submitted.has(job)) this.report('invented', job);
    const isNews = !this.accepted.has(job) || (status !== this.finalStates.get(job) && isFinal(status));
    this.accepted.add(job);
    if (!this.acceptanceToldAt.has(job)) this.acceptanceToldAt.set(job, this.clock.now);
    this.answeredAt.set(job, this.clock.now);
    const before = this.finalStates.get(job);
    const isOlder = before !== undefined && status !== before && givenAt >= (this.finalStateToldAt.get(job) ?? 0);
    if (isOlder) this.report('went_back', `${job}: ${before}, then ${status}`);
    if (before === undefined && isFinal(status)) this.finalStateToldAt.set(job, this.clock.now);
    if (status === 'done') this.onCompletionTold(job);
    if (status === 'cancelled') this.onCancellationTold(job);
    if (isNews) this.onStatusChange(job);
  }

  private onCompletionTold(job: JobId): void {
    if (!this.isDone(job)) this.report('not_done', job);
    this.finalStates.set(job, 'done');
    if (!this.completionToldAt.has(job)) this.completionToldAt.set(job, this.clock.now);
  }

  private onCancellationTold(job: JobId): void {
    if (!this.cancellationRequested.has(job)) this.report('went_back', `${job} cancelled by nobody`);
    this.finalStates.set(job, 'cancelled');
    if (!this.cancellationToldAt.has(job)) this.expectStopped(job);
  }

  private expectStopped(job: JobId): void {
    this.cancellationToldAt.set(job, this.clock.now);
    this.clock.schedule(this.cancelMs, () => {
      for (const index of this.tasksOnMachines.get(job)?.keys() ?? [])
        this.report('ran_cancelled', `${job}/${index} still there`);
    });
  }
}
