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
  mem: number[];
  fetchS(image: ImageName, gb: number): number;
  /** Largest share of a machine that a job needs whose image it holds. */
  readonly warmShare: number;
}

export interface PlanJob extends Resources {
  readonly slot: number;
  readonly gang: boolean;
  /** Planned over all of its zones by best fit, outside the search. */
  readonly everywhere: boolean;
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
  readonly cost: number;
  /** Tasks that no machine of the plan can take. */
  readonly unplaced: Map<number, number>;
  /** Work spent on it, in plan steps: what bounds a round, so that a seed repeats. */
  readonly steps: number;
}

/** Seconds of start time that a job would rather wait than take a machine that others need more. */
export interface Reluctance {
  /** For a machine with GPUs, by a job that asks for none. */
  readonly gpuS: number;
  /** For an ordinary machine, by a job that may use a spot one: cheaper, and the others can't. */
  readonly ordinaryS: number;
  /** For a machine that holds images of larger jobs: those would have to fetch elsewhere. */
  readonly warmS: number;
  /** Room in the future counts this much more than its time: what is expected to end often doesn't. */
  readonly doubt: number;
}

export interface Weights {
  readonly average: number;
  readonly maximum: number;
  readonly idle: number;
}

const EPS = 1e-6;
const UNPLACED_S = 600;

export function cloneMachine(m: PlanMachine): PlanMachine {
  return { ...m, times: m.times.slice(), cpus: m.cpus.slice(), gpus: m.gpus.slice(), mem: m.mem.slice() };
}

/** The part of a machine that one task takes, by what it takes most of. */
export function machineShare(r: Resources, t: MachineType): number {
  const of = (a: number, b: number): number => (b > 0 ? a / b : 0);
  return Math.max(of(r.cpus, t.cpus), of(r.gpus, t.gpus), of(r.memGb, t.memGb));
}

const at = (xs: number[], i: number): number => xs[i] as number;

export function eligible(job: PlanJob, m: PlanMachine): boolean {
  return (
    (job.spotOk || !m.spot) &&
    (job.types === null || job.types.includes(m.type.name)) &&
    job.cpus <= m.type.cpus + EPS &&
    job.gpus <= m.type.gpus + EPS &&
    job.memGb <= m.type.memGb + EPS &&
    (job.avoid === null || !job.avoid.has(m.slot))
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
    if (at(m.mem, i) < mem) mem = at(m.mem, i);
    if (cpus + EPS < r.cpus || gpus + EPS < r.gpus || mem + EPS < r.memGb) return 0;
  }
  let n = Number.POSITIVE_INFINITY;
  if (r.cpus > 0) n = Math.min(n, Math.floor(cpus / r.cpus + EPS));
  if (r.gpus > 0) n = Math.min(n, Math.floor(gpus / r.gpus + EPS));
  if (r.memGb > 0) n = Math.min(n, Math.floor(mem / r.memGb + EPS));
  return n;
}

/** Room left in the scarcest resource after `n` tasks, as a share of the machine: best fit takes the least. */
function slack(m: PlanMachine, k: number, n: number, r: Resources): number {
  let least = 1;
  if (m.type.gpus > 0) least = Math.min(least, (at(m.gpus, k) - n * r.gpus) / m.type.gpus);
  if (m.type.cpus > 0) least = Math.min(least, (at(m.cpus, k) - n * r.cpus) / m.type.cpus);
  if (m.type.memGb > 0) least = Math.min(least, (at(m.mem, k) - n * r.memGb) / m.type.memGb);
  return least;
}

function stepAt(m: PlanMachine, t: number): number {
  let k = m.times.length - 1;
  while (k > 0 && at(m.times, k) > t + EPS) k -= 1;
  if (Math.abs(at(m.times, k) - t) <= EPS || t <= at(m.times, k)) return k;
  m.times.splice(k + 1, 0, t);
  m.cpus.splice(k + 1, 0, at(m.cpus, k));
  m.gpus.splice(k + 1, 0, at(m.gpus, k));
  m.mem.splice(k + 1, 0, at(m.mem, k));
  return k + 1;
}

function reserve(m: PlanMachine, from: number, needS: number, n: number, r: Resources): void {
  const a = stepAt(m, from);
  const b = stepAt(m, from + needS);
  for (let i = a; i < b; i++) {
    m.cpus[i] = at(m.cpus, i) - n * r.cpus;
    m.gpus[i] = at(m.gpus, i) - n * r.gpus;
    m.mem[i] = at(m.mem, i) - n * r.memGb;
  }
}

interface Candidate {
  readonly machine: PlanMachine;
  readonly fetchS: number;
  readonly reluctanceS: number;
  readonly doubt: number;
  step: number;
  count: number;
  startS: number;
  slack: number;
}

