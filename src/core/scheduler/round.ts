import { xoroshiro128plus } from 'pure-rand';
import type { Job, Placement } from '../jobs/job.js';
import type { Cluster } from '../leadership/cluster.js';
import type { Machine } from '../machines/machine.js';
import { spotDelayS } from '../machines/spot_interruptions.js';
import type { JobId, Steady, TypeName, ZoneName } from '../types.js';
import { Evolution } from './evolution.js';
import { couldHost, type GpuWork, gpuWorkOf, mayHost, overdueS, placeTask, spareRoom } from './hosting.js';
import { machineShare, type Plan, type PlanJob, type PlanMachine, type PlannedStart, Planner } from './planner.js';
import { rankValue, urgency, userWeight } from './priority.js';
import { waitingServices } from './services.js';

/** What a round found out, for the autoscaler. */
export interface RoundResult {
  /**
   * What could start when if arrays weren't held to one zone a round: what is late here lacks machines, not a better zone
   * in the next round.
   */
  readonly capacity: Plan;
  readonly jobs: readonly Job[];
  readonly planJobs: readonly PlanJob[];
  readonly machines: readonly Machine[];
  /** Waiting jobs beyond those planned, with the tasks that found no room now. */
  readonly beyond: readonly { readonly job: PlanJob; readonly tasks: number }[];
  readonly started: number;
  /** Plan steps that it took. */
  readonly steps: number;
}

const NOW_S = 0.05;
/** A job of which nothing runs is as choosy as its preferences say for so long, and not at all after twice that. */
const FULL_PENALTY_S = 35;
/** So many tasks of it do to go on where others would rather have the room. */
const BEGIN_TASKS = 4;
const OVERDUE_TASKS = 20;
/** A task that takes more of a machine than this needs a whole one. */
const WHOLE_SHARE = 0.6;
const TASKS_PLANNED = 400;
/** Jobs beyond those planned in full that a round looks at for room that is free now. */
const FILL_MOST = 250;

/** Seconds until a running task is expected to leave its machine. */
function remainingS(cluster: Cluster, placement: Placement, now: Steady): number {
  const report = cluster.ctx.settings.workers.reportMs / 1000;
  const { spec } = placement.job;
  if (placement.stop !== null) return Math.max(report, placement.stop.graceS);
  const expected = cluster.estimates.expectS(spec);
  if (spec.shape === 'service') return expected;
  if (placement.runningSince === null) {
    return placement.machine.fetchSeconds(spec.image, spec.imageGb, now) + expected;
  }
  const elapsed = (now - placement.runningSince) / 1000;
  // The longer work has run over what was expected, the longer it is likely to go on: taking overdue work to end at once
  // makes others wait for gaps that never come.
  return Math.max(report, expected - elapsed, elapsed * cluster.ctx.tuning.scheduler.overdue_share);
}

/** When a machine that was rented but hasn't reported is expected, in seconds from now. */
export function bootingS(machine: Machine, now: Steady): number {
  const age = (now - machine.rentedAt) / 1000;
  return Math.max(machine.type.bootS * 0.15, machine.type.bootS * 1.05 - age);
}

function planMachine(
  cluster: Cluster,
  machine: Machine,
  slot: number,
  now: Steady,
  gpuWork: GpuWork,
  wanted: ReadonlySet<TypeName>,
): PlanMachine {
  const ready = machine.phase === 'booting' ? bootingS(machine, now) : 0;
  const times = [ready];
  const cpus = [machine.type.cpus - machine.usedCpus];
  const gpus = [machine.type.gpus - machine.usedGpus];
  const memGb = [machine.type.memGb - machine.usedMemGb];
  const ends = [...machine.placements.values()]
    .map((p) => ({ at: remainingS(cluster, p, now), spec: p.job.spec }))
    .sort((a, b) => a.at - b.at);
  for (const { at, spec } of ends) {
    let k = times.length - 1;
    // Ends within a second of each other are one step: a machine of 64 cores would have as many steps as tasks.
    if (at > (times[k] as number) + 0.01) {
      times.push(Math.ceil(at));
      cpus.push(cpus[k] as number);
      gpus.push(gpus[k] as number);
      memGb.push(memGb[k] as number);
      k += 1;
    }
    cpus[k] = (cpus[k] as number) + spec.cpus;
    gpus[k] = (gpus[k] as number) + spec.gpus;
    memGb[k] = (memGb[k] as number) + spec.memGb;
  }
  const loose = spareRoom(machine, gpuWork);
  return {
    slot,
    zone: machine.zone,
    spareCpus: loose.cpus,
    spareMemGb: loose.memGb,
    type: machine.type,
    spot: machine.spot,
    times,
    cpus,
    gpus,
    memGb,
    reservedForGangs: !machine.spot && wanted.has(machine.typeName),
    fetchS: (image, gb) => machine.fetchSeconds(image, gb, now),
    largestCachedShare: largestCachedShare(cluster, machine),
  };
}

