import type { ImageName, MachineType, Resources, TypeName, ZoneName } from '../types.js';

/** A machine as a plan sees it: free room as a step function of time, in seconds from now. */
export interface PlanMachine {
  readonly slot: number;
  readonly zone: ZoneName;
  readonly type: MachineType;
  readonly spot: boolean;
  /** Step k: from times[k] on, this much is free. */
  times: number[];
  cpus: number[];
  gpus: number[];
  memGb: number[];
  /** What jobs without GPUs may still take of a machine with GPUs: only what GPU work could not use anyway. */
  spareCpus: number;
  spareMemGb: number;
  fetchS(image: ImageName, gb: number): number;
  /** An ordinary machine of a kind that gangs wait for which need whole ones and may not use spot machines. */
  readonly reservedForGangs: boolean;
  /** Largest share of a machine that a job needs whose image it holds. */
  readonly largestCachedShare: number;
}

export interface PlanJob extends Resources {
  readonly slot: number;
  readonly gang: boolean;
  readonly tasks: number;
  readonly durationS: number;
  readonly image: ImageName;
  readonly imageGb: number;
  readonly types: readonly TypeName[] | null;
  readonly spotOk: boolean;
  /** What a start on a spot machine is expected to cost through losses, in seconds. */
  readonly spotDelayS: number;
  readonly sameZone: boolean;
  /** Most tasks that each zone may still take; null: no such limit. */
  readonly zoneRoom: ReadonlyMap<ZoneName, number> | null;
  /** Zones that may host it. */
  readonly zones: readonly ZoneName[];
  /** The only zone it may ever use; null: any. */
  readonly boundTo: ZoneName | null;
  readonly weight: number;
  readonly waitedS: number;
  /** How much of its reluctance is left, 1 to 0: a job of which nothing has run for long takes what there is. */
  readonly penaltyFactor: number;
  /** Machines it had better not use. */
  readonly avoid: ReadonlySet<number> | null;
}

export interface PlannedStart {
  readonly job: number;
  readonly machine: number;
  readonly tasks: number;
  /** When the room is there, and when the image is too; seconds from now. */
  readonly roomAtS: number;
  readonly startAtS: number;
}

export interface Plan {
  readonly starts: PlannedStart[];
  /** The machines as the plan leaves them. */
  readonly machines: readonly PlanMachine[];
  readonly cost: number;
  /** Tasks that no machine of the plan can take. */
  readonly unplaced: Map<number, number>;
  /** Work spent on it, in plan steps: what bounds a round, so that a seed repeats. */
  readonly steps: number;
}

/** Seconds of start time that a job would rather wait than take a machine that others need more. */
export interface PlacementPenalties {
  /** For a machine with GPUs, by a job that asks for none. */
  readonly gpuS: number;
  /** For an ordinary machine, by a job that may use a spot one: cheaper, and the others can't. */
  readonly onDemandS: number;
  /** For a machine that waiting gangs have no choice but to use, by an array that may use spot ones. */
  readonly reservedS: number;
  /** For a machine that holds images of larger jobs: those would have to fetch elsewhere. */
  readonly cachedImageS: number;
  /** Room in the future counts this much more than its time: what is expected to end often doesn't. */
  readonly futureDiscount: number;
}

export interface Weights {
  readonly average: number;
  readonly maximum: number;
  readonly idle: number;
}

const EPS = 1e-6;
const UNPLACED_S = 600;

/** Field by field: a spread into a literal that goes on costs several microseconds, and a round makes thousands. */
export function cloneMachine(m: PlanMachine): PlanMachine {
  return {
    slot: m.slot,
    zone: m.zone,
    type: m.type,
    spot: m.spot,
    times: m.times.slice(),
    cpus: m.cpus.slice(),
    gpus: m.gpus.slice(),
    memGb: m.memGb.slice(),
    spareCpus: m.spareCpus,
    spareMemGb: m.spareMemGb,
    fetchS: m.fetchS,
    reservedForGangs: m.reservedForGangs,
    largestCachedShare: m.largestCachedShare,
  };
}

