import type { Context } from '../context.js';
import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import { RangeSet } from '../jobs/range_set.js';
import type { JobStatus, UserAnswer, UserRequest } from '../messages.js';
import { encodeJob, JOB_PREFIX, type JobRecord, jobKey } from '../records.js';
import { withinLimit } from '../scheduler/quotas.js';
import {
  ABSENT,
  type JobId,
  type JobSpec,
  type MachineType,
  type Steady,
  steadyPlus,
  type TypeName,
  type ZoneName,
} from '../types.js';

type Answer = (answer: UserAnswer) => void;

export interface RequestDependencies {
  machineTypes(): ReadonlyMap<TypeName, MachineType>;
  taskCounts(id: JobId): { done: number; running: number } | null;
  /** Passes a request to a node that the state service answers; false if there is none. */
  relay(request: UserRequest, answer: Answer): boolean;
  /** Tells whoever leads of a cancellation that is on record; `then` follows soon, heard or not. */
  notifyCancelled(id: JobId, then: () => void): void;
}

const BUSY: UserAnswer = { status: 503, problem: 'the state service does not answer', retryAfterS: 1 };
const TRIES = 3;
/** Polls that come within so many milliseconds are confirmed by one call. Users wait 2 s for an answer. */
const GATHER_MS = 120;

interface Poll {
  readonly id: JobId;
  readonly answer: Answer;
  readonly failed: () => void;
}

/**
 * Users' requests, on every node. What is said of a job that isn't over is confirmed by the store in that request: another
 * node may have cancelled or finished it a moment ago. The mirror spares most reads: one transaction that only compares
 * the versions of many mirrored records, begun after their polls arrived, says as much as a read of each. Only final
 * states, which never change, are told from the mirror itself.
 */
export class RequestHandler {
  private polls: Poll[] = [];
  private confirming = 0;

  constructor(
    private readonly ctx: Context,
    private readonly jobCache: JobCache,
    private readonly dependencies: RequestDependencies,
  ) {}

  /** `relayed`: it came from another node and isn't passed on again. */
  handle(request: UserRequest, answer: Answer, relayed = false): void {
    const known = this.jobCache.get(request.id);
    if (known && known.record.state !== 'accepted') return answer(this.describe(known.record));
    // A call that brought nothing here may still work for a node that the state service hasn't shut out. Passing the
    // whole request on also settles an unknown outcome: there it is found carried out, or carried out now.
    const refusal = request.op === 'submit' ? this.refusalOf(request.spec, request.problem) : null;
    const passOn = (): boolean => !relayed && this.passOn(request, refusal, answer);
    const failed = (): void => {
      if (!passOn()) answer(BUSY);
    };
    if (this.refusedLately()) {
      if (passOn()) return;
      // Nothing here can be confirmed, and nobody else is there to ask: said at once, with when to come back.
      if (this.shutOut()) return answer(BUSY);
    }
    if (request.op === 'submit') this.submit(request.id, request.spec, refusal, answer, failed);
    else if (request.op === 'poll') this.poll(request.id, answer, failed, this.notFound());
    else this.cancel(request.id, answer, failed, 0);
  }

  /**
   * A submission that must be refused is only looked up at the other node, as a repeat of an accepted one is answered with
   * its state: an earlier version there may accept what can never run (upgrade-odd-requests.txt).
   */
  private passOn(request: UserRequest, refusal: UserAnswer | null, answer: Answer): boolean {
    if (refusal === null) return this.dependencies.relay(request, answer);
    return this.dependencies.relay({ op: 'poll', id: request.id }, (found) =>
      answer(found.status === 404 ? refusal : found),
    );
  }

  /** A poll of a job that the mirror knows waits for the next confirmation, others are read. */
  private poll(id: JobId, answer: Answer, failed: () => void, missing: UserAnswer): void {
    if (!this.jobCache.get(id)) return this.read(id, answer, failed, missing);
    this.polls.push({ id, answer, failed });
    if (this.ctx.timers.at('pollConfirmation') === null) this.ctx.timers.set('pollConfirmation', this.at(GATHER_MS));
  }

  private at(ms: number): Steady {
    return steadyPlus(this.ctx.now.steady, ms);
  }

