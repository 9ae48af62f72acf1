import type { Context } from '../context.js';
import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import { RangeSet } from '../jobs/range_set.js';
import type { MachineTypes } from '../machines/catalog.js';
import type { Change, OnStoreResult, UserAnswer, UserRequest } from '../messages.js';
import { encodeJob, type JobRecord, jobKey } from '../records.js';
import { ABSENT, type JobId, type JobSpec } from '../types.js';
import { BUSY, JobReader, NOT_FOUND, type OnAnswer, type TaskCounts } from './job_reader.js';
import { PollConfirmation } from './poll_confirmation.js';
import { whyNeverRuns } from './submission_checks.js';

export interface RequestDependencies {
  machineTypes(): MachineTypes;
  /** Null where this node doesn't lead. */
  taskCounts(id: JobId): TaskCounts | null;
  /** Passes a request to a node that the state service answers; false if there is none. */
  relay(request: UserRequest, answer: OnAnswer): boolean;
  /** Tells whoever leads of a cancellation that is on record; `done` follows soon, acknowledged or not. */
  notifyCancelled(id: JobId, done: () => void): void;
}

const MAX_CANCEL_TRIES = 3;
const WRITE_PRIORITY = 2;
const SUBMIT_OPTIONS = { timeoutMs: 1200, maxQueueMs: 1500, refuseEarly: true } as const;
const CANCEL_OPTIONS = { timeoutMs: 1000, maxQueueMs: 1000, refuseEarly: true } as const;
/** A new record leaves so much of a value's limit free for what is added to it later, beside the names of zones. */
const RECORD_SPARE_BYTES = 64;
/** The state service has refused this node for so long: a peer is asked first, or nobody. */
const ASK_PEER_AFTER_MS = 300;
const GIVE_UP_AFTER_MS = 1500;

const TYPES_UNKNOWN: UserAnswer = { status: 503, problem: 'the machine types are not known yet', retryAfterS: 1 };
const TOO_LONG: UserAnswer = { status: 422, problem: 'its description is longer than can be kept' };

/** How one request is answered. */
interface Reply {
  readonly answer: OnAnswer;
  /** The state service gave this node no answer. */
  readonly failed: () => void;
}

/**
 * Users' requests, on every node. What is said of a job that isn't over is confirmed by the store in that request: another
 * node may have cancelled or finished it a moment ago. Only final states, which never change, are told from the cache.
 */
export class RequestHandler {
  private readonly reader: JobReader;
  private readonly polls: PollConfirmation;

  constructor(
    private readonly ctx: Context,
    private readonly cache: JobCache,
    private readonly dependencies: RequestDependencies,
  ) {
    this.reader = new JobReader(ctx, cache, (id) => dependencies.taskCounts(id));
    this.polls = new PollConfirmation(ctx, cache, this.reader);
  }

  confirmPolls(): void {
    this.polls.confirm();
  }

  /** `relayed`: the request came from another node and isn't passed on again. */
  handle(request: UserRequest, answer: OnAnswer, relayed = false): void {
    const known = this.cache.get(request.id);
    if (known && known.record.state !== 'accepted') {
      answer(this.reader.describe(known.record));
      return;
    }
    const refusal = request.op === 'submit' ? this.refusalOf(request.spec, request.problem) : null;
    const passOn = (): boolean => !relayed && this.passOn(request, refusal, answer);
    const failingMs = this.storeFailingMs();
    if (failingMs > ASK_PEER_AFTER_MS && passOn()) return;
    // Nothing here can be confirmed, and nobody else is there to ask: said at once, with when to come back.
    if (failingMs > GIVE_UP_AFTER_MS) {
      answer(BUSY);
      return;
    }
    // A call that brought nothing here may still work for a node that the state service hasn't shut out. Passing the
    // whole request on also settles an unknown outcome: there it is found carried out, or carried out now.
    const failed = (): void => {
      if (!passOn()) answer(BUSY);
    };
    this.carryOut(request, refusal, { answer, failed });
  }

  private carryOut(request: UserRequest, refusal: UserAnswer | null, reply: Reply): void {
    switch (request.op) {
      case 'submit':
        this.submit(request.id, request.spec, refusal, reply);
        return;
      case 'poll':
        this.polls.add({ id: request.id, ifMissing: NOT_FOUND, ...reply });
        return;
      case 'cancel':
        this.cancel(request.id, reply, 1);
        return;
    }
  }

  /** For how long the state service has refused this node or not answered it; 0: it answers. */
  private storeFailingMs(): number {
    const since = this.ctx.storeFailingSince;
    return since === null ? 0 : this.ctx.now.steady - since;
  }