/** The part of a machine that one task takes, by what it takes most of. */
export function machineShare(r: Resources, t: MachineType): number {
  const of = (a: number, b: number): number => (b > 0 ? a / b : 0);
  return Math.max(of(r.cpus, t.cpus), of(r.gpus, t.gpus), of(r.memGb, t.memGb));
}

const at = (xs: number[], i: number): number => xs[i] as number;

function typeFits(job: PlanJob, t: MachineType): boolean {
  return (
    (job.types === null || job.types.includes(t.name)) &&
    job.cpus <= t.cpus + EPS &&
    job.gpus <= t.gpus + EPS &&
    job.memGb <= t.memGb + EPS
  );
}

/** How many tasks of the job fit from step `k` for as long as they need. */
function fitCount(m: PlanMachine, k: number, needS: number, r: Resources): number {
  const until = at(m.times, k) + needS;
  let cpus = Number.POSITIVE_INFINITY;
  let gpus = Number.POSITIVE_INFINITY;
  let mem = Number.POSITIVE_INFINITY;
  for (let i = k; i < m.times.length && (i === k || at(m.times, i) < until - EPS); i++) {
    if (at(m.cpus, i) < cpus) cpus = at(m.cpus, i);
    if (at(m.gpus, i) < gpus) gpus = at(m.gpus, i);
    if (at(m.memGb, i) < mem) mem = at(m.memGb, i);
    if (cpus + EPS < r.cpus || gpus + EPS < r.gpus || mem + EPS < r.memGb) return 0;
  }
  let n = Number.POSITIVE_INFINITY;
  if (r.cpus > 0) n = Math.min(n, Math.floor(cpus / r.cpus + EPS));
  if (r.gpus > 0) n = Math.min(n, Math.floor(gpus / r.gpus + EPS));
  if (r.memGb > 0) n = Math.min(n, Math.floor(mem / r.memGb + EPS));
  return n;
}

/** As `fitCount`, and without taking from GPU work what it needs beside its GPUs. */
function fits(m: PlanMachine, k: number, needS: number, r: PlanJob): number {
  if (r.gpus > 0 || m.type.gpus === 0 || r.penaltyFactor === 0) return fitCount(m, k, needS, r);
  const loose = Math.min(
    r.cpus > 0 ? m.spareCpus / r.cpus : Number.POSITIVE_INFINITY,
    r.memGb > 0 ? m.spareMemGb / r.memGb : Number.POSITIVE_INFINITY,
  );
  return loose + EPS < 1 ? 0 : Math.min(Math.floor(loose + EPS), fitCount(m, k, needS, r));
}

/** For jobs with and without GPUs, the least that any of them asks for of each resource. */
function leastOf(jobs: readonly PlanJob[]): Resources[] {
  const least: Resources[] = [];
  for (const gpu of [true, false]) {
    const alike = jobs.filter((j) => j.gpus > 0 === gpu);
    if (alike.length === 0) continue;
    const of = (ask: (j: PlanJob) => number): number => alike.reduce((n, j) => Math.min(n, ask(j)), Infinity);
    least.push({ cpus: of((j) => j.cpus), gpus: of((j) => j.gpus), memGb: of((j) => j.memGb) });
  }
  return least;
}

/** Whether so much is free at the first step, not asking for how long. */
function fitsNow(m: PlanMachine, r: Resources): boolean {
  if (r.gpus === 0 && m.type.gpus > 0 && (m.spareCpus + EPS < r.cpus || m.spareMemGb + EPS < r.memGb)) return false;
  return at(m.cpus, 0) + EPS >= r.cpus && at(m.gpus, 0) + EPS >= r.gpus && at(m.memGb, 0) + EPS >= r.memGb;
}

