import type { UserRequest, UserResponse } from '../../src/core/messages.js';
import type { JobId, JobSpec } from '../../src/core/types.js';
import type { Build } from './build.js';
import type { Clock } from './clock.js';
import type { ControllerProcess } from './controller_process.js';
import type { Invariants } from './invariants.js';
import type { World } from './world.js';

const USER_TIMEOUT_MS = 5000;
/** Looks of each user at each node, and within which time. */
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
    done: (answer: UserResponse | null, asked?: Build, givenAt?: number, leftAt?: number) => void,
  ): void {
    // As the load balancer sees it: healthy nodes, else any that is up.
    const up = this.world.controllers.filter((node) => node.isRunning);
    const healthy = up.filter((node) => node.isHealthy);
    const node =
      healthy.length > 0
        ? this.clock.pickRandom(healthy)
        : up.length > 0
          ? this.clock.pickRandom(up)
          : this.world.controllers[0];
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
    this.world.network.request<UserResponse>('users', node.name, USER_TIMEOUT_MS, serve, (answer) =>
      done(answer, closeLooks ? givenAt : this.clock.now, givenAt),
    );
  }

  /** Users ask all nodes, again and again within milliseconds, and repeat the submission. */
  private sendPollBurst(id: JobId): void {
    const spec = this.invariants.submitted.get(id);
    if (this.clock.now >= this.pollBurstsUntil || !spec) return;
    for (const node of this.world.controllers) {
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
    this.world.progress.setSubmittedRunMs(spec.id, runMs);
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
    this.world.progress.setSubmittedRunMs(spec.id, runMs);
    this.poll(spec.id);
  }

  private poll(id: JobId): void {
    this.clock.schedule(this.clock.randomBetween(4000, 6000), () => {
      this.sendUserRequest({ op: 'query', id }, (answer, _, givenAt) => {
        if (answer) this.invariants.onResponse(id, answer, givenAt);
        if (!answer || !('jobStatus' in answer)) this.invariants.onNoResponse(id);
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
}
