/** The rules that must hold in every simulated run, whatever faults are injected. */
import type { JobStatus, UserResponse } from '../../src/core/messages.js';
import type { JobId, JobSpec, MachineId, MachineType, TeamQuota, ZoneName } from '../../src/core/types.js';
import type { Clock } from './clock.js';

/** The machine that a task is on, and its zone. */
interface TaskPlacement {
  readonly machine: MachineId;
  readonly zone: ZoneName;
}

/**
 * Maximum time without a response about an accepted job, in milliseconds. It counts from the last response, or from the
 * end of all faults if that is later.
 */
const MAX_UNANSWERED_MS = 75_000;

const isFinal = (status: JobStatus): boolean => status === 'done' || status === 'cancelled';

/** Observes the events of a world, and records each violation of a rule that must always hold. */
export class Invariants {
  /** The violations found, each with its time in seconds and the name of its rule. */
  readonly violations: string[] = [];
  /** The jobs that users submitted. */
  readonly submitted = new Map<JobId, JobSpec>();
  /** The machines that each task is on, by job and task number. */
  readonly tasksOnMachines = new Map<JobId, Map<number, TaskPlacement[]>>();
  /** The numbers of the tasks that were completed, by job. */
  readonly completedTasks = new Map<JobId, Set<number>>();
  private readonly accepted = new Set<JobId>();
  private readonly acceptanceConfirmedAt = new Map<JobId, number>();
  private readonly finalStates = new Map<JobId, 'done' | 'cancelled'>();
  /** Jobs whose users asked for their cancellation. */
  readonly cancellationRequested = new Set<JobId>();
  private readonly cancellationConfirmedAt = new Map<JobId, number>();
  private readonly lastTaskEndAt = new Map<JobId, number>();
  /** The number of task executions that began, over all jobs. */
  starts = 0;
  /**
   * The number of task executions that began after the job's cancellation was confirmed to the user. Only tasks whose
   * start was already under way may begin then.
   */
  startsAfterCancellation = 0;
  /** Submissions that can never run or lack a field. Controllers must not accept them. */
  readonly infeasibleJobs = new Set<JobId>();
  /** Called when the last task of a job is completed. */
  onCompleted: (job: JobId) => void = () => {};
  /** Called when a user learns for the first time that a job is accepted, done or cancelled. */
  onStatusChange: (job: JobId) => void = () => {};
  private readonly finalStateConfirmedAt = new Map<JobId, number>();
  /** Jobs for which a user received status 422: they can never run. */
  readonly refusedJobs = new Set<JobId>();
  /** When an execution of one of the job's tasks last began. */
  readonly lastStartAt = new Map<JobId, number>();
  /** The number of task executions that began, by job. */
  readonly startsByJob = new Map<JobId, number>();
  /** Machines on which at least one task began to run. */
  readonly usedMachines = new Set<string>();
  private readonly submittedAt = new Map<JobId, number>();
  private readonly firstStartAt = new Map<JobId, number>();
  private readonly completionConfirmedAt = new Map<JobId, number>();
  private readonly lastResponseAt = new Map<JobId, number>();
  /** When the last of the faults injected until now ends. */
  faultsUntil = 0;

  constructor(
    private readonly clock: Clock,
    private readonly teams: readonly TeamQuota[],
    private readonly cancellationTimeoutMs: number,
  ) {}

  /** Jobs that no user submitted, but of which a scenario placed tasks on a worker. */
  readonly injectedJobs = new Map<JobId, JobSpec>();

  /** The description of a job that a user submitted or a scenario injected. */
  specOf(job: JobId): JobSpec | undefined {
    return this.submitted.get(job) ?? this.injectedJobs.get(job);
  }

  /** Called when a user submits a job. */
  onSubmitted(spec: JobSpec): void {
    this.submitted.set(spec.id, spec);
    this.submittedAt.set(spec.id, this.clock.now);
  }

  /** Returns whether the user had not yet learned at `time` that the job is accepted. */
  wasUnconfirmedAt(job: JobId, time: number): boolean {
    return (this.acceptanceConfirmedAt.get(job) ?? Number.POSITIVE_INFINITY) > time;
  }

  /** The time from a job's submission to its first task execution, or until now if there was none, in milliseconds. */
  waitMs(job: JobId): number {
    return (this.firstStartAt.get(job) ?? this.clock.now) - (this.submittedAt.get(job) ?? this.clock.now);
  }

  /** The time from a job's submission until its user learned that it is done, or until now, in milliseconds. */
  turnaroundMs(job: JobId): number {
    return (this.completionConfirmedAt.get(job) ?? this.clock.now) - (this.submittedAt.get(job) ?? this.clock.now);
  }

  /** Returns whether any task of the job began to run. */
  hasStarted(job: JobId): boolean {
    return this.firstStartAt.has(job);
  }