/** Whether `a` can begin only where `b` could: it asks for no less, for no shorter, and may go to no more places. */
function asksNoLess(a: PlanJob, b: PlanJob): boolean {
  return (
    a.cpus >= b.cpus &&
    a.gpus >= b.gpus &&
    a.gpus > 0 === b.gpus > 0 &&
    a.memGb >= b.memGb &&
    a.durationS >= b.durationS &&
    (b.spotOk || !a.spotOk) &&
    (b.types === null || (a.types?.every((t) => b.types?.includes(t)) ?? false)) &&
    a.zones.every((z) => b.zones.includes(z)) &&
    b.avoid === null &&
    (!b.gang || (a.gang && a.tasks >= b.tasks && (a.sameZone || !b.sameZone)))
  );
}

/** Room left in the scarcest resource after `n` tasks, as a share of the machine: best fit takes the least. */
function slack(m: PlanMachine, k: number, n: number, r: Resources): number {
  let least = 1;
  if (m.type.gpus > 0) least = Math.min(least, (at(m.gpus, k) - n * r.gpus) / m.type.gpus);
  if (m.type.cpus > 0) least = Math.min(least, (at(m.cpus, k) - n * r.cpus) / m.type.cpus);
  if (m.type.memGb > 0) least = Math.min(least, (at(m.memGb, k) - n * r.memGb) / m.type.memGb);
  return least;
}

function stepAt(m: PlanMachine, t: number): number {
  let k = m.times.length - 1;
  while (k > 0 && at(m.times, k) > t + EPS) k -= 1;
  if (Math.abs(at(m.times, k) - t) <= EPS || t <= at(m.times, k)) return k;
  m.times.splice(k + 1, 0, t);
  m.cpus.splice(k + 1, 0, at(m.cpus, k));
  m.gpus.splice(k + 1, 0, at(m.gpus, k));
  m.memGb.splice(k + 1, 0, at(m.memGb, k));
  return k + 1;
}

function reserve(m: PlanMachine, from: number, needS: number, n: number, r: Resources): void {
  const a = stepAt(m, from);
  const b = stepAt(m, from + needS);
  for (let i = a; i < b; i++) {
    m.cpus[i] = at(m.cpus, i) - n * r.cpus;
    m.gpus[i] = at(m.gpus, i) - n * r.gpus;
    m.memGb[i] = at(m.memGb, i) - n * r.memGb;
  }
}

interface Candidate {
  readonly slot: number;
  machine: PlanMachine;
  readonly fetchS: number;
  readonly penaltyS: number;
  step: number;
  count: number;
  startS: number;
  /** Preference in half seconds: starts that close count as one, and best fit decides. */
  rank: number;
  slack: number;
}

const before = (a: Candidate, b: Candidate): boolean =>
  a.rank !== b.rank ? a.rank < b.rank : a.slack !== b.slack ? a.slack < b.slack : a.slot < b.slot;

/** Candidates with the best on top: an array takes many places one after the other, from hundreds of machines. */
class CandidateHeap {
  constructor(private readonly items: Candidate[]) {
    for (let i = (items.length >> 1) - 1; i >= 0; i--) this.down(i);
  }

  get top(): Candidate | undefined {
    return this.items[0];
  }

  /** The top one has changed for the worse, or has nothing more to give. */
  settle(): void {
    const first = this.items[0];
    if (!first) return;
    if (first.count === 0) {
      const last = this.items.pop() as Candidate;
      if (this.items.length === 0) return;
      this.items[0] = last;
    }
    this.down(0);
  }

  private down(from: number): void {
    const { items } = this;
    const moving = items[from] as Candidate;
    let i = from;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= items.length) break;
      if (child + 1 < items.length && before(items[child + 1] as Candidate, items[child] as Candidate)) child += 1;
      if (!before(items[child] as Candidate, moving)) break;
      items[i] = items[child] as Candidate;
      i = child;
    }
    items[i] = moving;
  }
}

/** Instants at which a gang's start is tried, from the first at which there is room for all of it. */
const GANG_TRIES = 10;

/** Plans all jobs, in the order given, each in the zone its gene names. */
export class Planner {
  steps = 0;
  private base: readonly PlanMachine[] = [];
  private readonly zoneSlots = new Map<ZoneName, number[]>();
  /** The plan in progress: a machine is copied when something is first reserved on it. */
  private machines: PlanMachine[] = [];

