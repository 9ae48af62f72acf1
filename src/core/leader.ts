import { Autoscaler } from './autoscaler.js';
import { type BeatReply, Beats } from './beats.js';
import { knowledgeMs } from './bounds.js';
import { Cluster } from './cluster.js';
import type { Context } from './context.js';
import type { Election, Leadership } from './election.js';
import { Machine } from './fleet.js';
import { Ledger } from './ledger.js';
import type { StoredItem } from './messages.js';
import type { JobMirror, MirroredJob } from './mirror.js';
import { MACHINE_PREFIX, type MachineRecord } from './records.js';
import { Registry } from './registry.js';
import { moveToCached } from './scheduler/moves.js';
import { preempt } from './scheduler/preempt.js';
import { scheduleRound } from './scheduler/round.js';
import { placeServices } from './scheduler/services.js';
import { type JobId, type MachineType, type Steady, steadyPlus, type TypeName, type WorkerReport } from './types.js';
import { Upkeep } from './upkeep.js';

/**
 * The holder of the lead. A new one is made for every term. Here: reading what earlier terms left, rounds, and how the
 * parts hang together: beats.ts talks with workers, ledger.ts writes, upkeep.ts and autoscaler.ts look after machines.
 */
export class Leader {
  readonly cluster: Cluster;
  private readonly scaler: Autoscaler;
  private readonly ledger: Ledger;
  private readonly beats: Beats;
  private readonly upkeep: Upkeep;
  private readonly registry: Registry;
  private readonly since: Steady;
  private readonly knowledgeMs: number;
  private loaded = false;
  private loading = false;
  private stopped = false;
  private lastRoundAt = 0 as Steady;
  private rounds = 0;
  private lastSteps = 0;
  private unheardSince: Steady | null = null;

  constructor(
    private readonly ctx: Context,
    private readonly election: Election,
    private readonly mirror: JobMirror,
    leadership: Leadership,
    types: ReadonlyMap<TypeName, MachineType>,
    private readonly seed: number,
  ) {
    this.since = ctx.now.steady;
    this.knowledgeMs = knowledgeMs(ctx.settings);
    this.cluster = new Cluster(ctx, leadership.term);
    this.cluster.types = types;
    this.registry = new Registry(ctx.settings.store.valueBytes);
    this.ledger = new Ledger(this.cluster, leadership, this.registry, {
      valid: () => this.valid() && this.loaded,
      learn: (item) => void this.mirror.take(item),
      onWritten: () => {
        this.beats.release();
        this.beats.sendDirect();
      },
    });
    this.beats = new Beats(this.cluster, leadership, {
      valid: () => this.valid(),
      informed: () => this.informed(),
      loaded: () => this.loaded,
      writing: () => this.ledger.busy,
      jobsFreshAt: () => this.mirror.freshAt,
      register: (m) => this.ledger.register(m),
      soonRound: () => this.soonRound(),
    });
    this.upkeep = new Upkeep(this.cluster, () => this.soonRound());
    this.scaler = new Autoscaler(
      this.cluster,
      (m) => this.ledger.register(m),
      (m) => this.ledger.drop(m),
    );
    this.load();
    ctx.timers.set('fleet', this.at(1000));
  }

  setTypes(types: ReadonlyMap<TypeName, MachineType>): void {
    this.cluster.types = types;
    if (!this.loaded) this.load();
  }

  stop(): void {
    this.stopped = true;
    this.ledger.stop();
    this.beats.stop();
    for (const t of ['round', 'flush', 'held', 'fleet', 'direct', 'load', 'services'] as const)
      this.ctx.timers.clear(t);
  }

  private valid(): boolean {
    return !this.stopped && this.election.valid();
  }

  /**
   * A leader whose lease is renewed while it hears nothing of jobs would keep cancelled tasks alive for ever: its answers
   * count for nothing then, and it lets go of the lead (uninformed-leader.txt).
   */
  private informed(): boolean {
    const knownAt = this.loaded ? this.mirror.freshAt : this.since;
    return this.ctx.now.steady - knownAt < this.knowledgeMs;
  }

  private at(ms: number): Steady {
    return steadyPlus(this.ctx.now.steady, ms);
  }

  // ---- rebuilding from the store

  /** Reads machines and jobs as they stand after the key was taken; tried again until it works. */
  load(): void {
    if (this.loaded || this.loading || this.stopped || this.cluster.types.size === 0) return;
    this.loading = true;
    let pages: StoredItem[] | null = null;
    let jobs = false;
    const part = (ok: boolean): void => {
      if (this.stopped || this.loaded || !this.loading) return;
      if (!ok) {
        this.loading = false;
        this.ctx.timers.set('load', this.at(300));
      } else if (pages !== null && jobs) this.takeOver(pages);
    };
    this.readPages((items) => {
      pages = items;
      part(items !== null);
    });
    this.mirror.read((ok) => {
      jobs = ok;
      part(ok);
    });
  }

  private readPages(then: (items: StoredItem[] | null) => void): void {
    const all: StoredItem[] = [];
    const next = (after: string | null): void => {
      this.ctx.store({ op: 'list', prefix: MACHINE_PREFIX, after, limit: 500 }, 1, (r) => {
        if (!r.ok) return then(null);
        all.push(...(r.value.items ?? []));
        const last = all[all.length - 1];
        if (r.value.more && last) return next(last.key);
        then(all);
      });
    };
    next(null);
  }

