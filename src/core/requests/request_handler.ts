import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import { RangeSet } from '../jobs/range_set.js';
import type { MachineTypes } from '../machines/machine_type_catalog.js';
import {
  type OnStateStoreResult,
  type StateChange,
  type UserRequest,
  type UserResponse,
  wasNotExecuted,
} from '../messages.js';
import { encodeJob, type JobRecord, jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import { ABSENT_VERSION, type JobId, type JobSpec } from '../types.js';
import { JOB_NOT_FOUND, JobReader, type Respond, STATE_STORE_UNAVAILABLE, type TaskCounts } from './job_reader.js';
import { LinearizableReads } from './linearizable_reads.js';
import { infeasibilityReason } from './submission_validation.js';

export interface RequestDependencies {
  machineTypes(): MachineTypes;
  /** Null where this node doesn't lead. */
  taskCounts(id: JobId): TaskCounts | null;
  /** Passes a request to a node that the state service answers; false if there is none. */
  forward(request: UserRequest, answer: Respond): boolean;
  /** Tells whoever leads of a cancellation that is on record; `done` follows soon, acknowledged or not. */
  broadcastCancellation(id: JobId, done: () => void): void;
}

const MAX_CANCEL_ATTEMPTS = 3;
const WRITE_PRIORITY = 2;
const SUBMIT_OPTIONS = { timeoutMs: 1200, maxQueueTimeMs: 1500, failFast: true } as const;
const CANCEL_OPTIONS = { timeoutMs: 1000, maxQueueTimeMs: 1000, failFast: true } as const;
/** A new record leaves so much of a value's limit free for what is added to it later, beside the names of zones. */
const RECORD_RESERVED_BYTES = 64;
/** The state service has refused this node for so long: a peer is asked first, or nobody. */
const FORWARD_AFTER_MS = 300;
const GIVE_UP_AFTER_MS = 1500;

const MACHINE_TYPES_UNKNOWN: UserResponse = {
  status: 503,
  problem: 'the machine types are not known yet',
  retryAfterSeconds: 1,
};
const RECORD_TOO_LONG: UserResponse = { status: 422, problem: 'its description is longer than can be kept' };

/** How one request is answered. */
interface Continuation {
  readonly respond: Respond;
  /** The state service gave this node no answer. */
  readonly onUnavailable: () => void;
}

/**
 * Users' requests, on every node. What is said of a job that isn't over is confirmed by the store in that request: another
 * node may have cancelled or finished it a moment ago. Only final states, which never change, are told from the cache.
 */
export class RequestHandler {
  private readonly reader: JobReader;
  private readonly linearizableReads: LinearizableReads;

  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly dependencies: RequestDependencies,
  ) {
    this.reader = new JobReader(context, jobCache, (id) => dependencies.taskCounts(id));
    this.linearizableReads = new LinearizableReads(context, jobCache, this.reader);
  }

  /** `relayed`: the request came from another node and isn't passed on again. */
  handle(request: UserRequest, respond: Respond, relayed = false): void {
    const known = this.jobCache.get(request.id);
    if (known && known.record.state !== 'accepted') {
      respond(this.reader.statusResponse(known.record));
      return;
    }
    const refusal = request.op === 'submit' ? this.validate(request.spec, request.problem) : null;
    const passOn = (): boolean => !relayed && this.forward(request, refusal, respond);
    const failingMs = this.stateStoreFailingMs();
    if (failingMs > FORWARD_AFTER_MS && passOn()) return;
    // Nothing here can be confirmed, and nobody else is there to ask: said at once, with when to come back.
    if (failingMs > GIVE_UP_AFTER_MS) {
      respond(STATE_STORE_UNAVAILABLE);
      return;
    }
    // A call that brought nothing here may still work for a node that the state service hasn't shut out. Passing the
    // whole request on also settles an unknown outcome: there it is found carried out, or carried out now.
    const onUnavailable = (): void => {
      if (!passOn()) respond(STATE_STORE_UNAVAILABLE);
    };
    this.execute(request, refusal, { respond, onUnavailable });
  }

  private execute(request: UserRequest, refusal: UserResponse | null, reply: Continuation): void {
    switch (request.op) {
      case 'submit':
        this.submit(request.id, request.spec, refusal, reply);
        return;
      case 'query':
        this.linearizableReads.enqueue({ id: request.id, responseIfMissing: JOB_NOT_FOUND, ...reply });
        return;
      case 'cancel':
        this.cancel(request.id, reply, 1);
        return;
    }
  }

  /** For how long the state service has refused this node or not answered it; 0: it answers. */
  private stateStoreFailingMs(): number {
    const since = this.context.stateStore.failingSince;
    return since === null ? 0 : this.context.now.monotonic - since;
  }

  /**
   * A submission that must be refused is only looked up at the other node, as a repeat of an accepted one is answered with
   * its state: an earlier version there may accept what can never run (upgrade-invalid-requests.txt).
   */
  private forward(request: UserRequest, refusal: UserResponse | null, answer: Respond): boolean {
    if (refusal === null) return this.dependencies.forward(request, answer);
    return this.dependencies.forward({ op: 'query', id: request.id }, (found) =>
      answer(found.status === 404 ? refusal : found),
    );
  }

  /** Why a submission can't be taken, whoever is asked; null: it can, as far as this node knows. */
  private validate(spec: JobSpec | null, problem: string): UserResponse | null {
    if (!spec) return { status: 400, problem };
    const types = this.dependencies.machineTypes();
    if (types.size === 0) return MACHINE_TYPES_UNKNOWN;
    const reason = infeasibilityReason(spec, types, this.context.settings.teamQuotas);
    return reason === null ? null : { status: 422, problem: reason };
  }

  private submit(id: JobId, spec: JobSpec | null, refusal: UserResponse | null, reply: Continuation): void {
    // A repeat of a submission that was taken.
    if (spec && this.jobCache.get(id)) {
      this.linearizableReads.enqueue({ id, responseIfMissing: STATE_STORE_UNAVAILABLE, ...reply });
      return;
    }
    if (!spec || refusal) {
      this.reader.respond({ id, responseIfMissing: refusal ?? STATE_STORE_UNAVAILABLE, ...reply });
      return;
    }
    const { maxValueBytes } = this.context.settings.stateStore;
    const value = encodeJob(this.newRecord(spec), maxValueBytes);
    if (JSON.stringify(value).length > maxValueBytes - this.reservedBytes()) {
      this.reader.respond({ id, responseIfMissing: RECORD_TOO_LONG, ...reply });
      return;
    }
    const key = jobKey(id);
    const conditions = [{ key, version: ABSENT_VERSION }];
    const changes: StateChange[] = [{ put: key, value }];
    const onResult: OnStateStoreResult = (result) => {
      if (result.ok) {
        if (result.value.revision !== undefined) this.jobCache.update({ key, value, version: result.value.revision });
        return reply.respond({ status: 201, id, jobStatus: 'queued', done: 0, running: 0 });
      }
      // Another submission was first, or this one may have been written: a read tells. If it shows nothing, the user asks
      // again.
      const mayExist = result.error.code === 'conflict' || result.error.code === 'outcomeUnknown';
      if (mayExist) this.reader.respond({ id, responseIfMissing: STATE_STORE_UNAVAILABLE, ...reply });
      else reply.onUnavailable();
    };
    this.context.stateStore.call(
      { op: 'compareAndSwap', conditions, changes },
      WRITE_PRIORITY,
      onResult,
      SUBMIT_OPTIONS,
    );
  }

  /** What a record may yet grow by: its first start, and the zones of all its starts. */
  private reservedBytes(): number {
    return RECORD_RESERVED_BYTES + JSON.stringify(this.context.settings.zones).length;
  }

  private newRecord(spec: JobSpec): JobRecord {
    const submittedAt = this.context.now.wallClock;
    return {
      spec,
      submittedAt,
      state: 'accepted',
      startTerm: 0,
      startZone: null,
      startZones: null,
      done: new RangeSet(),
    };
  }

  /** Tried first on the cached record: the condition on its version shows whether that is the present one. */
  private cancel(id: JobId, reply: Continuation, tries: number): void {
    const known = this.jobCache.get(id);
    if (known && tries === 1) {
      this.writeCancellation(known, reply, tries);
      return;
    }
    this.reader.read(
      id,
      (job) => this.writeCancellation(job, reply, tries),
      () => reply.respond(JOB_NOT_FOUND),
      reply.onUnavailable,
    );
  }

  private writeCancellation({ record, version }: CachedJob, reply: Continuation, tries: number): void {
    const { id } = record.spec;
    // One that an earlier try put on record, without an answer, is news to the leader all the same.
    if (record.state === 'cancelled') {
      this.respondCancelled(record, reply);
      return;
    }
    if (record.state !== 'accepted') {
      reply.respond(this.reader.statusResponse(record));
      return;
    }
    const cancelled: JobRecord = { ...record, state: 'cancelled' };
    const key = jobKey(id);
    const value = encodeJob(cancelled, this.context.settings.stateStore.maxValueBytes);
    const conditions = [{ key, version }];
    const changes: StateChange[] = [{ put: key, value }];
    const onResult: OnStateStoreResult = (result) => {
      if (result.ok) {
        if (result.value.revision !== undefined) this.jobCache.update({ key, value, version: result.value.revision });
        return this.respondCancelled(cancelled, reply);
      }
      // Somebody wrote in between, or the outcome is unknown: looked at again.
      if (wasNotExecuted(result.error) || tries >= MAX_CANCEL_ATTEMPTS) reply.onUnavailable();
      else this.cancel(id, reply, tries + 1);
    };
    this.context.stateStore.call(
      { op: 'compareAndSwap', conditions, changes },
      WRITE_PRIORITY,
      onResult,
      CANCEL_OPTIONS,
    );
  }

  private respondCancelled(record: JobRecord, reply: Continuation): void {
    this.dependencies.broadcastCancellation(record.spec.id, () => reply.respond(this.reader.statusResponse(record)));
  }
}