  constructor(
    private readonly weights: Weights,
    private readonly penalties: PlacementPenalties = {
      gpuS: 0,
      onDemandS: 0,
      reservedS: 0,
      cachedImageS: 0,
      futureDiscount: 0,
    },
  ) {}

  /** `genes`: a zone for each job; null plans arrays over all of their zones at once. */
  plan(base: readonly PlanMachine[], jobs: readonly PlanJob[], genes: readonly ZoneName[] | null): Plan {
    this.begin(base);
    const starts: PlannedStart[] = [];
    const unplaced = new Map<number, number>();
    const stepsBefore = this.steps;
    let sum = 0;
    let worst = 0;
    for (let i = 0; i < jobs.length; i++) {
      const job = jobs[i] as PlanJob;
      const zone = genes ? (genes[i] as ZoneName) : null;
      const wait = this.planJob(job, zone, starts, unplaced);
      const weighted = job.weight * (job.waitedS + wait);
      sum += weighted;
      if (weighted > worst) worst = weighted;
    }
    const average = jobs.length > 0 ? sum / jobs.length : 0;
    const w = this.weights;
    const cost = w.average * average + w.maximum * worst + w.idle * (1 - utilization(this.machines));
    return { starts, machines: this.machines, cost, unplaced, steps: this.steps - stepsBefore };
  }

  private begin(base: readonly PlanMachine[]): void {
    this.machines = base.slice();
    if (this.base === base) return;
    this.base = base;
    this.zoneSlots.clear();
    for (const m of base) {
      const slots = this.zoneSlots.get(m.zone);
      if (slots) slots.push(m.slot);
      else this.zoneSlots.set(m.zone, [m.slot]);
    }
  }

  /**
   * Jobs beyond those that a round plans in full: what is free on machines now, after that plan, goes to them in order, so
   * that nothing stands idle because a round looks at so many jobs only. Returns the starts; all are for now. It ends after
   * `mostSteps`: with hundreds of machines free and hundreds of jobs the next round goes on.
   */
  fillNow(plan: Plan, jobs: readonly PlanJob[], mostSteps: number): PlannedStart[] {
    this.begin(plan.machines);
    const until = this.steps + mostSteps;
    const free = new Set<number>();
    const least = leastOf(jobs);
    const hasRoom = (m: PlanMachine): boolean => at(m.times, 0) <= EPS && least.some((r) => fitsNow(m, r));
    for (const m of this.machines) if (hasRoom(m)) free.add(m.slot);
    const failed: PlanJob[] = [];
    const starts: PlannedStart[] = [];
    for (const job of jobs) {
      if (free.size === 0 || this.steps >= until) break;
      // Room only shrinks here: what asks for as much as a job that found none finds none either.
      if (job.zoneRoom || failed.some((f) => asksNoLess(job, f))) continue;
      const from = starts.length;
      const candidates = this.candidates(job, [...free]);
      if (job.gang) {
        for (const zone of job.sameZone ? job.zones : [null]) {
          const here = zone === null ? candidates : candidates.filter((c) => c.machine.zone === zone);
          const chosen = this.gangAt(here, job, zone ?? (job.zones[0] as ZoneName), 0);
          if (!chosen) continue;
          this.takeGang(chosen, job, 0, starts);
          break;
        }
      } else {
        const now: Candidate[] = [];
        for (const c of candidates) {
          if (!job.zones.includes(c.machine.zone)) continue;
          c.count = fits(c.machine, 0, c.fetchS + job.durationS, job);
          if (c.count > 0) now.push(this.ranked(c, job, 0));
        }
        now.sort((a, b) => (before(a, b) ? -1 : 1));
        let left = job.tasks;
        for (const c of now) {
          if (left <= 0) break;
          const n = Math.min(left, c.count);
          this.reserve(c, 0, c.fetchS + job.durationS, n, job);
          starts.push({ job: job.slot, machine: c.slot, tasks: n, roomAtS: 0, startAtS: c.fetchS });
          left -= n;
        }
      }
      if (starts.length === from) failed.push(job);
      for (let i = from; i < starts.length; i++) {
        const { machine } = starts[i] as PlannedStart;
        if (!hasRoom(this.machines[machine] as PlanMachine)) free.delete(machine);
      }
    }
    return starts;
  }