function largestCachedShare(cluster: Cluster, machine: Machine): number {
  let most = 0;
  for (const [name, cached] of machine.images) {
    const user = cluster.largestImageUsers.get(name);
    if (user && cached.fetchingSince === null) most = Math.max(most, machineShare(user, machine.type));
  }
  return most;
}

/** Zones that may host the job now: the search draws from these only. */
function feasibleZones(cluster: Cluster, job: Job, machines: readonly PlanMachine[]): ZoneName[] {
  const { spec } = job;
  if (spec.sameZone) for (const p of job.placements.values()) return [p.machine.zone];
  const here = new Set<ZoneName>();
  for (const machine of machines) {
    if ((spec.spotOk || !machine.spot) && couldHost(job, machine.type, machine.zone)) here.add(machine.zone);
  }
  if (here.size > 0) return [...here].sort();
  for (const t of cluster.types.values()) for (const z of t.zones) if (couldHost(job, t, z)) here.add(z);
  return [...here].sort();
}

/** Whether a team's unfinished work fits its guarantee: then it need not wait for others. */
function guaranteedTeams(cluster: Cluster): Set<string> {
  const wanted = new Map<string, { cpus: number; gpus: number }>();
  for (const job of cluster.activeJobs) {
    if (job.state !== 'accepted') continue;
    const w = wanted.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    const n = job.spec.tasks - job.done.count;
    w.cpus += n * job.spec.cpus;
    w.gpus += n * job.spec.gpus;
    wanted.set(job.spec.team, w);
  }
  const found = new Set<string>();
  for (const team of cluster.quotas.teamsInOrder()) {
    const w = wanted.get(team.name);
    if (!w || (team.cpus <= 0 && team.gpus <= 0)) continue;
    if ((team.cpus <= 0 || w.cpus <= team.cpus) && (team.gpus <= 0 || w.gpus <= team.gpus)) found.add(team.name);
  }
  return found;
}

/** A fetch at the pace of the slowest type that could host the job: how long it takes if nothing is cached. */
function fetchGuessS(cluster: Cluster, job: Job): number {
  let rate = Number.POSITIVE_INFINITY;
  for (const type of cluster.types.values()) {
    if (type.zones.some((z) => couldHost(job, type, z))) rate = Math.min(rate, type.fetchGbPerS);
  }
  return Number.isFinite(rate) ? job.spec.imageGb / Math.max(0.01, rate) : 0;
}