  /**
   * Called when a request about a job got no response or an error. An accepted job without a status in any response for
   * 75 s after the end of all faults counts as forgotten, even if requests about other jobs succeed.
   */
  onNoResponse(job: JobId): void {
    if (!this.accepted.has(job)) return;
    const since = Math.max(this.lastResponseAt.get(job) ?? 0, this.faultsUntil);
    if (this.clock.now - since > MAX_UNANSWERED_MS)
      this.report('forgotten', `${job}: expected a response with its status within 75 s, got none`);
  }

  /**
   * The time from a job's submission, or from `since` if that is later, to its first task execution, or until now if
   * there was none, in milliseconds.
   */
  waitMsSince(job: JobId, since: number): number {
    const from = Math.max(this.submittedAt.get(job) ?? 0, since);
    return (this.firstStartAt.get(job) ?? this.clock.now) - from;
  }

  /** The accepted jobs whose cancellation no user requested. */
  wantedJobs(): JobSpec[] {
    return [...this.submitted.values()].filter(
      (spec) => this.accepted.has(spec.id) && !this.cancellationRequested.has(spec.id),
    );
  }

  /** Called when a machine has disappeared from the machine registry although it is still provisioned. */
  onUnregistered(machine: string): void {
    this.report('unregistered', `${machine} is provisioned but no longer in the machine registry`);
  }

  /** Called when a job has waited for 90 s after the end of all faults although there is free capacity for it. */
  onIdleCapacity(job: JobId, machine: MachineId): void {
    this.report('idle_room', `${job} has waited for 90 s although ${machine} has free capacity for it`);
  }

  private report(rule: string, details: string): void {
    this.violations.push(`${(this.clock.now / 1000).toFixed(2)} ${rule}: ${details}`);
  }

  /** Called when a task begins to run on a machine. */
  onTaskStarted(job: JobId, index: number, machine: MachineId, type: MachineType, zone: ZoneName, spot: boolean): void {
    this.starts += 1;
    this.usedMachines.add(machine);
    if (!this.firstStartAt.has(job)) this.firstStartAt.set(job, this.clock.now);
    this.lastStartAt.set(job, this.clock.now);
    this.startsByJob.set(job, (this.startsByJob.get(job) ?? 0) + 1);
    const spec = this.submitted.get(job);
    if (!spec) {
      this.report('invented', `${job}/${index} started, but no user submitted the job`);
      return;
    }
    let tasks = this.tasksOnMachines.get(job);
    if (!tasks) {
      tasks = new Map();
      this.tasksOnMachines.set(job, tasks);
    }
    const places = tasks.get(index) ?? [];
    if (places.length > 0)
      this.report('ran_twice', `${job}/${index} started on ${machine} while it is still on ${places[0]?.machine}`);
    this.checkPlacement(spec, type, zone, spot);
    if (spec.singleZone || spec.zoneSpread) {
      const zones = [...tasks.values()].flat().map((place) => place.zone);
      this.checkZones(spec, zone, zones);
    }
    tasks.set(index, [...places, { machine, zone }]);
    if (this.cancellationConfirmedAt.has(job)) this.startsAfterCancellation += 1;
    this.checkNotCancelled(job, index);
    this.checkQuota(spec);
  }

  private checkPlacement(spec: JobSpec, type: MachineType, zone: ZoneName, spot: boolean): void {
    const { id } = spec;
    const wrongType = spec.allowedMachineTypes !== null && !spec.allowedMachineTypes.includes(type.name);
    if (wrongType) this.report('wrong_place', `${id} started on a machine type that it does not allow: ${type.name}`);
    if (spec.zone !== null && spec.zone !== zone)
      this.report('wrong_place', `${id} started outside the zone that it requires, in ${zone}`);
    if (spot && !spec.toleratesSpot)
      this.report('wrong_place', `${id} started on a spot machine, which it does not tolerate`);
  }

  /** Checks the zone of a new task; `others` are the zones of the job's other tasks. */
  private checkZones(spec: JobSpec, zone: ZoneName, others: readonly ZoneName[]): void {
    const { id } = spec;
    if (spec.singleZone && others.some((other) => other !== zone))
      this.report('wrong_place', `${id} requires a single zone, but started in a second one`);
    const tasksInZone = others.filter((other) => other === zone).length + 1;
    const tooMany = spec.zoneSpread && tasksInZone > Math.ceil(spec.taskCount / 2);
    if (tooMany)
      this.report(
        'wrong_place',
        `${id} requires a spread over zones, but has more than half (rounded up) of its tasks in ${zone}`,
      );
  }

  /** Called when a task is no longer on a machine. */
  onTaskEnded(job: JobId, index: number, machine: MachineId): void {
    const tasks = this.tasksOnMachines.get(job);
    const places = tasks?.get(index)?.filter((place) => place.machine !== machine) ?? [];
    if (places.length === 0) tasks?.delete(index);
    else tasks?.set(index, places);
    if (tasks?.size === 0) this.lastTaskEndAt.set(job, this.clock.now);
  }