  /** Returns the job's mean wait from now, in seconds. */
  private planJob(job: PlanJob, gene: ZoneName | null, starts: PlannedStart[], unplaced: Map<number, number>): number {
    if (gene === null && !job.zoneRoom && !(job.gang && job.sameZone)) {
      return job.gang
        ? this.planGang(job, job.zones[0] as ZoneName, starts, unplaced)
        : this.planArray(job, job.zones, job.tasks, starts, unplaced);
    }
    const zone = gene ?? this.roomiest(job);
    if (job.gang) return this.planGang(job, zone, starts, unplaced);
    if (!job.zoneRoom) return this.planArray(job, [zone], job.tasks, starts, unplaced);
    // A spread job needs several zones: the gene names the first, the others follow within the limit.
    const zones = [zone, ...job.zones.filter((z) => z !== zone)];
    let left = job.tasks;
    let total = 0;
    for (const z of zones) {
      const n = Math.min(left, job.zoneRoom.get(z) ?? 0);
      if (n <= 0) continue;
      const rest = new Map<number, number>();
      total += n * this.planArray(job, [z], n, starts, rest);
      left -= n - (rest.get(job.slot) ?? 0);
    }
    if (left > 0) unplaced.set(job.slot, left);
    return (total + left * UNPLACED_S) / Math.max(1, job.tasks);
  }

  private slotsIn(zones: readonly ZoneName[]): number[] {
    if (zones.length === 1) return this.zoneSlots.get(zones[0] as ZoneName) ?? [];
    const all: number[] = [];
    for (const z of zones) for (const slot of this.zoneSlots.get(z) ?? []) all.push(slot);
    return all;
  }

  /** The zone whose machines the job fits have most room now. */
  private roomiest(job: PlanJob): ZoneName {
    const room = new Map<ZoneName, number>();
    for (const { machine: m } of this.candidates(job, this.slotsIn(job.zones))) {
      room.set(m.zone, (room.get(m.zone) ?? 0) + fitCount(m, 0, job.durationS, job) - at(m.times, 0) * 1e-3);
    }
    let best = job.zones[0] as ZoneName;
    for (const z of job.zones) if ((room.get(z) ?? 0) > (room.get(best) ?? 0)) best = z;
    return best;
  }

  private penaltyS(job: PlanJob, m: PlanMachine, share: number): number {
    const { gpuS, onDemandS, reservedS, cachedImageS } = this.penalties;
    let s = 0;
    if (job.gpus === 0 && m.type.gpus > 0) s += gpuS;
    if (job.spotOk && !m.spot) s += m.reservedForGangs && !job.gang ? reservedS : onDemandS;
    if (m.largestCachedShare > share + 0.01) s += cachedImageS;
    return s * job.penaltyFactor + (m.spot ? job.spotDelayS : 0);
  }

  private candidates(job: PlanJob, slots: readonly number[]): Candidate[] {
    const found: Candidate[] = [];
    const types = new Map<MachineType, number>();
    for (const slot of slots) {
      const m = this.machines[slot] as PlanMachine;
      if ((m.spot && !job.spotOk) || job.avoid?.has(slot)) continue;
      let share = types.get(m.type);
      if (share === undefined) {
        share = typeFits(job, m.type) ? machineShare(job, m.type) : -1;
        types.set(m.type, share);
      }
      if (share < 0) continue;
      // Most machines with GPUs have nothing loose: looking no further there is a third of the cost of small work.
      if (
        job.gpus === 0 &&
        job.penaltyFactor > 0 &&
        m.type.gpus > 0 &&
        (m.spareCpus + EPS < job.cpus || m.spareMemGb + EPS < job.memGb)
      )
        continue;
      found.push({
        slot,
        machine: m,
        fetchS: m.fetchS(job.image, job.imageGb),
        penaltyS: this.penaltyS(job, m, share),
        step: 0,
        count: 0,
        startS: 0,
        rank: 0,
        slack: 0,
      });
    }
    this.steps += found.length;
    return found;
  }