function earliest(c: Candidate, job: PlanJob): void {
  const m = c.machine;
  const need = c.fetchS + job.durationS;
  c.count = 0;
  c.startS = Number.POSITIVE_INFINITY;
  for (let k = 0; k < m.times.length; k++) {
    const n = fitCount(m, k, need, job);
    if (n > 0) {
      c.step = k;
      c.count = n;
      c.startS = at(m.times, k) + c.fetchS;
      c.slack = slack(m, k, 1, job);
      return;
    }
  }
}

const better = (a: Candidate, b: Candidate): boolean =>
  preference(a) < preference(b) - 0.5 || (preference(a) < preference(b) + 0.5 && a.slack < b.slack);

const preference = (c: Candidate): number => c.startS + c.doubt * at(c.machine.times, c.step) + c.reluctanceS;

const preferred = (c: Candidate): number => c.fetchS + c.reluctanceS;

/** Plans all jobs, in the order given, each in the zone its gene names. */
export class Planner {
  steps = 0;

  constructor(
    private readonly weights: Weights,
    private readonly reluctance: Reluctance = { gpuS: 0, ordinaryS: 0, warmS: 0, doubt: 0 },
  ) {}

  /** `genes`: a zone for each job; null plans arrays over all of their zones at once. */
  plan(base: readonly PlanMachine[], jobs: readonly PlanJob[], genes: readonly ZoneName[] | null): Plan {
    const machines = base.map(cloneMachine);
    const starts: PlannedStart[] = [];
    const unplaced = new Map<number, number>();
    const before = this.steps;
    let sum = 0;
    let worst = 0;
    for (let i = 0; i < jobs.length; i++) {
      const job = jobs[i] as PlanJob;
      const zone = genes ? (genes[i] as ZoneName) : null;
      const wait = this.planJob(machines, job, zone, starts, unplaced);
      const weighted = job.weight * (job.waitedS + wait);
      sum += weighted;
      if (weighted > worst) worst = weighted;
    }
    const average = jobs.length > 0 ? sum / jobs.length : 0;
    const w = this.weights;
    const cost = w.average * average + w.maximum * worst + w.idle * (1 - utilization(machines));
    return { starts, cost, unplaced, steps: this.steps - before };
  }

  /** Returns the job's mean wait from now, in seconds. */
  private planJob(
    machines: readonly PlanMachine[],
    job: PlanJob,
    gene: ZoneName | null,
    starts: PlannedStart[],
    unplaced: Map<number, number>,
  ): number {
    if ((gene === null || job.everywhere) && !job.zoneRoom && !(job.gang && job.sameZone)) {
      return job.gang
        ? this.planGang(machines, job, job.zones[0] as ZoneName, starts, unplaced)
        : this.planArray(machines, job, job.zones, job.tasks, starts, unplaced);
    }
    const zone = gene ?? this.roomiest(machines, job);
    if (job.gang) return this.planGang(machines, job, zone, starts, unplaced);
    if (!job.zoneRoom) return this.planArray(machines, job, [zone], job.tasks, starts, unplaced);
    // A spread job needs several zones: the gene names the first, the others follow within the limit.
    const zones = [zone, ...job.zones.filter((z) => z !== zone)];
    let left = job.tasks;
    let total = 0;
    for (const z of zones) {
      const n = Math.min(left, job.zoneRoom.get(z) ?? 0);
      if (n <= 0) continue;
      const rest = new Map<number, number>();
      total += n * this.planArray(machines, job, [z], n, starts, rest);
      left -= n - (rest.get(job.slot) ?? 0);
    }
    if (left > 0) unplaced.set(job.slot, left);
    return (total + left * UNPLACED_S) / Math.max(1, job.tasks);
  }

  /** The zone whose machines the job fits have most room now. */
  private roomiest(machines: readonly PlanMachine[], job: PlanJob): ZoneName {
    const room = new Map<ZoneName, number>();
    for (const m of machines) {
      if (!eligible(job, m)) continue;
      room.set(m.zone, (room.get(m.zone) ?? 0) + fitCount(m, 0, job.durationS, job) - at(m.times, 0) * 1e-3);
    }
    let best = job.zones[0] as ZoneName;
    for (const z of job.zones) if ((room.get(z) ?? 0) > (room.get(best) ?? 0)) best = z;
    return best;
  }

  private reluctanceS(job: PlanJob, m: PlanMachine): number {
    const { gpuS, ordinaryS, warmS } = this.reluctance;
    let s = 0;
    if (job.gpus === 0 && m.type.gpus > 0) s += gpuS;
    if (job.spotOk && !m.spot) s += ordinaryS;
    if (m.spot) s += job.spotDelayS;
    if (m.warmShare > machineShare(job, m.type) + 0.01) s += warmS;
    return s;
  }

