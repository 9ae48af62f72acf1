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
export function cloneMachine(machine: PlanMachine): PlanMachine {
  return {
    slot: machine.slot,
    zone: machine.zone,
    type: machine.type,
    spot: machine.spot,
    times: machine.times.slice(),
    cpus: machine.cpus.slice(),
    gpus: machine.gpus.slice(),
    memGb: machine.memGb.slice(),
    spareCpus: machine.spareCpus,
    spareMemGb: machine.spareMemGb,
    fetchS: machine.fetchS,
    reservedForGangs: machine.reservedForGangs,
    largestCachedShare: machine.largestCachedShare,
  };
}

/** The part of a machine that one task takes, by what it takes most of. */
export function machineShare(resources: Resources, type: MachineType): number {
  const of = (a: number, b: number): number => (b > 0 ? a / b : 0);
  return Math.max(of(resources.cpus, type.cpus), of(resources.gpus, type.gpus), of(resources.memGb, type.memGb));
}

const at = (xs: number[], i: number): number => xs[i] as number;

function typeFits(job: PlanJob, type: MachineType): boolean {
  return (
    (job.types === null || job.types.includes(type.name)) &&
    job.cpus <= type.cpus + EPS &&
    job.gpus <= type.gpus + EPS &&
    job.memGb <= type.memGb + EPS
  );
}

/** How many tasks of the job fit from step `k` for as long as they need. */
function fitCount(machine: PlanMachine, k: number, needS: number, resources: Resources): number {
  const until = at(machine.times, k) + needS;
  let cpus = Number.POSITIVE_INFINITY;
  let gpus = Number.POSITIVE_INFINITY;
  let mem = Number.POSITIVE_INFINITY;
  for (let i = k; i < machine.times.length && (i === k || at(machine.times, i) < until - EPS); i++) {
    if (at(machine.cpus, i) < cpus) cpus = at(machine.cpus, i);
    if (at(machine.gpus, i) < gpus) gpus = at(machine.gpus, i);
    if (at(machine.memGb, i) < mem) mem = at(machine.memGb, i);
    if (cpus + EPS < resources.cpus || gpus + EPS < resources.gpus || mem + EPS < resources.memGb) return 0;
  }
  let n = Number.POSITIVE_INFINITY;
  if (resources.cpus > 0) n = Math.min(n, Math.floor(cpus / resources.cpus + EPS));
  if (resources.gpus > 0) n = Math.min(n, Math.floor(gpus / resources.gpus + EPS));
  if (resources.memGb > 0) n = Math.min(n, Math.floor(mem / resources.memGb + EPS));
  return n;
}