  /** Confirms what was gathered. */
  confirm(): void {
    if (this.polls.length === 0 || this.confirming > 1) return;
    const most = 4 * this.ctx.settings.store.txnOps;
    const asked = new Map<JobId, { seen: CachedJob; polls: Poll[] }>();
    const later: Poll[] = [];
    for (const poll of this.polls) {
      const seen = this.jobCache.get(poll.id);
      const entry = asked.get(poll.id);
      if (entry) entry.polls.push(poll);
      else if (!seen) this.read(poll.id, poll.answer, poll.failed, this.notFound());
      else if (seen.record.state !== 'accepted') poll.answer(this.describe(seen.record));
      else if (asked.size < most) asked.set(poll.id, { seen, polls: [poll] });
      else later.push(poll);
    }
    this.polls = later;
    if (later.length > 0) this.ctx.timers.set('pollConfirmation', this.at(1));
    if (asked.size === 0) return;
    this.confirming += 1;
    const conditions = [...asked].map(([id, { seen }]) => ({ key: jobKey(id), version: seen.version }));
    this.ctx.store(
      { op: 'txn', conditions, changes: [] },
      2,
      (result) => {
        this.confirming -= 1;
        if (this.polls.length > 0 && this.ctx.timers.at('pollConfirmation') === null)
          this.ctx.timers.set('pollConfirmation', this.at(1));
        const changed = new Set(result.ok ? [] : result.why === 'conflict' ? (result.keys ?? []) : []);
        // A conflict that names nothing we asked for confirms nothing.
        const named = [...changed].some((k) => asked.has(k.slice(JOB_PREFIX.length) as JobId));
        for (const [id, { seen, polls }] of asked) {
          for (const p of polls) {
            if (result.ok) p.answer(this.describe(seen.record));
            else if (result.why !== 'conflict') p.failed();
            else if (!named || changed.has(jobKey(id))) this.read(id, p.answer, p.failed, this.notFound());
            // The rest of a transaction that failed proves nothing by itself: they go with the next.
            else this.poll(id, p.answer, p.failed, this.notFound());
          }
        }
      },
      1000,
      600,
    );
  }

  /** The state service has not answered for so long that asking again in each request helps nobody. */
  private shutOut(): boolean {
    const since = this.ctx.storeFailingSince;
    return since !== null && this.ctx.now.steady - since > 1500;
  }

  private refusedLately(): boolean {
    const since = this.ctx.storeFailingSince;
    return since !== null && this.ctx.now.steady - since > 300;
  }

  private notFound(): UserAnswer {
    return { status: 404, problem: 'no such job' };
  }

  private describe(record: JobRecord): UserAnswer {
    const { id } = record.spec;
    if (record.state !== 'accepted') {
      return { status: 200, id, jobStatus: record.state, done: record.done.count, running: 0 };
    }
    const counts = this.dependencies.taskCounts(id);
    const started = counts ? counts.running > 0 : record.startTerm > 0;
    const jobStatus: JobStatus = started ? 'running' : 'queued';
    return { status: 200, id, jobStatus, done: counts?.done ?? record.done.count, running: counts?.running ?? 0 };
  }

  private fetch(id: JobId, then: (seen: CachedJob) => void, missing: () => void, failed: () => void): void {
    this.ctx.store(
      { op: 'get', key: jobKey(id) },
      2,
      (result) => {
        if (!result.ok) return failed();
        if (!result.value.item) return missing();
        const seen = this.jobCache.update(result.value.item);
        if (!seen) return failed();
        then(seen);
      },
      1000,
      700,
    );
  }

  private read(id: JobId, answer: Answer, failed: () => void, missing: UserAnswer): void {
    this.fetch(
      id,
      (seen) => answer(this.describe(seen.record)),
      () => answer(missing),
      failed,
    );
  }

  /** Why a submission can't be taken, whoever is asked; null: it can, as far as this node knows. */
  private refusalOf(spec: JobSpec | null, problem: string): UserAnswer | null {
    if (!spec) return { status: 400, problem };
    const types = this.dependencies.machineTypes();
    if (types.size === 0) return { status: 503, problem: 'the machine types are not known yet', retryAfterS: 1 };
    const never = this.neverRuns(spec, types);
    return never === null ? null : { status: 422, problem: never };
  }

