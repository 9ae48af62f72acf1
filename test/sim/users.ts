/** The simulated users, and the load balancer that chooses controllers for their requests. */
import type { UserRequest, UserResponse } from '../../src/core/messages.js';
import type { JobId, JobSpec } from '../../src/core/types.js';
import type { Build } from './build.js';
import type { Clock } from './clock.js';
import type { ControllerProcess } from './controller_process.js';
import type { Invariants } from './invariants.js';
import type { World } from './world.js';

/** Timeout of a user's request, in milliseconds. */
const USER_TIMEOUT_MS = 5000;
/** Number of requests that a poll burst sends to each controller. */
const POLLS_PER_BURST = 4;
/** Time within which the requests of a poll burst are sent, in milliseconds. */
const POLL_BURST_MS = 60;
/** Maximum time until a leader learns that a job's last task has ended, in milliseconds. */
const MAX_COMPLETION_DELAY_MS = 2500;

/** The users of a world. They submit, poll and cancel jobs, and pass the responses to the invariants. */
export class SimulatedUsers {
  /** The time until which users poll a job in bursts when it is accepted, done or cancelled. */
  pollBurstsUntil = 0;
  /** The share of the jobs completed before `until` that a user cancels at about the time of their completion. */
  cancelOnCompletion = { share: 0, until: 0 };
  private readonly clock: Clock;
  private readonly invariants: Invariants;

  constructor(private readonly world: World) {
    this.clock = world.clock;
    this.invariants = world.invariants;
    this.invariants.onStatusChange = (job) => this.sendPollBurst(job);
    this.invariants.onCompleted = (job) => this.onCompleted(job);
  }

  private onCompleted(job: JobId): void {
    const { clock } = this;
    if (clock.now < this.pollBurstsUntil) {
      clock.schedule(clock.randomBetween(0, MAX_COMPLETION_DELAY_MS), () => this.sendPollBurst(job));
    }
    if (clock.now >= this.cancelOnCompletion.until || clock.randomBetween(0, 1) >= this.cancelOnCompletion.share)
      return;
    // The random delays make cancellations arrive before and after the leader learns of the completion, stores it, and
    // followers read it.
    const delayMs = clock.randomBetween(0, 1) < 0.5 ? 0 : clock.randomBetween(0, 2500);
    clock.schedule(delayMs, () => this.cancel(job));
  }

  private sendUserRequest(
    request: UserRequest,
    done: (response: UserResponse | null, respondingBuild?: Build, respondedAt?: number) => void,
  ): void {
    // The load balancer chooses a healthy controller, or any running one if none is healthy.
    const runningControllers = this.world.controllers.filter((controller) => controller.isRunning);
    const healthy = runningControllers.filter((controller) => controller.isHealthy);
    const controller =
      healthy.length > 0
        ? this.clock.pickRandom(healthy)
        : runningControllers.length > 0
          ? this.clock.pickRandom(runningControllers)
          : this.world.controllers[0];
    if (!controller) {
      done(null);
      return;
    }
    const { build } = controller;
    this.sendUserRequestTo(controller, request, (response, respondedAt) => done(response, build, respondedAt));
  }

  private sendUserRequestTo(
    controller: ControllerProcess,
    request: UserRequest,
    done: (response: UserResponse | null, respondedAt: number) => void,
  ): void {
    let respondedAt = this.clock.now;
    const serve = (reply: (response: UserResponse) => void): void =>
      controller.receiveUserRequest(request, (response) => {
        respondedAt = this.clock.now;
        reply(response);
      });
    // The response to a cancellation may arrive before that to an earlier poll, and those to a poll burst in any order.
    // The invariants therefore compare the times at which the controller responded.
    this.world.network.request<UserResponse>('users', controller.name, USER_TIMEOUT_MS, serve, (response) =>
      done(response, respondedAt),
    );
  }