/** As `fitCount`, and without taking from GPU work what it needs beside its GPUs. */
function fits(machine: PlanMachine, k: number, needS: number, job: PlanJob): number {
  if (job.gpus > 0 || machine.type.gpus === 0 || job.penaltyFactor === 0) return fitCount(machine, k, needS, job);
  const loose = Math.min(
    job.cpus > 0 ? machine.spareCpus / job.cpus : Number.POSITIVE_INFINITY,
    job.memGb > 0 ? machine.spareMemGb / job.memGb : Number.POSITIVE_INFINITY,
  );
  return loose + EPS < 1 ? 0 : Math.min(Math.floor(loose + EPS), fitCount(machine, k, needS, job));
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
function fitsNow(machine: PlanMachine, resources: Resources): boolean {
  if (
    resources.gpus === 0 &&
    machine.type.gpus > 0 &&
    (machine.spareCpus + EPS < resources.cpus || machine.spareMemGb + EPS < resources.memGb)
  )
    return false;
  return (
    at(machine.cpus, 0) + EPS >= resources.cpus &&
    at(machine.gpus, 0) + EPS >= resources.gpus &&
    at(machine.memGb, 0) + EPS >= resources.memGb
  );
}

/** Whether `a` can begin only where `b` could: it asks for no less, for no shorter, and may go to no more places. */
function asksNoLess(job: PlanJob, b: PlanJob): boolean {
  return (
    job.cpus >= b.cpus &&
    job.gpus >= b.gpus &&
    job.gpus > 0 === b.gpus > 0 &&
    job.memGb >= b.memGb &&
    job.durationS >= b.durationS &&
    (b.spotOk || !job.spotOk) &&
    (b.types === null || (job.types?.every((t) => b.types?.includes(t)) ?? false)) &&
    job.zones.every((z) => b.zones.includes(z)) &&
    b.avoid === null &&
    (!b.gang || (job.gang && job.tasks >= b.tasks && (job.sameZone || !b.sameZone)))
  );
}

/** Room left in the scarcest resource after `n` tasks, as a share of the machine: best fit takes the least. */
function slack(machine: PlanMachine, k: number, n: number, resources: Resources): number {
  let least = 1;
  if (machine.type.gpus > 0) least = Math.min(least, (at(machine.gpus, k) - n * resources.gpus) / machine.type.gpus);
  if (machine.type.cpus > 0) least = Math.min(least, (at(machine.cpus, k) - n * resources.cpus) / machine.type.cpus);
  if (machine.type.memGb > 0)
    least = Math.min(least, (at(machine.memGb, k) - n * resources.memGb) / machine.type.memGb);
  return least;
}

function stepAt(machine: PlanMachine, t: number): number {
  let k = machine.times.length - 1;
  while (k > 0 && at(machine.times, k) > t + EPS) k -= 1;
  if (Math.abs(at(machine.times, k) - t) <= EPS || t <= at(machine.times, k)) return k;
  machine.times.splice(k + 1, 0, t);
  machine.cpus.splice(k + 1, 0, at(machine.cpus, k));
  machine.gpus.splice(k + 1, 0, at(machine.gpus, k));
  machine.memGb.splice(k + 1, 0, at(machine.memGb, k));
  return k + 1;
}

function reserve(machine: PlanMachine, from: number, needS: number, n: number, resources: Resources): void {
  const a = stepAt(machine, from);
  const b = stepAt(machine, from + needS);
  for (let i = a; i < b; i++) {
    machine.cpus[i] = at(machine.cpus, i) - n * resources.cpus;
    machine.gpus[i] = at(machine.gpus, i) - n * resources.gpus;
    machine.memGb[i] = at(machine.memGb, i) - n * resources.memGb;
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

const before = (candidate: Candidate, b: Candidate): boolean =>
  candidate.rank !== b.rank
    ? candidate.rank < b.rank
    : candidate.slack !== b.slack
      ? candidate.slack < b.slack
      : candidate.slot < b.slot;

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
    for (const machine of base) {
      const slots = this.zoneSlots.get(machine.zone);
      if (slots) slots.push(machine.slot);
      else this.zoneSlots.set(machine.zone, [machine.slot]);
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
        for (const candidate of candidates) {
          if (!job.zones.includes(candidate.machine.zone)) continue;
          candidate.count = fits(candidate.machine, 0, candidate.fetchS + job.durationS, job);
          if (candidate.count > 0) now.push(this.ranked(candidate, job, 0));
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
    for (const { machine } of this.candidates(job, this.slotsIn(job.zones))) {
      room.set(
        machine.zone,
        (room.get(machine.zone) ?? 0) + fitCount(machine, 0, job.durationS, job) - at(machine.times, 0) * 1e-3,
      );
    }
    let best = job.zones[0] as ZoneName;
    for (const z of job.zones) if ((room.get(z) ?? 0) > (room.get(best) ?? 0)) best = z;
    return best;
  }

  private penaltyS(job: PlanJob, machine: PlanMachine, share: number): number {
    const { gpuS, onDemandS, reservedS, cachedImageS } = this.penalties;
    let s = 0;
    if (job.gpus === 0 && machine.type.gpus > 0) s += gpuS;
    if (job.spotOk && !machine.spot) s += machine.reservedForGangs && !job.gang ? reservedS : onDemandS;
    if (machine.largestCachedShare > share + 0.01) s += cachedImageS;
    return s * job.penaltyFactor + (machine.spot ? job.spotDelayS : 0);
  }

  private candidates(job: PlanJob, slots: readonly number[]): Candidate[] {
    const found: Candidate[] = [];
    const types = new Map<MachineType, number>();
    for (const slot of slots) {
      const machine = this.machines[slot] as PlanMachine;
      if ((machine.spot && !job.spotOk) || job.avoid?.has(slot)) continue;
      let share = types.get(machine.type);
      if (share === undefined) {
        share = typeFits(job, machine.type) ? machineShare(job, machine.type) : -1;
        types.set(machine.type, share);
      }
      if (share < 0) continue;
      // Most machines with GPUs have nothing loose: looking no further there is a third of the cost of small work.
      if (
        job.gpus === 0 &&
        job.penaltyFactor > 0 &&
        machine.type.gpus > 0 &&
        (machine.spareCpus + EPS < job.cpus || machine.spareMemGb + EPS < job.memGb)
      )
        continue;
      found.push({
        slot,
        machine: machine,
        fetchS: machine.fetchS(job.image, job.imageGb),
        penaltyS: this.penaltyS(job, machine, share),
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

  private ranked(candidate: Candidate, job: PlanJob, step: number): Candidate {
    const roomAt = at(candidate.machine.times, step);
    candidate.step = step;
    candidate.startS = roomAt + candidate.fetchS;
    candidate.rank = Math.round(2 * (candidate.startS + this.penalties.futureDiscount * roomAt + candidate.penaltyS));
    candidate.slack = slack(candidate.machine, step, 1, job);
    return candidate;
  }

  /** Finds the first step from which at least one task fits. */
  private earliest(candidate: Candidate, job: PlanJob): void {
    const machine = candidate.machine;
    const need = candidate.fetchS + job.durationS;
    candidate.count = 0;
    for (let k = 0; k < machine.times.length; k++) {
      const n = fits(machine, k, need, job);
      if (n === 0) continue;
      candidate.count = n;
      this.ranked(candidate, job, k);
      return;
    }
  }

  private reserve(candidate: Candidate, from: number, needS: number, n: number, resources: Resources): void {
    if (this.machines[candidate.slot] === this.base[candidate.slot]) {
      this.machines[candidate.slot] = cloneMachine(this.base[candidate.slot] as PlanMachine);
    }
    candidate.machine = this.machines[candidate.slot] as PlanMachine;
    reserve(candidate.machine, from, needS, n, resources);
    if (resources.gpus > 0 || candidate.machine.type.gpus === 0) return;
    candidate.machine.spareCpus -= n * resources.cpus;
    candidate.machine.spareMemGb -= n * resources.memGb;
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
    for (const candidate of candidates) {
      const machine = candidate.machine;
      let before = 0;
      for (let k = 0; k < machine.times.length && before < job.tasks; k++) {
        const n = fits(machine, k, candidate.fetchS + job.durationS, job);
        if (n <= before) continue;
        free.push({ at: at(machine.times, k), count: n - before });
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
    for (const { c: candidate, n } of chosen) {
      starts.push({ job: job.slot, machine: candidate.slot, tasks: n, roomAtS: roomAt, startAtS: roomAt + fetch });
      this.reserve(candidate, roomAt, fetch + job.durationS, n, job);
    }
  }

  /** The machines that take the whole gang at `t`, or null. */
  private gangAt(candidates: readonly Candidate[], job: PlanJob, zone: ZoneName, t: number): Chosen[] | null {
    const options: { c: Candidate; n: number; near: number; rank: number; slack: number }[] = [];
    for (const candidate of candidates) {
      const machine = candidate.machine;
      if (at(machine.times, 0) > t + EPS) continue;
      let k = machine.times.length - 1;
      while (k > 0 && at(machine.times, k) > t + EPS) k -= 1;
      const n = fits(machine, k, t - at(machine.times, k) + candidate.fetchS + job.durationS, job);
      if (n === 0) continue;
      const rank = Math.round(2 * (candidate.fetchS + candidate.penaltyS));
      options.push({ c: candidate, n, near: machine.zone === zone ? 0 : 1, rank, slack: slack(machine, k, 1, job) });
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
  for (const machine of machines) {
    const gpu = machine.type.gpus > 0;
    const capacity = gpu ? machine.type.gpus : machine.type.cpus;
    const free = gpu ? machine.gpus : machine.cpus;
    for (let k = 0; k < machine.times.length && at(machine.times, k) < horizon; k++) {
      const end = Math.min(horizon, k + 1 < machine.times.length ? at(machine.times, k + 1) : horizon);
      const share = (end - at(machine.times, k)) / horizon;
      there += share;
      used += share * (1 - at(free, k) / capacity);
    }
  }
  return there > 0 ? used / there : 1;
}
