import type { Context } from './context.js';
import type { StoredItem, UserAnswer, UserMood, UserRequest } from './messages.js';
import { withinLimit } from './quotas.js';
import { RangeSet } from './ranges.js';
import { decodeJob, encodeJob, type JobRecord, jobKey } from './records.js';
import { ABSENT, type JobId, type JobSpec, type MachineType, type TypeName } from './types.js';

type Answer = (answer: UserAnswer) => void;

export interface DeskHelp {
  types(): ReadonlyMap<TypeName, MachineType>;
  counts(id: JobId): { done: number; running: number } | null;
  /** Passes a request to a node that the state service answers; false if there is none. */
  relay(request: UserRequest, answer: Answer): boolean;
}

const BUSY: UserAnswer = { status: 503, problem: 'the state service does not answer', retryAfterS: 1 };
const FINAL_KEPT = 50_000;
const TRIES = 3;

/**
 * Users' requests, on every node. What is said of a job that isn't over always comes from a read of the store in that
 * request: another node may have cancelled or finished it a moment ago. Only final states are kept in memory.
 */
export class Desk {
  private readonly finals = new Map<JobId, { mood: 'done' | 'cancelled'; done: number }>();

  constructor(
    private readonly ctx: Context,
    private readonly help: DeskHelp,
  ) {}

  /** `relayed`: it came from another node and isn't passed on again. */
  handle(request: UserRequest, answer: Answer, relayed = false): void {
    const final = this.finals.get(request.id);
    if (final) {
      return answer({ status: 200, id: request.id, mood: final.mood, done: final.done, running: 0 });
    }
    // A call that brought nothing here may still work for a node that the state service hasn't shut out. Passing the
    // whole request on also settles an unknown outcome: there it is found carried out, or carried out now.
    const failed = (): void => {
      if (relayed || !this.help.relay(request, answer)) answer(BUSY);
    };
    if (this.refusedLately() && !relayed && this.help.relay(request, answer)) return;
    if (request.op === 'submit') this.submit(request.id, request.spec, request.problem, answer, failed);
    else if (request.op === 'poll') this.read(request.id, answer, failed, this.notFound());
    else this.cancel(request.id, answer, failed, 0);
  }

  private refusedLately(): boolean {
    const since = this.ctx.storeFailingSince;
    return since !== null && this.ctx.now.steady - since > 300;
  }

  private notFound(): UserAnswer {
    return { status: 404, problem: 'no such job' };
  }

  private keepFinal(id: JobId, mood: 'done' | 'cancelled', done: number): void {
    if (this.finals.size >= FINAL_KEPT) {
      const oldest = this.finals.keys().next();
      if (!oldest.done) this.finals.delete(oldest.value);
    }
    this.finals.set(id, { mood, done });
  }

  private describe(record: JobRecord): UserAnswer {
    const { id } = record.spec;
    if (record.state !== 'accepted') {
      this.keepFinal(id, record.state, record.done.count);
      return { status: 200, id, mood: record.state, done: record.done.count, running: 0 };
    }
    const counts = this.help.counts(id);
    const started = counts ? counts.running > 0 : record.startTerm > 0;
    const mood: UserMood = started ? 'running' : 'queued';
    return { status: 200, id, mood, done: counts?.done ?? record.done.count, running: counts?.running ?? 0 };
  }

  private fetch(
    id: JobId,
    then: (item: StoredItem, record: JobRecord) => void,
    missing: () => void,
    failed: () => void,
  ): void {
    this.ctx.store(
      { op: 'get', key: jobKey(id) },
      2,
      (r) => {
        if (!r.ok) return failed();
        if (!r.value.item) return missing();
        const record = decodeJob(r.value.item.value);
        if (!record) return failed();
        then(r.value.item, record);
      },
      1000,
      700,
    );
  }

  private read(id: JobId, answer: Answer, failed: () => void, missing: UserAnswer): void {
    this.fetch(
      id,
      (_, record) => answer(this.describe(record)),
      () => answer(missing),
      failed,
    );
  }

  private submit(id: JobId, spec: JobSpec | null, problem: string, answer: Answer, failed: () => void): void {
    if (!spec) return this.read(id, answer, failed, { status: 400, problem });
    const types = this.help.types();
    if (types.size === 0) {
      return this.read(id, answer, failed, {
        status: 503,
        problem: 'the machine types are not known yet',
        retryAfterS: 1,
      });
    }
    const never = this.neverRuns(spec, types);
    if (never) return this.read(id, answer, failed, { status: 422, problem: never });
    const record: JobRecord = {
      spec,
      submittedAt: this.ctx.now.wall,
      state: 'accepted',
      startTerm: 0,
      startZone: null,
      done: new RangeSet(),
    };
    this.ctx.store(
      {
        op: 'txn',
        conditions: [{ key: jobKey(id), version: ABSENT }],
        changes: [{ put: jobKey(id), value: encodeJob(record, 0) }],
      },
      2,
      (r) => {
        if (r.ok) return answer({ status: 201, id, mood: 'queued', done: 0, running: 0 });
        if (r.why === 'conflict') return this.read(id, answer, failed, BUSY);
        // Unknown: it may have been written. The read tells; if it shows nothing the user asks again.
        if (r.why === 'unknown') return this.read(id, answer, failed, BUSY);
        failed();
      },
      1200,
      1500,
    );
  }

  private neverRuns(spec: JobSpec, types: ReadonlyMap<TypeName, MachineType>): string | null {
    const team = this.ctx.settings.teams.find((t) => t.name === spec.team);
    if (!team) return 'unknown team';
    let fits = false;
    for (const t of types.values()) {
      if (spec.types !== null && !spec.types.includes(t.name)) continue;
      if (spec.zone !== null && !t.zones.includes(spec.zone)) continue;
      if (spec.cpus <= t.cpus && spec.gpus <= t.gpus && spec.memGb <= t.memGb) fits = true;
    }
    if (!fits) return 'a task fits no allowed machine type';
    if (!withinLimit(team, spec)) return 'more than the limit of its team';
    return null;
  }

  private cancel(id: JobId, answer: Answer, failed: () => void, tries: number): void {
    this.fetch(
      id,
      (item, record) => {
        if (record.state !== 'accepted') return answer(this.describe(record));
        const cancelled: JobRecord = { ...record, state: 'cancelled' };
        this.ctx.store(
          {
            op: 'txn',
            conditions: [{ key: jobKey(id), version: item.version }],
            changes: [{ put: jobKey(id), value: encodeJob(cancelled, Number.POSITIVE_INFINITY) }],
          },
          2,
          (r) => {
            if (r.ok) return answer(this.describe(cancelled));
            // Somebody wrote in between, or the outcome is unknown: look again.
            if (r.why === 'refused' || tries + 1 >= TRIES) return failed();
            this.cancel(id, answer, failed, tries + 1);
          },
          1000,
          1000,
        );
      },
      () => answer(this.notFound()),
      failed,
    );
  }
}