  /** Sends several requests to every controller within milliseconds. One repeats the submission, the others poll. */
  private sendPollBurst(id: JobId): void {
    const spec = this.invariants.submitted.get(id);
    if (this.clock.now >= this.pollBurstsUntil || !spec) return;
    for (const controller of this.world.controllers) {
      for (let poll = 0; poll < POLLS_PER_BURST; poll++) {
        const request: UserRequest = poll === 0 ? { op: 'submit', id, spec, problem: '' } : { op: 'query', id };
        this.clock.schedule(this.clock.randomBetween(0, POLL_BURST_MS), () =>
          this.sendUserRequestTo(controller, request, (response, respondedAt) => {
            if (response) this.invariants.onResponse(id, response, respondedAt);
          }),
        );
      }
    }
  }

  /** Submits a job, retrying for a minute until it is accepted or refused, and polls it once it is accepted. */
  submit(spec: JobSpec, runMs: number): void {
    this.invariants.onSubmitted(spec);
    this.world.progress.setSubmittedRunMs(spec.id, runMs);
    this.retrySubmission(spec, this.clock.now + 60_000);
  }

  private retrySubmission(spec: JobSpec, until: number): void {
    this.sendUserRequest({ op: 'submit', id: spec.id, spec, problem: '' }, (response, _, respondedAt) => {
      if (response) this.invariants.onResponse(spec.id, response, respondedAt);
      if (response && 'jobStatus' in response) return this.poll(spec.id);
      if ((response === null || response.status === 503) && this.clock.now < until) {
        this.clock.schedule(1000, () => this.retrySubmission(spec, until));
      }
    });
  }

  /** Treats the job as submitted and polls it from now on, without sending a submission. */
  pollRecordedJob(spec: JobSpec, runMs: number): void {
    this.invariants.onSubmitted(spec);
    this.world.progress.setSubmittedRunMs(spec.id, runMs);
    this.poll(spec.id);
  }

  private poll(id: JobId): void {
    this.clock.schedule(this.clock.randomBetween(4000, 6000), () => {
      this.sendUserRequest({ op: 'query', id }, (response, _, respondedAt) => {
        if (response) this.invariants.onResponse(id, response, respondedAt);
        if (!response || !('jobStatus' in response)) this.invariants.onNoResponse(id);
        // Users may poll a job long after its end, so after a poll that found a final state it is queried again 10 s
        // later.
        if (this.invariants.finalStateOf(id))
          this.clock.schedule(10_000, () =>
            this.sendUserRequest(
              { op: 'query', id },
              (laterResponse, __, laterRespondedAt) =>
                laterResponse && this.invariants.onResponse(id, laterResponse, laterRespondedAt),
            ),
          );
        else this.poll(id);
      });
    });
  }

  /** Requests the cancellation of a job, retrying for a minute until there is a response other than 503. */
  cancel(id: JobId): void {
    this.invariants.cancellationRequested.add(id);
    const sendCancellation = (until: number): void => {
      this.sendUserRequest({ op: 'cancel', id }, (response, _, respondedAt) => {
        // The cancellation of a job that isn't accepted yet may get status 404 just before its submission succeeds.
        const precedesAcceptance =
          response?.status === 404 && this.invariants.wasUnconfirmedAt(id, respondedAt ?? this.clock.now);
        if (response && !precedesAcceptance) this.invariants.onResponse(id, response, respondedAt);
        if ((response === null || response.status === 503) && this.clock.now < until)
          this.clock.schedule(1000, () => sendCancellation(until));
      });
    };
    sendCancellation(this.clock.now + 60_000);
  }

  /**
   * Sends a request to any controller. The invariants check the response unless `isExcused` returns true for the
   * controller's build, which then has a known fault.
   */
  request(request: UserRequest, isExcused: (respondingBuild: Build) => boolean = () => false): void {
    this.sendUserRequest(request, (response, respondingBuild) => {
      if (response && respondingBuild && !isExcused(respondingBuild)) this.invariants.onResponse(request.id, response);
    });
  }
}