  private submit(
    id: JobId,
    spec: JobSpec | null,
    refusal: UserAnswer | null,
    answer: Answer,
    failed: () => void,
  ): void {
    if (spec && this.jobCache.get(id)) {
      // A repeat of a submission that was taken.
      return this.poll(id, answer, failed, BUSY);
    }
    if (!spec || refusal) return this.read(id, answer, failed, refusal ?? BUSY);
    const record: JobRecord = {
      spec,
      submittedAt: this.ctx.now.wall,
      state: 'accepted',
      startTerm: 0,
      startZone: null,
      done: new RangeSet(),
    };
    const value = encodeJob(record, this.ctx.settings.store.valueBytes);
    if (JSON.stringify(value).length > this.ctx.settings.store.valueBytes - 64) {
      return this.read(id, answer, failed, { status: 422, problem: 'its description is longer than can be kept' });
    }
    this.ctx.store(
      {
        op: 'txn',
        conditions: [{ key: jobKey(id), version: ABSENT }],
        changes: [{ put: jobKey(id), value }],
      },
      2,
      (result) => {
        if (result.ok) {
          if (result.value.revision !== undefined)
            this.jobCache.update({ key: jobKey(id), value, version: result.value.revision });
          return answer({ status: 201, id, jobStatus: 'queued', done: 0, running: 0 });
        }
        if (result.why === 'conflict') return this.read(id, answer, failed, BUSY);
        // Unknown: it may have been written. The read tells; if it shows nothing the user asks again.
        if (result.why === 'unknown') return this.read(id, answer, failed, BUSY);
        failed();
      },
      1200,
      1500,
    );
  }

  private neverRuns(spec: JobSpec, types: ReadonlyMap<TypeName, MachineType>): string | null {
    const team = this.ctx.settings.teams.find((t) => t.name === spec.team);
    if (!team) return 'unknown team';
    const zones = new Set<ZoneName>();
    for (const type of types.values()) {
      if (spec.types !== null && !spec.types.includes(type.name)) continue;
      if (spec.cpus > type.cpus || spec.gpus > type.gpus || spec.memGb > type.memGb) continue;
      for (const z of type.zones) if (spec.zone === null || spec.zone === z) zones.add(z);
    }
    if (zones.size === 0) return 'a task fits no allowed machine type';
    if (!withinLimit(team, spec)) return 'more than the limit of its team';
    // What has to run all at once and may have half of it in a zone needs two; an array goes on in turns.
    const together = spec.shape !== 'array' && spec.spread && spec.tasks > 1;
    if (together && (spec.sameZone || zones.size < 2))
      return 'its tasks must be in several zones and can only be in one';
    return null;
  }

  /** Tried first on the mirrored record: the condition on its version shows whether that is the present one. */
  private cancel(id: JobId, answer: Answer, failed: () => void, tries: number): void {
    const write = ({ record, version }: CachedJob): void => {
      // One that an earlier try put on record, without an answer, is news to the leader all the same.
      if (record.state === 'cancelled')
        return this.dependencies.notifyCancelled(id, () => answer(this.describe(record)));
      if (record.state !== 'accepted') return answer(this.describe(record));
      const cancelled: JobRecord = { ...record, state: 'cancelled' };
      const value = encodeJob(cancelled, this.ctx.settings.store.valueBytes);
      this.ctx.store(
        { op: 'txn', conditions: [{ key: jobKey(id), version }], changes: [{ put: jobKey(id), value }] },
        2,
        (result) => {
          if (result.ok) {
            if (result.value.revision !== undefined)
              this.jobCache.update({ key: jobKey(id), value, version: result.value.revision });
            return this.dependencies.notifyCancelled(id, () => answer(this.describe(cancelled)));
          }
          // Somebody wrote in between, or the outcome is unknown: look again.
          if (result.why === 'refused' || tries + 1 >= TRIES) return failed();
          this.cancel(id, answer, failed, tries + 1);
        },
        1000,
        1000,
      );
    };
    const known = this.jobCache.get(id);
    if (known && tries === 0) return write(known);
    this.fetch(id, write, () => answer(this.notFound()), failed);
  }
}