  /**
   * The time from the confirmation of a job's cancellation to its user until the job's last task left its machine, or
   * until now if some are still on machines, in milliseconds.
   */
  cancellationToStopMs(job: JobId): number {
    const busy = (this.tasksOnMachines.get(job)?.size ?? 0) > 0;
    return (busy ? this.clock.now : (this.lastTaskEndAt.get(job) ?? 0)) - (this.cancellationConfirmedAt.get(job) ?? 0);
  }

  /** Called when a task has completed with a result. */
  onTaskCompleted(job: JobId, index: number): void {
    let completed = this.completedTasks.get(job);
    if (!completed) {
      completed = new Set();
      this.completedTasks.set(job, completed);
    }
    if (completed.has(index)) return;
    completed.add(index);
    if (this.isDone(job)) this.onCompleted(job);
  }

  /** Returns whether all tasks of the job are completed. */
  isDone(job: JobId): boolean {
    return (
      (this.completedTasks.get(job)?.size ?? 0) >= (this.submitted.get(job)?.taskCount ?? Number.POSITIVE_INFINITY)
    );
  }

  /** The final state that the job's user was last told; undefined if none. */
  finalStateOf(job: JobId): string | undefined {
    return this.finalStates.get(job);
  }

  /** Returns whether the job's user has learned that it is accepted. */
  isAccepted(job: JobId): boolean {
    return this.accepted.has(job);
  }

  private checkNotCancelled(job: JobId, index: number): void {
    const at = this.cancellationConfirmedAt.get(job);
    if (at !== undefined && this.clock.now > at + this.cancellationTimeoutMs)
      this.report('ran_cancelled', `${job}/${index}`);
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
    if (team.limit.cpus > 0 && cpus > team.limit.cpus + 1e-6)
      this.report('quota', `${team.name}: ${cpus} cpus in use, more than the limit of the team`);
    if (team.limit.gpus > 0 && gpus > team.limit.gpus + 1e-6)
      this.report('quota', `${team.name}: ${gpus} gpus in use, more than the limit of the team`);
  }

  /**
   * Called when a response reaches a user. A response that a controller sent before the user learned of a final state
   * may still show an earlier status.
   */
  onResponse(job: JobId, response: UserResponse, respondedAt = this.clock.now): void {
    if (!('jobStatus' in response)) this.onErrorResponse(job, response.status);
    else if (this.infeasibleJobs.has(job))
      this.report('taken', `${job} can never run or lacks a field: expected a refusal, but it was accepted`);
    else this.onJobStatus(job, response.jobStatus, respondedAt);
  }

  private onErrorResponse(job: JobId, status: number): void {
    if (status === 422) this.refusedJobs.add(job);
    if (!this.accepted.has(job)) return;
    if (status === 404) this.report('forgotten', `${job}: expected the status of an accepted job, got 404`);
    if (status === 400 || status === 422)
      this.report('forgotten', `${job}: expected the status of an accepted job, got 400 or 422`);
  }

  private onJobStatus(job: JobId, status: JobStatus, respondedAt: number): void {
    if (!this.submitted.has(job)) this.report('invented', job);
    const isStatusChange = !this.accepted.has(job) || (status !== this.finalStates.get(job) && isFinal(status));
    this.accepted.add(job);
    if (!this.acceptanceConfirmedAt.has(job)) this.acceptanceConfirmedAt.set(job, this.clock.now);
    this.lastResponseAt.set(job, this.clock.now);
    const previousFinalState = this.finalStates.get(job);
    const contradictsFinalState =
      previousFinalState !== undefined &&
      status !== previousFinalState &&
      respondedAt >= (this.finalStateConfirmedAt.get(job) ?? 0);
    if (contradictsFinalState)
      this.report('went_back', `${job}: was ${previousFinalState}, a final state, and later ${status}`);
    if (previousFinalState === undefined && isFinal(status)) this.finalStateConfirmedAt.set(job, this.clock.now);
    if (status === 'done') this.onCompletionConfirmed(job);
    if (status === 'cancelled') this.onCancellationConfirmed(job);
    if (isStatusChange) this.onStatusChange(job);
  }

  private onCompletionConfirmed(job: JobId): void {
    if (!this.isDone(job)) this.report('not_done', job);
    this.finalStates.set(job, 'done');
    if (!this.completionConfirmedAt.has(job)) this.completionConfirmedAt.set(job, this.clock.now);
  }

  private onCancellationConfirmed(job: JobId): void {
    if (!this.cancellationRequested.has(job))
      this.report('went_back', `${job} is cancelled, but no user requested that`);
    this.finalStates.set(job, 'cancelled');
    if (!this.cancellationConfirmedAt.has(job)) this.scheduleStopCheck(job);
  }

  private scheduleStopCheck(job: JobId): void {
    this.cancellationConfirmedAt.set(job, this.clock.now);
    this.clock.schedule(this.cancellationTimeoutMs, () => {
      for (const index of this.tasksOnMachines.get(job)?.keys() ?? [])
        this.report('ran_cancelled', `${job}/${index} is still on a machine after the cancellation timeout`);
    });
  }
}