  private ranked(c: Candidate, job: PlanJob, step: number): Candidate {
    const roomAt = at(c.machine.times, step);
    c.step = step;
    c.startS = roomAt + c.fetchS;
    c.rank = Math.round(2 * (c.startS + this.penalties.futureDiscount * roomAt + c.penaltyS));
    c.slack = slack(c.machine, step, 1, job);
    return c;
  }

  /** Finds the first step from which at least one task fits. */
  private earliest(c: Candidate, job: PlanJob): void {
    const m = c.machine;
    const need = c.fetchS + job.durationS;
    c.count = 0;
    for (let k = 0; k < m.times.length; k++) {
      const n = fits(m, k, need, job);
      if (n === 0) continue;
      c.count = n;
      this.ranked(c, job, k);
      return;
    }
  }

  private reserve(c: Candidate, from: number, needS: number, n: number, r: Resources): void {
    if (this.machines[c.slot] === this.base[c.slot]) {
      this.machines[c.slot] = cloneMachine(this.base[c.slot] as PlanMachine);
    }
    c.machine = this.machines[c.slot] as PlanMachine;
    reserve(c.machine, from, needS, n, r);
    if (r.gpus > 0 || c.machine.type.gpus === 0) return;
    c.machine.spareCpus -= n * r.cpus;
    c.machine.spareMemGb -= n * r.memGb;
  }

  private planArray(
    job: PlanJob,
    zones: readonly ZoneName[],
    tasks: number,
    starts: PlannedStart[],
    unplaced: Map<number, number>,
  ): number {
    const candidates = this.candidates(job, this.slotsIn(zones));
    for (const c of candidates) this.earliest(c, job);
    const heap = new CandidateHeap(candidates.filter((c) => c.count > 0));
    let left = tasks;
    let total = 0;
    let last = 0;
    for (let round = 0; left > 0 && round < 2 * candidates.length + 4; round++) {
      const best = heap.top;
      if (!best) break;
      const n = Math.min(left, best.count);
      const roomAt = at(best.machine.times, best.step);
      starts.push({ job: job.slot, machine: best.slot, tasks: n, roomAtS: roomAt, startAtS: best.startS });
      this.reserve(best, roomAt, best.fetchS + job.durationS, n, job);
      total += n * best.startS;
      last = best.startS;
      left -= n;
      this.steps += 1;
      this.earliest(best, job);
      heap.settle();
    }
    if (left > 0) unplaced.set(job.slot, (unplaced.get(job.slot) ?? 0) + left);
    const lateS = candidates.length > 0 ? last + job.durationS : UNPLACED_S;
    return (total + left * lateS) / Math.max(1, tasks);
  }