/** One planning round: rank, search zones, plan, and give places to what can start now. */
export function scheduleRound(cluster: Cluster, seed: number): RoundResult {
  const { ctx } = cluster;
  const now = ctx.now.steady;
  const tuning = ctx.tuning.scheduler;
  const unaccounted = cluster.updateUnreconciled();
  const machines: Machine[] = [];
  for (const machine of cluster.machines.values()) {
    if (
      machine.isSchedulable(now, ctx.settings.workers.reportMs) ||
      (machine.phase === 'booting' && !machine.deletionInFlight && machine.draining === null)
    )
      machines.push(machine);
  }
  const gpuWork = gpuWorkOf(cluster);
  const guaranteed = guaranteedTeams(cluster);
  const gathering = new Set<string>();
  let ranked: { job: Job; tasks: number; waitedS: number; first: number; value: number }[] = [];
  for (const job of cluster.activeJobs) {
    // Services have been placed before, by best fit outside the search (services.ts).
    if (job.spec.shape === 'service') continue;
    const waiting = Math.min(job.pendingCount, TASKS_PLANNED);
    if (waiting <= 0 || job.notBefore > now || cluster.isBlocked(job, unaccounted)) continue;
    // Jobs of a team at its limit sit this round out.
    const room = cluster.quotas.room(job.spec);
    const isOverdue = overdueS(cluster, job) > 0;
    if (isOverdue && job.spec.shape === 'gang' && waiting > room) {
      gathering.add(job.spec.team);
      continue;
    }
    const all = job.spec.shape === 'gang' ? waiting : Math.min(waiting, room);
    if (all <= 0 || all > room) continue;
    const waitedS = Math.max(0, (ctx.now.wall - job.submittedAt) / 1000);
    // Smallest first alone would let the largest wait for as long as smaller work keeps coming. A job that has waited too
    // long goes before all others until it has begun; of an array a part is enough for that, so that others go on too.
    let tasks = isOverdue && job.spec.shape !== 'gang' ? Math.min(all, OVERDUE_TASKS) : all;
    if (job.spec.shape !== 'gang' && job.spec.gpus === 0 && penaltyFactor(cluster, job) === 0) {
      tasks = Math.min(tasks, BEGIN_TASKS);
    }
    const runS = cluster.estimates.expectS(job.spec);
    const value =
      rankValue(job.spec, tasks, runS, waitedS, tuning.priority_base) /
      urgency(job.spec, ctx.settings.objectives, waitedS, fetchGuessS(cluster, job), runS, {
        most: tuning.urgency,
        horizonS: tuning.urgency_horizon_s,
      });
    // Overdue jobs by how long they have waited, then teams within their guarantee, then the rest.
    const first = isOverdue ? 2 : guaranteed.has(job.spec.team) ? 1 : 0;
    ranked.push({ job, tasks, waitedS, first, value: isOverdue ? -waitedS : value });
  }
  // A team's limit fills with small work as fast as it comes free: for a gang that has waited too long it is kept.
  if (gathering.size > 0) ranked = ranked.filter((r) => r.first === 2 || !gathering.has(r.job.spec.team));
  ranked.sort((a, b) => b.first - a.first || a.value - b.value || (a.job.id < b.job.id ? -1 : 1));
  const jobs: Job[] = [];
  const planJobs: PlanJob[] = [];
  const wanted = reservedTypes(cluster, ranked);
  const planMachines = machines.map((m, slot) => planMachine(cluster, m, slot, now, gpuWork, wanted));
  const zonesHere = zonesOf(planMachines);
  const reserved: Reserved[] = [];
  machines.forEach((m, slot) => {
    if (m.reserved && m.reserved.until > now) reserved.push({ slot, job: m.reserved.job });
  });
  const bySlot = new Map(machines.map((m, slot) => [m.id as string, slot]));
  for (const { job, tasks, waitedS } of ranked.slice(0, tuning.jobs_planned + FILL_MOST)) {
    const zones = feasibleZones(cluster, job, zonesHere);
    if (zones.length === 0) continue;
    planJobs.push(planJob(cluster, job, tasks, zones, waitedS, jobs.length, reserved, bySlot));
    jobs.push(job);
  }
  const inFull = planJobs.slice(0, tuning.jobs_planned);
  const planner = new Planner(
    { average: tuning.weight_average, maximum: tuning.weight_maximum, idle: tuning.weight_idle },
    {
      gpuS: tuning.gpu_penalty_s,
      onDemandS: tuning.on_demand_penalty_s,
      reservedS: tuning.reserved_type_penalty_s,
      cachedImageS: tuning.cached_image_penalty_s,
      futureDiscount: tuning.future_discount,
    },
  );
  const search = new Evolution(planner, xoroshiro128plus(seed), {
    individuals: tuning.individuals,
    generations: tuning.generations,
    mutation: tuning.mutation,
    planSteps: tuning.plan_steps,
  });
  const none: Plan = { starts: [], machines: planMachines, cost: 0, unplaced: new Map(), steps: 0 };
  const oneZone = inFull.every((j) => j.zones.length === 1);
  // Over all zones at once: what starts late here lacks machines, not a better zone. It also seeds the search.
  const free = oneZone || inFull.length === 0 ? null : planner.plan(planMachines, inFull, null);
  const plan = inFull.length > 0 ? search.search(planMachines, inFull, free ? zonesChosen(free, inFull) : null) : none;
  const rest = planJobs.slice(inFull.length);
  const extra = rest.length > 0 ? planner.fillNow(plan, rest, tuning.plan_steps) : [];
  const capacity = withServices(cluster, free ?? plan, jobs, planJobs, unaccounted);
  const started = apply(cluster, [...plan.starts, ...extra], jobs, machines);
  const placed = new Map<number, number>();
  for (const s of extra) placed.set(s.job, (placed.get(s.job) ?? 0) + s.tasks);
  const beyond = rest
    .map((job) => ({ job, tasks: job.tasks - (placed.get(job.slot) ?? 0) }))
    .filter(({ tasks }) => tasks > 0);
  ctx.log('debug', 'round', {
    waiting: ranked.length,
    planned: inFull.length,
    machines: machines.length,
    steps: planner.steps,
    started,
    cost: plan.cost,
  });
  return { capacity, jobs, planJobs, machines, beyond, started, steps: planner.steps };
}