  /**
   * A submission that must be refused is only looked up at the other node, as a repeat of an accepted one is answered with
   * its state: an earlier version there may accept what can never run (upgrade-invalid-requests.txt).
   */
  private passOn(request: UserRequest, refusal: UserAnswer | null, answer: OnAnswer): boolean {
    if (refusal === null) return this.dependencies.relay(request, answer);
    return this.dependencies.relay({ op: 'poll', id: request.id }, (found) =>
      answer(found.status === 404 ? refusal : found),
    );
  }

  /** Why a submission can't be taken, whoever is asked; null: it can, as far as this node knows. */
  private refusalOf(spec: JobSpec | null, problem: string): UserAnswer | null {
    if (!spec) return { status: 400, problem };
    const types = this.dependencies.machineTypes();
    if (types.size === 0) return TYPES_UNKNOWN;
    const reason = whyNeverRuns(spec, types, this.ctx.settings.teams);
    return reason === null ? null : { status: 422, problem: reason };
  }

  private submit(id: JobId, spec: JobSpec | null, refusal: UserAnswer | null, reply: Reply): void {
    // A repeat of a submission that was taken.
    if (spec && this.cache.get(id)) {
      this.polls.add({ id, ifMissing: BUSY, ...reply });
      return;
    }
    if (!spec || refusal) {
      this.reader.answer({ id, ifMissing: refusal ?? BUSY, ...reply });
      return;
    }
    const { valueBytes } = this.ctx.settings.store;
    const value = encodeJob(this.newRecord(spec), valueBytes);
    if (JSON.stringify(value).length > valueBytes - this.spareBytes()) {
      this.reader.answer({ id, ifMissing: TOO_LONG, ...reply });
      return;
    }
    const key = jobKey(id);
    const conditions = [{ key, version: ABSENT }];
    const changes: Change[] = [{ put: key, value }];
    const onResult: OnStoreResult = (result) => {
      if (result.ok) {
        if (result.value.revision !== undefined) this.cache.update({ key, value, version: result.value.revision });
        return reply.answer({ status: 201, id, jobStatus: 'queued', done: 0, running: 0 });
      }
      // Another submission was first, or this one may have been written: a read tells. If it shows nothing, the user asks
      // again.
      const mayExist = result.why === 'conflict' || result.why === 'unknown';
      if (mayExist) this.reader.answer({ id, ifMissing: BUSY, ...reply });
      else reply.failed();
    };
    this.ctx.store({ op: 'txn', conditions, changes }, WRITE_PRIORITY, onResult, SUBMIT_OPTIONS);
  }

  /** What a record may yet grow by: its first start, and the zones of all its starts. */
  private spareBytes(): number {
    return RECORD_SPARE_BYTES + JSON.stringify(this.ctx.settings.zones).length;
  }

  private newRecord(spec: JobSpec): JobRecord {
    const submittedAt = this.ctx.now.wall;
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
  private cancel(id: JobId, reply: Reply, tries: number): void {
    const known = this.cache.get(id);
    if (known && tries === 1) {
      this.writeCancellation(known, reply, tries);
      return;
    }
    this.reader.fetch(
      id,
      (job) => this.writeCancellation(job, reply, tries),
      () => reply.answer(NOT_FOUND),
      reply.failed,
    );
  }

  private writeCancellation({ record, version }: CachedJob, reply: Reply, tries: number): void {
    const { id } = record.spec;
    // One that an earlier try put on record, without an answer, is news to the leader all the same.
    if (record.state === 'cancelled') {
      this.confirmCancelled(record, reply);
      return;
    }
    if (record.state !== 'accepted') {
      reply.answer(this.reader.describe(record));
      return;
    }
    const cancelled: JobRecord = { ...record, state: 'cancelled' };
    const key = jobKey(id);
    const value = encodeJob(cancelled, this.ctx.settings.store.valueBytes);
    const conditions = [{ key, version }];
    const changes: Change[] = [{ put: key, value }];
    const onResult: OnStoreResult = (result) => {
      if (result.ok) {
        if (result.value.revision !== undefined) this.cache.update({ key, value, version: result.value.revision });
        return this.confirmCancelled(cancelled, reply);
      }
      // Somebody wrote in between, or the outcome is unknown: looked at again.
      if (result.why === 'refused' || tries >= MAX_CANCEL_TRIES) reply.failed();
      else this.cancel(id, reply, tries + 1);
    };
    this.ctx.store({ op: 'txn', conditions, changes }, WRITE_PRIORITY, onResult, CANCEL_OPTIONS);
  }

  private confirmCancelled(record: JobRecord, reply: Reply): void {
    this.dependencies.notifyCancelled(record.spec.id, () => reply.answer(this.reader.describe(record)));
  }
}
