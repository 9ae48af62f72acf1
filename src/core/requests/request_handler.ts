/** Takes in users' requests, on every controller: answers them here, or passes them to a peer. */
import type { JobCache } from '../jobs/job_cache.js';
import type { MachineTypes } from '../machines/machine_type_catalog.js';
import type { TaskCounts, UserRequest, UserResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { JobId, JobSpec } from '../types.js';
import { type BroadcastCancellation, JobCancellation } from './job_cancellation.js';
import { JobReader } from './job_reader.js';
import { JobSubmission } from './job_submission.js';
import { LinearizableReads } from './linearizable_reads.js';
import { JOB_NOT_FOUND, type RequestContinuation, type Respond, STATE_STORE_UNAVAILABLE } from './responses.js';
import { INFEASIBILITY_PROBLEMS, infeasibilityReason } from './submission_validation.js';

/** The state store has refused this controller for so long: a peer is asked first, or nobody. */
const FORWARD_AFTER_MS = 300;
const GIVE_UP_AFTER_MS = 1500;

const MACHINE_TYPES_UNKNOWN: UserResponse = {
  status: 503,
  problem: 'the machine types are not known yet',
  retryAfterSeconds: 1,
};
const RECORD_TOO_LONG: UserResponse = { status: 422, problem: 'its description is longer than can be kept' };

/** What the handler asks of the rest of the controller. */
interface RequestDependencies {
  machineTypes(): MachineTypes;
  /** Null where this controller doesn't lead. */
  taskCounts(id: JobId): TaskCounts | null;
  /** Passes a request to a peer that the state store answers; false, and nothing is done, if there is none. */
  forward(request: UserRequest, respond: Respond): boolean;
  broadcastCancellation: BroadcastCancellation;
}

/** Where a request came from: one from a peer isn't passed on again. */
type RequestOrigin = 'user' | 'peer';

/** A submission that was looked at before anything is done about it. */
type Submission =
  | { readonly kind: 'valid'; readonly spec: JobSpec }
  /** Refused whoever is asked; `spec` is null where it could not be read. */
  | { readonly kind: 'refused'; readonly spec: JobSpec | null; readonly response: UserResponse };

type SubmitRequest = Extract<UserRequest, { readonly op: 'submit' }>;

/**
 * What is said of a job that isn't over is confirmed by the state store in that request: another controller may have
 * cancelled or finished it a moment ago. Only final states, which never change, are told from the cache.
 */
export class RequestHandler {
  private readonly reader: JobReader;
  private readonly linearizableReads: LinearizableReads;
  private readonly submission: JobSubmission;
  private readonly cancellation: JobCancellation;

  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly dependencies: RequestDependencies,
  ) {
    const reader = new JobReader(context, jobCache, (id) => dependencies.taskCounts(id));
    this.reader = reader;
    this.linearizableReads = new LinearizableReads(context, jobCache, reader);
    this.submission = new JobSubmission(context, jobCache, reader);
    this.cancellation = new JobCancellation(context, jobCache, reader, (id, onDone) =>
      dependencies.broadcastCancellation(id, onDone),
    );
  }

  /** Answers a request, now or later, within the time that users wait. */
  handle(request: UserRequest, respond: Respond, origin: RequestOrigin): void {
    const known = this.jobCache.get(request.id);
    if (known && known.record.state !== 'accepted') {
      respond(this.reader.statusResponse(known.record));
      return;
    }
    const submission = request.op === 'submit' ? this.validate(request) : null;
    const tryForward = (): boolean => origin === 'user' && this.forward(request, submission, respond);
    const failingMs = this.stateStoreFailingMs();
    if (failingMs > FORWARD_AFTER_MS && tryForward()) return;
    // Nothing here can be confirmed, and nobody else is there to ask: said at once, with when to come back.
    if (failingMs > GIVE_UP_AFTER_MS) {
      respond(STATE_STORE_UNAVAILABLE);
      return;
    }
    // A call that brought nothing here may still work for a controller that the state store hasn't shut out. Passing the
    // whole request on also settles an unknown outcome: there it is found carried out, or carried out now.
    const onUnavailable = (): void => {
      if (!tryForward()) respond(STATE_STORE_UNAVAILABLE);
    };
    this.execute(request, submission, { respond, onUnavailable });
  }

  private execute(request: UserRequest, submission: Submission | null, continuation: RequestContinuation): void {
    const { id } = request;
    if (submission !== null) {
      this.submit(id, submission, continuation);
    } else if (request.op === 'cancel') {
      this.cancellation.cancel(id, continuation);
    } else {
      this.linearizableReads.enqueue({ id, responseIfMissing: JOB_NOT_FOUND, ...continuation });
    }
  }

  /** For how long the state store has refused this controller or not answered it, in milliseconds; 0: it answers. */
  private stateStoreFailingMs(): number {
    const since = this.context.stateStore.failingSince;
    return since === null ? 0 : this.context.now.monotonic - since;
  }

  /**
   * A submission that must be refused is only looked up at the peer, as a repeat of an accepted one is answered with its
   * state: an earlier version there may accept what can never run (upgrade-invalid-requests.txt).
   */
  private forward(request: UserRequest, submission: Submission | null, respond: Respond): boolean {
    if (submission?.kind !== 'refused') return this.dependencies.forward(request, respond);
    return this.dependencies.forward({ op: 'query', id: request.id }, (found) =>
      respond(found.status === 404 ? submission.response : found),
    );
  }

  private validate({ spec, problem }: SubmitRequest): Submission {
    if (!spec) return { kind: 'refused', spec, response: { status: 400, problem } };
    const types = this.dependencies.machineTypes();
    if (types.size === 0) return { kind: 'refused', spec, response: MACHINE_TYPES_UNKNOWN };
    const reason = infeasibilityReason(spec, types, this.context.settings.teamQuotas);
    return reason === null
      ? { kind: 'valid', spec }
      : { kind: 'refused', spec, response: { status: 422, problem: INFEASIBILITY_PROBLEMS[reason] } };
  }

  private submit(id: JobId, submission: Submission, continuation: RequestContinuation): void {
    // A repeat of a submission that was taken.
    if (submission.spec && this.jobCache.get(id)) {
      this.linearizableReads.enqueue({ id, responseIfMissing: STATE_STORE_UNAVAILABLE, ...continuation });
    } else if (submission.kind === 'refused') {
      this.reader.respond({ id, responseIfMissing: submission.response, ...continuation });
    } else if (!this.submission.trySubmit(submission.spec, continuation)) {
      this.reader.respond({ id, responseIfMissing: RECORD_TOO_LONG, ...continuation });
    }
  }
}