/** Replicas that found no place are work that lacks machines, unless some that are on their way will take them. */
function withServices(cluster: Cluster, plan: Plan, jobs: Job[], planJobs: PlanJob[], unaccounted: number): Plan {
  const unplaced = new Map(plan.unplaced);
  const waiting = waitingServices(cluster, unaccounted);
  if (waiting.length === 0) return plan;
  const coming = [...cluster.machines.values()]
    .filter((m) => m.phase === 'booting' && !m.deletionInFlight && m.draining === null)
    .map((m) => ({ m, cpus: m.type.cpus, gpus: m.type.gpus, memGb: m.type.memGb }));
  for (const job of waiting) {
    const { spec } = job;
    let tasks = Math.min(job.pendingCount, cluster.quotas.room(spec));
    for (const c of coming) {
      if ((c.m.spot && !spec.spotOk) || !couldHost(job, c.m.type, c.m.zone)) continue;
      while (tasks > 0 && c.cpus >= spec.cpus && c.gpus >= spec.gpus && c.memGb >= spec.memGb) {
        c.cpus -= spec.cpus;
        c.gpus -= spec.gpus;
        c.memGb -= spec.memGb;
        tasks -= 1;
      }
    }
    if (tasks <= 0) continue;
    const slot = planJobs.length;
    const waitedS = Math.max(0, (cluster.ctx.now.wall - job.submittedAt) / 1000);
    planJobs.push(planJob(cluster, job, tasks, feasibleZones(cluster, job, []), waitedS, slot, [], new Map()));
    jobs.push(job);
    unplaced.set(slot, tasks);
  }
  return { ...plan, unplaced };
}

/** Types of which gangs wait for whole machines that may not be spot ones. */
function reservedTypes(cluster: Cluster, waiting: readonly { readonly job: Job }[]): Set<TypeName> {
  const found = new Set<TypeName>();
  for (const { job } of waiting) {
    if (job.spec.shape !== 'gang' || job.spec.spotOk) continue;
    for (const type of cluster.types.values()) {
      if (machineShare(job.spec, type) > WHOLE_SHARE && type.zones.some((z) => couldHost(job, type, z)))
        found.add(type.name);
    }
  }
  return found;
}

/** A machine that is kept for a job on its way there. */
interface Reserved {
  readonly slot: number;
  readonly job: JobId;
}

/** For each job the zone in which a plan over all zones puts most of it. */
function zonesChosen(plan: Plan, jobs: readonly PlanJob[]): ZoneName[] {
  const counts = jobs.map(() => new Map<ZoneName, number>());
  for (const start of plan.starts) {
    const zone = (plan.machines[start.machine] as PlanMachine).zone;
    const count = counts[start.job] as Map<ZoneName, number>;
    count.set(zone, (count.get(zone) ?? 0) + start.tasks);
  }
  return jobs.map((job, i) => {
    let best = job.zones[0] as ZoneName;
    for (const [zone, n] of counts[i] as Map<ZoneName, number>) {
      if (job.zones.includes(zone) && n > (counts[i]?.get(best) ?? 0)) best = zone;
    }
    return best;
  });
}

/** For each type, zone and kind in sight one machine that stands for the others, with its zone. */
function zonesOf(machines: readonly PlanMachine[]): PlanMachine[] {
  const seen = new Map<string, PlanMachine>();
  for (const machine of machines) {
    const key = `${machine.type.name}|${machine.zone}|${machine.spot}`;
    if (!seen.has(key)) seen.set(key, machine);
  }
  return [...seen.values()];
}