  private planGang(job: PlanJob, zone: ZoneName, starts: PlannedStart[], unplaced: Map<number, number>): number {
    const zones = job.sameZone ? [zone] : [zone, ...job.zones.filter((z) => z !== zone)];
    const candidates = this.candidates(job, this.slotsIn(zones));
    // Before the machines that come free first have room for all of it, no instant need be tried.
    const free: { at: number; count: number }[] = [];
    for (const c of candidates) {
      const m = c.machine;
      let before = 0;
      for (let k = 0; k < m.times.length && before < job.tasks; k++) {
        const n = fits(m, k, c.fetchS + job.durationS, job);
        if (n <= before) continue;
        free.push({ at: at(m.times, k), count: n - before });
        before = n;
      }
    }
    free.sort((a, b) => a.at - b.at);
    let best: { roomAt: number; startS: number; chosen: Chosen[] } | null = null;
    const doubted = (roomAt: number, startS: number): number => startS + this.penalties.futureDiscount * roomAt;
    let room = 0;
    let tried = 0;
    for (let i = 0; i < free.length && tried < GANG_TRIES; i++) {
      const { at: t, count } = free[i] as { at: number; count: number };
      room += count;
      if (room < job.tasks || (i + 1 < free.length && (free[i + 1] as { at: number }).at <= t + EPS)) continue;
      if (best !== null && doubted(t, t) >= doubted(best.roomAt, best.startS)) break;
      tried += 1;
      const chosen = this.gangAt(candidates, job, zone, t);
      if (!chosen) continue;
      let fetch = 0;
      for (const { c } of chosen) fetch = Math.max(fetch, c.fetchS);
      if (best === null || doubted(t, t + fetch) < doubted(best.roomAt, best.startS) - 0.5)
        best = { roomAt: t, startS: t + fetch, chosen };
    }
    if (best === null) {
      unplaced.set(job.slot, job.tasks);
      return UNPLACED_S;
    }
    this.takeGang(best.chosen, job, best.roomAt, starts);
    return best.startS;
  }

  private takeGang(chosen: readonly Chosen[], job: PlanJob, roomAt: number, starts: PlannedStart[]): void {
    let fetch = 0;
    for (const { c } of chosen) fetch = Math.max(fetch, c.fetchS);
    for (const { c, n } of chosen) {
      starts.push({ job: job.slot, machine: c.slot, tasks: n, roomAtS: roomAt, startAtS: roomAt + fetch });
      this.reserve(c, roomAt, fetch + job.durationS, n, job);
    }
  }

  /** The machines that take the whole gang at `t`, or null. */
  private gangAt(candidates: readonly Candidate[], job: PlanJob, zone: ZoneName, t: number): Chosen[] | null {
    const options: { c: Candidate; n: number; near: number; rank: number; slack: number }[] = [];
    for (const c of candidates) {
      const m = c.machine;
      if (at(m.times, 0) > t + EPS) continue;
      let k = m.times.length - 1;
      while (k > 0 && at(m.times, k) > t + EPS) k -= 1;
      const n = fits(m, k, t - at(m.times, k) + c.fetchS + job.durationS, job);
      if (n === 0) continue;
      const rank = Math.round(2 * (c.fetchS + c.penaltyS));
      options.push({ c, n, near: m.zone === zone ? 0 : 1, rank, slack: slack(m, k, 1, job) });
    }
    this.steps += options.length;
    options.sort((a, b) => a.near - b.near || a.rank - b.rank || a.slack - b.slack || a.c.slot - b.c.slot);
    const room = job.zoneRoom ? new Map(job.zoneRoom) : null;
    const chosen: Chosen[] = [];
    let left = job.tasks;
    for (const o of options) {
      if (left === 0) break;
      const inZone = room ? (room.get(o.c.machine.zone) ?? 0) : left;
      const n = Math.min(left, o.n, inZone);
      if (n <= 0) continue;
      room?.set(o.c.machine.zone, inZone - n);
      chosen.push({ c: o.c, n });
      left -= n;
    }
    return left === 0 ? chosen : null;
  }
}

interface Chosen {
  readonly c: Candidate;
  readonly n: number;
}

/** How much of the machines is in use over the next minute. */
function utilization(machines: readonly PlanMachine[]): number {
  const horizon = 60;
  let used = 0;
  let there = 0;
  for (const m of machines) {
    const gpu = m.type.gpus > 0;
    const capacity = gpu ? m.type.gpus : m.type.cpus;
    const free = gpu ? m.gpus : m.cpus;
    for (let k = 0; k < m.times.length && at(m.times, k) < horizon; k++) {
      const end = Math.min(horizon, k + 1 < m.times.length ? at(m.times, k + 1) : horizon);
      const share = (end - at(m.times, k)) / horizon;
      there += share;
      used += share * (1 - at(free, k) / capacity);
    }
  }
  return there > 0 ? used / there : 1;
}