  private takeOver(pages: readonly StoredItem[]): void {
    for (const job of this.mirror.all()) this.cluster.learnJob(job.record, job.version);
    for (const item of pages) {
      for (const record of this.registry.load(item)) this.restoreMachine(record, item.key);
    }
    this.registry.spreadAll();
    this.loaded = true;
    this.loading = false;
    const machines = this.cluster.machines.size;
    this.ctx.log('info', 'state read', { jobs: this.mirror.size, machines });
    this.cluster.countUnaccounted();
    this.scaler.list();
    this.beats.fence();
    this.ctx.timers.set('round', this.at(50));
    this.ctx.timers.set('fleet', this.at(500));
  }

  private restoreMachine(record: MachineRecord, key: string): void {
    const type = this.cluster.types.get(record.type);
    if (this.cluster.machines.has(record.id)) return this.registry.noteDouble(key);
    // A record that isn't understood stays as it is: its page is never written without it.
    if (!type) return this.registry.keep(key, record);
    const now = this.ctx.now.steady;
    const m = new Machine(record.id, type, record.zone, record.spot, record.addr, false, 'up', now);
    m.fetchSpeed = record.fetchSpeed;
    for (const image of record.images) {
      const gb = this.cluster.imageGb.get(image);
      if (gb !== undefined) m.restoreImage(image, gb, now);
    }
    this.cluster.machines.set(m.id, m);
    this.registry.restore(m, key);
  }

  /** The mirror has a newer record of a job: a submission, a cancellation, or what we wrote ourselves. */
  onRecord(seen: MirroredJob): void {
    if (!this.loaded || this.stopped) return;
    const known = this.cluster.jobs.get(seen.record.spec.id);
    if (known && known.version >= seen.version) return;
    this.cluster.learnJob(seen.record, seen.version);
    this.soonRound();
  }

  /** A peer has put a cancellation on record; the store's own word of it may take long to come through. */
  heedCancelled(id: JobId): void {
    if (!this.stopped) this.cluster.cancelByWord(id);
  }

  // ---- workers

  onBeat(report: WorkerReport, reply: BeatReply): void {
    this.beats.take(report, reply);
  }

  releaseHeld(): void {
    this.beats.release();
  }

  sendDirect(): void {
    this.beats.sendDirect();
  }

  flush(): void {
    this.ledger.flush();
  }

  // ---- rounds

  /** Replicas that wait are given places at once, and their starts go out directly. */
  placeServices(): void {
    if (!this.valid() || !this.loaded) return;
    this.cluster.servicesAt = this.ctx.now.steady;
    if (placeServices(this.cluster) === 0) return;
    this.ledger.flush();
    this.beats.sendDirect();
  }

  private soonRound(): void {
    this.cluster.wakeServices();
    const { spacing_ms, spacing_per_machine_ms, spacing_per_step_ms } = this.ctx.tuning.scheduler;
    const cost = spacing_per_machine_ms * this.cluster.machines.size + spacing_per_step_ms * this.lastSteps;
    const earliest = steadyPlus(this.lastRoundAt, spacing_ms + cost);
    const at = Math.max(earliest, this.ctx.now.steady + 20) as Steady;
    const next = this.ctx.timers.at('round');
    if (next === null || next > at) this.ctx.timers.set('round', at);
  }

  round(): void {
    this.ctx.timers.set('round', this.at(this.ctx.tuning.scheduler.period_ms));
    this.lastRoundAt = this.ctx.now.steady;
    if (!this.valid() || !this.loaded) return;
    this.rounds += 1;
    this.placeServices();
    const result = scheduleRound(this.cluster, (this.seed + this.rounds * 7919) | 0);
    this.lastSteps = result.steps;
    moveToCached(this.cluster);
    preempt(this.cluster, result);
    this.scaler.consider(result);
    this.ledger.flush();
    this.beats.release();
  }

  /** Once a second: silence, losses, returns. */
  tend(): void {
    this.ctx.timers.set('fleet', this.at(1000));
    if (!this.valid()) return;
    if (!this.informed()) return this.election.resign('what is known of jobs is too old');
    if (!this.loaded) return;
    this.upkeep.tend();
    this.beats.probe();
    this.scaler.tend(this.since);
    this.registry.noteHints();
    this.ledger.flush();
    this.yieldIfUnheard();
  }

  private yieldIfUnheard(): void {
    const now = this.ctx.now.steady;
    if (!this.upkeep.unheard()) {
      this.unheardSince = null;
      return;
    }
    this.unheardSince ??= now;
    if (now - this.unheardSince < this.ctx.tuning.leadership.resign_after_ms) return;
    this.election.resign('machines report but hear nothing from this node');
  }

  /** Counts for display, where this node knows them. */
  counts(id: JobId): { done: number; running: number } | null {
    if (!this.valid() || !this.loaded) return null;
    const job = this.cluster.jobs.get(id);
    return job ? { done: job.done.count, running: job.runningCount() } : null;
  }
}
