import type { Job, Placement } from '../jobs/job.js';
import type { Cluster } from '../leadership/cluster.js';
import type { Machine } from '../machines/machine.js';
import { steadyPlus } from '../types.js';
import { couldHost } from './hosting.js';
import type { RoundResult } from './round.js';

/** A gang whose room the plan sees no sooner than this, and that has waited so long, may stop lower work. */
const LATE_S = 6;
const WAITED_S = 3;
/** So often for one job, and for so many jobs in one round: what is stopped has to be done again. */
const TIMES_MOST = 2;
const GANGS_A_ROUND = 4;
const RESERVED_MS = 6000;

interface Option {
  readonly machine: Machine;
  readonly victims: readonly Placement[];
  /** GPU seconds (or core seconds) that are lost, and that the fetch holds the place idle. */
  readonly cost: number;
}

/**
 * Gangs of higher priority that would wait take the places of arrays of lower priority, where least is lost. The plan
 * itself never stops anything; this only makes the room, keeps it for the gang, and leaves the start to the next round.
 * Returns how many tasks were stopped.
 */
export function preempt(cluster: Cluster, { capacity: plan, jobs }: RoundResult): number {
  const startsAt = new Map<number, number>();
  for (const s of plan.starts) startsAt.set(s.job, Math.max(startsAt.get(s.job) ?? 0, s.roomAtS));
  for (const slot of plan.unplaced.keys()) startsAt.set(slot, Number.POSITIVE_INFINITY);
  let stopped = 0;
  let gangs = 0;
  for (const [slot, job] of jobs.entries()) {
    if (gangs >= GANGS_A_ROUND) break;
    if ((startsAt.get(slot) ?? 0) < LATE_S || !mayPreempt(cluster, job)) continue;
    const chosen = cheapest(cluster, job);
    if (!chosen) continue;
    gangs += 1;
    job.preemptions += 1;
    for (const { machine, victims } of chosen) {
      machine.reserved = { job: job.id, until: steadyPlus(cluster.ctx.now.steady, RESERVED_MS) };
      for (const placement of victims) {
        if (placement.phase === 'planned') cluster.release(placement);
        else cluster.stop(placement, 0);
      }
      stopped += victims.length;
    }
    cluster.ctx.log('debug', 'lower work makes room', { job: job.id, machines: chosen.length, stopped });
  }
  return stopped;
}

function mayPreempt(cluster: Cluster, job: Job): boolean {
  const { spec } = job;
  return (
    spec.shape === 'gang' &&
    spec.rank > 0 &&
    !spec.spread &&
    job.placements.size === 0 &&
    !job.gangBroken &&
    job.preemptions < TIMES_MOST &&
    (cluster.ctx.now.wall - job.submittedAt) / 1000 >= WAITED_S &&
    cluster.quotas.room(spec) >= spec.tasks
  );
}

/** The machines, in one zone if the job wants that, on which room for all its tasks costs least. */
function cheapest(cluster: Cluster, job: Job): Option[] | null {
  const byZone = new Map<string, Option[]>();
  for (const machine of cluster.machines.values()) {
    const option = optionOn(cluster, job, machine);
    if (!option) continue;
    const zone = job.spec.sameZone ? machine.zone : 'any';
    const found = byZone.get(zone);
    if (found) found.push(option);
    else byZone.set(zone, [option]);
  }
  let best: { options: Option[]; cost: number } | null = null;
  for (const options of byZone.values()) {
    if (options.length < job.spec.tasks) continue;
    const chosen = options.sort((a, b) => a.cost - b.cost).slice(0, job.spec.tasks);
    const cost = chosen.reduce((sum, o) => sum + o.cost, 0);
    if (best === null || cost < best.cost) best = { options: chosen, cost };
  }
  return best?.options ?? null;
}

/** What would have to be stopped on a machine for one task of the job, and what that costs; null if it can't be. */
export function optionOn(cluster: Cluster, job: Job, machine: Machine): Option | null {
  const { spec } = job;
  const now = cluster.ctx.now.steady;
  if (!machine.isSchedulable(now, cluster.ctx.settings.workers.reportMs)) return null;
  if (!couldHost(job, machine.type, machine.zone) || (machine.spot && !spec.spotOk)) return null;
  if (machine.reserved && machine.reserved.until > now && machine.reserved.job !== job.id) return null;
  const lower: { p: Placement; lost: number }[] = [];
  for (const placement of machine.placements.values()) {
    // What is being stopped already comes free by itself, and not for this job.
    if (placement.stop !== null) return null;
    if (placement.job.spec.shape !== 'array' || placement.job.spec.rank >= spec.rank) continue;
    const ranS = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;
    lower.push({ p: placement, lost: ranS * Math.max(placement.job.spec.gpus, 0.1) });
  }
  lower.sort((a, b) => a.lost - b.lost);
  let cpus = machine.type.cpus - machine.usedCpus;
  let gpus = machine.type.gpus - machine.usedGpus;
  let mem = machine.type.memGb - machine.usedMemGb;
  let cost = machine.fetchSeconds(spec.image, spec.imageGb, now) * Math.max(spec.gpus, 0.1);
  const victims: Placement[] = [];
  const room = (): boolean => cpus + 1e-6 >= spec.cpus && gpus + 1e-6 >= spec.gpus && mem + 1e-6 >= spec.memGb;
  for (const { p, lost } of lower) {
    if (room()) break;
    victims.push(p);
    cost += lost;
    cpus += p.job.spec.cpus;
    gpus += p.job.spec.gpus;
    mem += p.job.spec.memGb;
  }
  return room() ? { machine: machine, victims, cost } : null;
}