/** How much is left of what a job would rather not use: nothing may keep it waiting beside room for ever. */
function penaltyFactor(cluster: Cluster, job: Job): number {
  if (job.placements.size > 0) return 1;
  const { steady, wall } = cluster.ctx.now;
  const quietS = (job.startTerm === 0 ? wall - job.submittedAt : steady - job.inactiveSince) / 1000;
  return Math.min(1, Math.max(0, 1 - (quietS - FULL_PENALTY_S) / FULL_PENALTY_S));
}

function planJob(
  cluster: Cluster,
  job: Job,
  tasks: number,
  zones: ZoneName[],
  waitedS: number,
  slot: number,
  reserved: readonly Reserved[],
  bySlot: ReadonlyMap<string, number>,
): PlanJob {
  const { spec } = job;
  const runS = cluster.estimates.expectS(spec);
  let zoneRoom: Map<ZoneName, number> | null = null;
  if (spec.spread) {
    const counts = job.zoneCounts();
    zoneRoom = new Map(zones.map((z) => [z, Math.max(0, job.zoneLimit - (counts.get(z) ?? 0))]));
  }
  const avoid = new Set<number>();
  for (const r of reserved) if (r.job !== job.id) avoid.add(r.slot);
  if (job.failedOn.size > 0 && job.failedOn.size < 3) {
    for (const id of job.failedOn) {
      const failed = bySlot.get(id);
      if (failed !== undefined) avoid.add(failed);
    }
  }
  return {
    slot,
    gang: spec.shape === 'gang',
    tasks,
    durationS: runS,
    cpus: spec.cpus,
    gpus: spec.gpus,
    memGb: spec.memGb,
    image: spec.image,
    imageGb: spec.imageGb,
    types: spec.types,
    spotOk: spec.spotOk,
    spotDelayS: spotDelayS(cluster.spotInterruptions.perS, runS, spec.checkpointS),
    sameZone: spec.sameZone,
    zoneRoom,
    zones,
    boundTo: spec.zone ?? (spec.sameZone && job.placements.size > 0 ? (zones[0] as ZoneName) : null),
    weight: userWeight(spec.rank, cluster.ctx.tuning.scheduler.priority_base),
    waitedS,
    penaltyFactor: penaltyFactor(cluster, job),
    avoid: avoid.size > 0 ? avoid : null,
  };
}

/** Gives places in the order of the plan: what was ranked before has first call on its team's limit too. */
function apply(
  cluster: Cluster,
  starts: readonly PlannedStart[],
  jobs: readonly Job[],
  machines: readonly Machine[],
): number {
  const byJob = new Map<number, PlannedStart[]>();
  for (const start of starts) {
    const parts = byJob.get(start.job);
    if (parts) parts.push(start);
    else byJob.set(start.job, [start]);
  }
  let started = 0;
  for (const [slot, parts] of byJob) {
    const job = jobs[slot] as Job;
    if (job.spec.shape === 'gang') {
      if (parts.every((s) => s.roomAtS <= NOW_S)) started += applyGang(cluster, job, parts, machines);
      continue;
    }
    for (const s of parts) {
      if (s.roomAtS > NOW_S) continue;
      const machine = machines[s.machine] as Machine;
      for (const index of job.pendingTasks(s.tasks)) {
        if (!mayHost(cluster, job, machine)) break;
        placeTask(cluster, job, index, machine, cluster.nextAttempt());
        started += 1;
      }
    }
  }
  return started;
}

/** A gang starts whole or not at all. */
function applyGang(cluster: Cluster, job: Job, parts: PlannedStart[], machines: readonly Machine[]): number {
  if (job.placements.size > 0 || cluster.quotas.room(job.spec) < job.spec.tasks) return 0;
  const attempt = cluster.nextAttempt();
  let index = 0;
  for (const start of parts) {
    const machine = machines[start.machine] as Machine;
    for (let i = 0; i < start.tasks; i++) {
      if (!mayHost(cluster, job, machine)) {
        cluster.breakGang(job);
        return 0;
      }
      placeTask(cluster, job, index, machine, attempt);
      index += 1;
    }
  }
  return index;
}
