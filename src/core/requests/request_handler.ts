/** Accepts user requests, on every controller. Handles a request itself or forwards it to a peer. */
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

/** How long the state store may fail before requests are forwarded to a peer without trying the state store first. */
const FORWARD_AFTER_MS = 300;
/**
 * How long the state store may fail before requests that no peer can handle are refused without trying the state store.
 */
const GIVE_UP_AFTER_MS = 1500;

const MACHINE_TYPES_UNKNOWN: UserResponse = {
  status: 503,
  problem: 'the machine types are not known yet',
  retryAfterSeconds: 1,
};
const RECORD_TOO_LONG: UserResponse = { status: 422, problem: 'its description is longer than can be kept' };

/** Operations of the rest of the controller that the handler uses. */
interface RequestDependencies {
  machineTypes(): MachineTypes;
  /** Returns null if this controller is not the leader. */
  taskCounts(id: JobId): TaskCounts | null;
  /**
   * Forwards a request to a peer that reaches the state store. Returns false, and does nothing, if there is no such
   * peer.
   */
  forward(request: UserRequest, respond: Respond): boolean;
  broadcastCancellation: BroadcastCancellation;
}

/** The origin of a request. A request from a peer is not forwarded again. */
type RequestOrigin = 'user' | 'peer';

/** A submission after validation. */
type Submission =
  | { readonly kind: 'valid'; readonly spec: JobSpec }
  /** Must be refused, whichever controller handles it. `spec` is null if the request was malformed. */
  | { readonly kind: 'refused'; readonly spec: JobSpec | null; readonly response: UserResponse };

type SubmitRequest = Extract<UserRequest, { readonly op: 'submit' }>;

/**
 * Handles submissions, queries and cancellations. For an unfinished job, the state store confirms the state during the
 * request, since another controller may have cancelled or finished the job a moment ago. Only final states are taken
 * from the cache without confirmation, because they never change.
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

  /** Handles a request. `respond` is called now or later, within the time that users wait. */
  handle(request: UserRequest, respond: Respond, origin: RequestOrigin): void {
    const known = this.jobCache.get(request.id);
    if (known && known.state !== 'accepted') {
      respond(this.reader.statusResponse(known));
      return;
    }
    const submission = request.op === 'submit' ? this.validate(request) : null;
    const tryForward = (): boolean => origin === 'user' && this.forward(request, submission, respond);
    const failingMs = this.stateStoreFailingMs();
    if (failingMs > FORWARD_AFTER_MS && tryForward()) return;
    // This controller can confirm no state, and no peer can handle the request. The response tells when to retry.
    if (failingMs > GIVE_UP_AFTER_MS) {
      respond(STATE_STORE_UNAVAILABLE);
      return;
    }
    // A call that failed here may succeed for a peer that the state store does not refuse. Forwarding the whole request
    // also resolves an unknown outcome, because the peer finds that the request was executed, or executes it.
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

  /** How long the state store has refused this controller's calls or not replied, in milliseconds. 0 if it replies. */
  private stateStoreFailingMs(): number {
    const since = this.context.stateStore.failingSince;
    return since === null ? 0 : this.context.now.monotonic - since;
  }

  /**
   * Forwards a request to a peer. A refused submission is forwarded as a query only, because a peer with an earlier
   * release might accept a job that can never run (upgrade-invalid-requests.txt). The query is still needed, since a
   * repeated submission of an accepted job gets a response with the state of the job.
   */
  private forward(request: UserRequest, submission: Submission | null, respond: Respond): boolean {
    // The peer confirms its response after the request was forwarded.
    const forwardedAt = this.context.now.monotonic;
    if (submission?.kind !== 'refused')
      return this.dependencies.forward(request, (response) => respond(response, forwardedAt));
    return this.dependencies.forward({ op: 'query', id: request.id }, (found) =>
      respond(found.status === 404 ? submission.response : found, forwardedAt),
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
    // The submission of an accepted job was repeated.
    if (submission.spec && this.jobCache.get(id)) {
      this.linearizableReads.enqueue({ id, responseIfMissing: STATE_STORE_UNAVAILABLE, ...continuation });
    } else if (submission.kind === 'refused') {
      this.reader.respond({ id, responseIfMissing: submission.response, ...continuation });
    } else if (!this.submission.trySubmit(submission.spec, continuation)) {
      this.reader.respond({ id, responseIfMissing: RECORD_TOO_LONG, ...continuation });
    }
  }
}
