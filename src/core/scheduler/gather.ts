import type { Cluster } from '../cluster.js';
import type { Machine } from '../fleet.js';
import type { Job } from '../jobs.js';
import { steadyPlus, type ZoneName } from '../types.js';
import type { Plan } from './planner.js';

/** So many gangs at a time may have machines kept for them, and for so long without a round that says so again. */
const GATHERING_MOST = 4;
const KEPT_MS = 5000;

/** Machines kept for gangs that have waited too long, by job and zone. */
export type Kept = ReadonlyMap<string, ReadonlyMap<ZoneName, readonly number[]>>;

export function keptFor(cluster: Cluster, machines: readonly Machine[]): Kept {
  const now = cluster.ctx.now.steady;
  const kept = new Map<string, Map<ZoneName, number[]>>();
  machines.forEach((m, slot) => {
    if (!m.reserved?.gathering || m.reserved.until <= now) return;
    const zones = kept.get(m.reserved.job) ?? new Map<ZoneName, number[]>();
    zones.set(m.zone, [...(zones.get(m.zone) ?? []), slot]);
    kept.set(m.reserved.job, zones);
  });
  return kept;
}

/** The machines to which a gang is held, with their zones, if enough of them are left: some may have gone. */
export function heldTo(kept: Kept, job: Job): { slots: Set<number>; zones: ZoneName[] } | null {
  const zones = kept.get(job.id);
  if (!zones || job.spec.shape !== 'gang') return null;
  if (!job.spec.sameZone) {
    const all = [...zones.values()].flat();
    return all.length >= job.spec.tasks ? { slots: new Set(all), zones: [...zones.keys()].sort() } : null;
  }
  for (const [zone, slots] of zones) {
    if (slots.length >= job.spec.tasks) return { slots: new Set(slots), zones: [zone] };
  }
  return null;
}

/**
 * A gang that has waited too long keeps the machines that the plan gives it until all of them are free. Planned anew in
 * every round it would never get there: what is expected to end soonest seldom does, another machine looks better in the
 * next round, and smaller work takes what had come free on the first.
 */
export function keepMachines(
  cluster: Cluster,
  plan: Plan,
  jobs: readonly Job[],
  machines: readonly Machine[],
  overdue: (job: Job) => boolean,
): void {
  const until = steadyPlus(cluster.ctx.now.steady, KEPT_MS);
  const late = new Set<number>();
  for (const [slot, job] of jobs.entries()) {
    if (late.size >= GATHERING_MOST) break;
    if (job.spec.shape === 'gang' && job.placements.size === 0 && overdue(job)) late.add(slot);
  }
  if (late.size === 0) return;
  for (const s of plan.starts) {
    if (!late.has(s.job)) continue;
    const job = jobs[s.job] as Job;
    const m = machines[s.machine] as Machine;
    if (m.reserved && m.reserved.until > cluster.ctx.now.steady && m.reserved.job !== job.id) continue;
    m.reserved = { job: job.id, until, gathering: true };
  }
}
