import type { UserRequest, UserResponse } from '../../src/core/messages.js';
import type { JobId, JobSpec } from '../../src/core/types.js';
import type { Build } from './build.js';
import type { Clock } from './clock.js';
import type { ControllerProcess } from './controller_process.js';
import type { Invariants } from './invariants.js';
import type { World } from './world.js';

const USER_TIMEOUT_MS = 5000;
/** Requests of a burst to each controller, and the time within which they are sent. */
const POLLS_PER_BURST = 4;
const POLL_BURST_MS = 60;
/** Within this time a leader hears that a job's last task has ended. */
const COMPLETION_NOTICED_MS = 2500;

/** The users of a world: they submit, poll and cancel, and what they are told goes to the invariants. */
export class SimulatedUsers {
  /** Until then users poll in bursts whenever something happens to a job. */
  pollBurstsUntil = 0;
  /** Of the jobs that end before then this share is cancelled just then. */
  cancelAtEnd = { share: 0, until: 0 };
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
      clock.schedule(clock.randomBetween(0, COMPLETION_NOTICED_MS), () => this.sendPollBurst(job));
    }
    if (clock.now >= this.cancelAtEnd.until || clock.randomBetween(0, 1) >= this.cancelAtEnd.share) return;
    // The leader hears of the end, writes it, and others read it: each of these moments is met.
    const after = clock.randomBetween(0, 1) < 0.5 ? 0 : clock.randomBetween(0, 2500);
    clock.schedule(after, () => this.cancel(job));
  }

  private sendUserRequest(
    request: UserRequest,
    done: (response: UserResponse | null, asked?: Build, givenAt?: number) => void,
  ): void {
    // As the load balancer sees it: healthy controllers, else any that is up.
    const up = this.world.controllers.filter((controller) => controller.isRunning);
    const healthy = up.filter((controller) => controller.isHealthy);
    const controller =
      healthy.length > 0
        ? this.clock.pickRandom(healthy)
        : up.length > 0
          ? this.clock.pickRandom(up)
          : this.world.controllers[0];
    if (!controller) {
      done(null);
      return;
    }
    const { build } = controller;
    this.sendUserRequestTo(controller, request, (response, givenAt) => done(response, build, givenAt));
  }

  private sendUserRequestTo(
    controller: ControllerProcess,
    request: UserRequest,
    done: (response: UserResponse | null, givenAt: number) => void,
  ): void {
    let givenAt = this.clock.now;
    const serve = (reply: (response: UserResponse) => void): void =>
      controller.receiveUserRequest(request, (response) => {
        givenAt = this.clock.now;
        reply(response);
      });
    // A user's cancellation overtakes a poll that is under way, and polls of a burst each other: what counts is when it was given.
    this.world.network.request<UserResponse>('users', controller.name, USER_TIMEOUT_MS, serve, (response) =>
      done(response, givenAt),
    );
  }

  /** Users poll all controllers, again and again within milliseconds, and repeat the submission. */
  private sendPollBurst(id: JobId): void {
    const spec = this.invariants.submitted.get(id);
    if (this.clock.now >= this.pollBurstsUntil || !spec) return;
    for (const controller of this.world.controllers) {
      for (let poll = 0; poll < POLLS_PER_BURST; poll++) {
        const request: UserRequest = poll === 0 ? { op: 'submit', id, spec, problem: '' } : { op: 'query', id };
        this.clock.schedule(this.clock.randomBetween(0, POLL_BURST_MS), () =>
          this.sendUserRequestTo(controller, request, (response, givenAt) => {
            if (response) this.invariants.onResponse(id, response, givenAt);
          }),
        );
      }
    }
  }

  /** A user submits a job, again for a minute until it is accepted or refused, and polls it from then on. */
  submit(spec: JobSpec, runMs: number): void {
    this.invariants.onSubmitted(spec);
    this.world.progress.setSubmittedRunMs(spec.id, runMs);
    this.retrySubmission(spec, this.clock.now + 60_000);
  }

  private retrySubmission(spec: JobSpec, until: number): void {
    this.sendUserRequest({ op: 'submit', id: spec.id, spec, problem: '' }, (response, _, givenAt) => {
      if (response) this.invariants.onResponse(spec.id, response, givenAt);
      if (response && 'jobStatus' in response) return this.poll(spec.id);
      if ((response === null || response.status === 503) && this.clock.now < until) {
        this.clock.schedule(1000, () => this.retrySubmission(spec, until));
      }
    });
  }

  /** A user polls the job from now on, whoever submitted it. */
  follow(spec: JobSpec, runMs: number): void {
    this.invariants.onSubmitted(spec);
    this.world.progress.setSubmittedRunMs(spec.id, runMs);
    this.poll(spec.id);
  }

  private poll(id: JobId): void {
    this.clock.schedule(this.clock.randomBetween(4000, 6000), () => {
      this.sendUserRequest({ op: 'query', id }, (response, _, givenAt) => {
        if (response) this.invariants.onResponse(id, response, givenAt);
        if (!response || !('jobStatus' in response)) this.invariants.onNoResponse(id);
        // Users may ask again at any later time: every final state is asked for twice more.
        if (this.invariants.finalStateOf(id))
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

  /** A user asks for the cancellation of a job, again for a minute until that is answered. */
  cancel(id: JobId): void {
    this.invariants.cancellationRequested.add(id);
    const again = (until: number): void => {
      this.sendUserRequest({ op: 'cancel', id }, (response, _, givenAt) => {
        // A user who cancels what has yet to be accepted may be answered 404 just before the submission gets through.
        const isEarlier404 =
          response?.status === 404 && this.invariants.wasAcceptedAfter(id, givenAt ?? this.clock.now);
        if (response && !isEarlier404) this.invariants.onResponse(id, response, givenAt);
        if ((response === null || response.status === 503) && this.clock.now < until)
          this.clock.schedule(1000, () => again(until));
      });
    };
    again(this.clock.now + 60_000);
  }

  /** Any controller may be asked; what it answers is checked by the invariants, unless `excused` says that its build knows no better. */
  request(request: UserRequest, excused: (asked: Build) => boolean = () => false): void {
    this.sendUserRequest(request, (response, asked) => {
      if (response && asked && !excused(asked)) this.invariants.onResponse(request.id, response);
    });
  }
}