  private candidates(machines: readonly PlanMachine[], job: PlanJob, zones: readonly ZoneName[]): Candidate[] {
    const found: Candidate[] = [];
    for (const m of machines) {
      if (!zones.includes(m.zone) || !eligible(job, m)) continue;
      this.steps += m.times.length;
      found.push({
        machine: m,
        fetchS: m.fetchS(job.image, job.imageGb),
        reluctanceS: this.reluctanceS(job, m),
        doubt: this.reluctance.doubt,
        step: 0,
        count: 0,
        startS: 0,
        slack: 0,
      });
    }
    return found;
  }

  private planArray(
    machines: readonly PlanMachine[],
    job: PlanJob,
    zones: readonly ZoneName[],
    tasks: number,
    starts: PlannedStart[],
    unplaced: Map<number, number>,
  ): number {
    const candidates = this.candidates(machines, job, zones);
    for (const c of candidates) earliest(c, job);
    let left = tasks;
    let total = 0;
    let last = 0;
    for (let round = 0; left > 0 && round < 2 * candidates.length + 4; round++) {
      let best: Candidate | null = null;
      for (const c of candidates) if (c.count > 0 && (best === null || better(c, best))) best = c;
      if (best === null) break;
      const n = Math.min(left, best.count);
      const roomAt = at(best.machine.times, best.step);
      starts.push({ job: job.slot, machine: best.machine.slot, tasks: n, roomAtS: roomAt, startAtS: best.startS });
      reserve(best.machine, roomAt, best.fetchS + job.durationS, n, job);
      total += n * best.startS;
      last = best.startS;
      left -= n;
      this.steps += best.machine.times.length;
      earliest(best, job);
    }
    if (left > 0) unplaced.set(job.slot, (unplaced.get(job.slot) ?? 0) + left);
    const lateS = candidates.length > 0 ? last + job.durationS : UNPLACED_S;
    return (total + left * lateS) / Math.max(1, tasks);
  }

  private planGang(
    machines: readonly PlanMachine[],
    job: PlanJob,
    zone: ZoneName,
    starts: PlannedStart[],
    unplaced: Map<number, number>,
  ): number {
    const zones = job.sameZone ? [zone] : [zone, ...job.zones.filter((z) => z !== zone)];
    const candidates = this.candidates(machines, job, zones);
    const instants = new Set<number>();
    for (const c of candidates) for (const t of c.machine.times) instants.add(t);
    let best: { roomAt: number; startS: number; chosen: { c: Candidate; n: number }[] } | null = null;
    const doubted = (roomAt: number, startS: number): number => startS + this.reluctance.doubt * roomAt;
    let tried = 0;
    for (const t of [...instants].sort((a, b) => a - b)) {
      if (best !== null && doubted(t, t) >= doubted(best.roomAt, best.startS)) break;
      if (++tried > 40) break;
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
    for (const { c, n } of best.chosen) {
      starts.push({ job: job.slot, machine: c.machine.slot, tasks: n, roomAtS: best.roomAt, startAtS: best.startS });
      reserve(c.machine, best.roomAt, best.startS - best.roomAt + job.durationS, n, job);
    }
    return best.startS;
  }

  /** The machines that take the whole gang at `t`, or null. */
  private gangAt(
    candidates: readonly Candidate[],
    job: PlanJob,
    zone: ZoneName,
    t: number,
  ): { c: Candidate; n: number }[] | null {
    const options: { c: Candidate; n: number; slack: number }[] = [];
    for (const c of candidates) {
      const m = c.machine;
      if (at(m.times, 0) > t + EPS) continue;
      let k = m.times.length - 1;
      while (k > 0 && at(m.times, k) > t + EPS) k -= 1;
      this.steps += 1;
      const n = fitCount(m, k, t - at(m.times, k) + c.fetchS + job.durationS, job);
      if (n > 0) options.push({ c, n, slack: slack(m, k, 1, job) });
    }
    options.sort(
      (a, b) =>
        Number(a.c.machine.zone !== zone) - Number(b.c.machine.zone !== zone) ||
        (Math.abs(preferred(a.c) - preferred(b.c)) > 0.5 ? preferred(a.c) - preferred(b.c) : a.slack - b.slack) ||
        a.c.machine.slot - b.c.machine.slot,
    );
    const room = job.zoneRoom ? new Map(job.zoneRoom) : null;
    const chosen: { c: Candidate; n: number }[] = [];
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

/** Share of the machines' scarce capacity in use over the next minute. */
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
