import type { Cluster } from '../leadership/cluster.js';
import type { PlanJob } from '../scheduler/planner.js';
import type { RoundResult } from '../scheduler/round.js';
import {
  type ListedMachine,
  type MachineId,
  type MachineType,
  type Steady,
  steadyPlus,
  type TypeName,
  type ZoneName,
} from '../types.js';
import { Machine, MISSED_REPORTS_UNTIL_SILENT, startKey } from './machine.js';

interface Kind {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

interface Rental {
  readonly kind: Kind;
  readonly request: string;
  readonly count: number;
  readonly since: Steady;
}

const kindKey = (type: TypeName, zone: ZoneName, spot: boolean): string => `${type}|${zone}|${spot}`;
/** What the cloud takes in one request. */
const RENT_AT_ONCE = 50;
const DELETE_AT_ONCE = 100;
const LIST_MS = 6000;
const FEW_SILENT = 2;
const FEW_SILENT_SHARE = 0.03;
/** Capacity for guarantees is given back when there has been no work at all for so long. */
const GUARANTEE_KEEP_MS = 30_000;

/** Rents for planned need, returns what stands idle, and keeps the list of machines true. */
export class Autoscaler {
  private readonly rentals = new Map<string, Rental>();
  private readonly refusedUntil = new Map<string, { until: Steady; times: number }>();
  private requests = 0;
  private listing = false;
  private lastListAt = 0 as Steady;
  private listedOnce = false;
  private lastWorkAt: Steady;
  private spotsSeenAt: Steady;
  private toDelete: Machine[] = [];
  private deletes = 0;
  /** Machines by type and zone, counted once a round. */
  private counted: Map<string, number> | null = null;

  constructor(
    private readonly cluster: Cluster,
    private readonly registerMachine: (m: Machine) => void,
    private readonly unregisterMachine: (m: Machine) => void,
  ) {
    this.lastWorkAt = steadyPlus(cluster.ctx.now.steady, -GUARANTEE_KEEP_MS);
    this.spotsSeenAt = cluster.ctx.now.steady;
  }

  private get now(): Steady {
    return this.cluster.ctx.now.steady;
  }

  // ---- the cloud's list

  listMachines(): void {
    if (this.listing) return;
    this.listing = true;
    this.listPage(null, []);
  }

  private listPage(after: MachineId | null, before: ListedMachine[]): void {
    this.cluster.ctx.cloud({ op: 'list', after }, 2, (result) => {
      if (!result.ok) {
        this.listing = false;
        return;
      }
      const all = [...before, ...(result.value.machines ?? [])];
      const last = all[all.length - 1];
      if (result.value.more && last && all.length < 20_000) return this.listPage(last.id, all);
      this.listing = false;
      this.listedOnce = true;
      this.lastListAt = this.now;
      this.applyList(all);
    });
  }

  private applyList(listed: readonly ListedMachine[]): void {
    for (const l of listed) {
      let machine = this.cluster.machines.get(l.id);
      if (!machine) {
        if (this.cluster.removedMachines.has(l.id)) continue;
        const type = this.cluster.types.get(l.type);
        if (!type) continue;
        // Rented by an earlier leader, or by a request carried out late: taken into use like any other.
        machine = new Machine(l.id, type, l.zone, l.spot, l.addr, true, 'booting', this.now);
        this.cluster.machines.set(l.id, machine);
        this.cluster.ctx.log('info', 'machine found in the list', { machine: l.id, phase: l.phase });
      }
      if (l.addr && !machine.addr) machine.addr = l.addr;
      const rented = (this.now - l.ageS * 1000) as Steady;
      if (rented < machine.rentedAt) machine.rentedAt = rented;
      if (l.phase === 'failed' && !machine.deletionInFlight) {
        this.cluster.ctx.log('info', 'machine failed', { machine: machine.id, tasks: machine.placements.size });
        // A failed machine has stopped by itself: nothing is on it any more.
        this.cluster.releaseAll(machine);
        machine.reconciled = true;
        this.cluster.updateUnreconciled();
        this.requestDeletion(machine, 'failed');
      }
    }
    this.sendDeletes();
  }

  // ---- returning

  requestDeletion(machine: Machine, why: string): void {
    if (machine.deletionInFlight) return;
    machine.deletionInFlight = true;
    machine.deletionRequested = true;
    if (why === 'silent' || why === 'failed') this.countInterruption(machine);
    machine.draining ??= why;
    this.cluster.ctx.log('info', 'returning machine', { machine: machine.id, type: machine.typeName, why });
    this.toDelete.push(machine);
  }

  /** Returns what was marked, as many to a request as the cloud takes. */
  private sendDeletes(): void {
    while (this.toDelete.length > 0 && this.deletes < 2) {
      const batch = this.toDelete.splice(0, DELETE_AT_ONCE);
      this.deletes += 1;
      this.cluster.ctx.cloud({ op: 'delete', machines: batch.map((m) => m.id) }, 1, (result) => {
        this.deletes -= 1;
        for (const machine of batch) {
          if (this.cluster.machines.get(machine.id) !== machine) continue;
          if (!result.ok) {
            machine.deletionInFlight = false;
            continue;
          }
          this.cluster.removeMachine(machine);
          this.unregisterMachine(machine);
        }
        if (result.ok) this.cluster.ctx.timers.set('round', steadyPlus(this.now, 20));
        this.sendDeletes();
      });
    }
  }

  /** Machines that should go: idle, stuck, silent, or out of use and empty. */
  returnMachines(leaderSince: Steady): void {
    const { tuning, settings } = this.cluster.ctx;
    const now = this.now;
    if (!this.listing && now - this.lastListAt > LIST_MS) this.listMachines();
    this.observeSpotMachines();
    let heard = 0;
    let up = 0;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up') continue;
      up += 1;
      if (now - machine.lastSeenAt < 2.5 * settings.workers.reportMs) heard += 1;
    }
    // Where few are silent it is the machines; more, and the cut may be a wider one that ends before their leases do.
    const fewSilent = up - heard <= Math.max(FEW_SILENT, FEW_SILENT_SHARE * up);
    // If most workers are silent, it is we who are cut off.
    const spare = this.guaranteeShort();
    const hearing = heard * 2 >= up && now - leaderSince > 3 * settings.workers.reportMs;
    for (const m of [...this.cluster.machines.values()]) {
      if (m.deletionInFlight) continue;
      if (m.draining !== null) {
        if (m.placements.size === 0 || m.deletionRequested) this.requestDeletion(m, m.draining);
        continue;
      }
      if (m.interruptionAt !== null && m.placements.size === 0) {
        this.requestDeletion(m, 'taken by the cloud');
        continue;
      }
      const silent = now - m.lastSeenAt;
      if (m.phase === 'booting') {
        const age = (now - m.rentedAt) / 1000;
        if (age > Math.max(30, m.type.bootS * tuning.machines.boot_give_up)) this.requestDeletion(m, 'never came up');
      } else if (hearing && m.spot && m.interruptionAt !== null && silent > 2.5 * settings.workers.reportMs) {
        this.requestDeletion(m, 'taken by the cloud');
      } else if (hearing && m.spot && silent > 4 * settings.workers.reportMs) {
        // Deleting it proves it empty sooner than its lease would.
        this.requestDeletion(m, 'silent');
      } else if (
        hearing &&
        fewSilent &&
        silent > MISSED_REPORTS_UNTIL_SILENT * settings.workers.reportMs &&
        hostsReplica(m)
      ) {
        // Users of a service wait until it is proven that the replica is gone: deleting its machine proves it sooner.
        this.requestDeletion(m, 'silent');
      } else if (holdsOnlyLateStarts(m) && silent < settings.workers.leaseMs)
        this.requestDeletion(m, 'a start may still arrive there');
      else if (hearing && silent > settings.workers.leaseMs + 15_000) this.requestDeletion(m, 'silent');
      else if (hearing && m.unresponsiveSince !== null && now - m.unresponsiveSince > settings.workers.leaseMs + 15_000)
        this.requestDeletion(m, 'does not heed commands');
      else if (m.placements.size === 0 && nothingKept(m) && this.idle(m)) {
        // What the guarantees don't need.
        if (spare.gpus >= -m.type.gpus + 0.5 || spare.cpus >= -m.type.cpus + 0.5) continue;
        spare.gpus += m.type.gpus;
        spare.cpus += m.type.cpus;
        this.requestDeletion(m, 'idle');
      }
    }
    this.sendDeletes();
  }

  private countInterruption(machine: Machine): void {
    if (!machine.spot || machine.interruptionCounted) return;
    machine.interruptionCounted = true;
    this.cluster.spotInterruptions.lost();
  }

  private observeSpotMachines(): void {
    let spots = 0;
    for (const machine of this.cluster.machines.values()) {
      if (!machine.spot || machine.phase !== 'up') continue;
      spots += 1;
      if (machine.interruptionAt !== null) this.countInterruption(machine);
    }
    const seconds = Math.min(5, (this.now - this.spotsSeenAt) / 1000);
    this.spotsSeenAt = this.now;
    this.cluster.spotInterruptions.pass(spots, seconds);
  }

  private idle(machine: Machine): boolean {
    const { tuning } = this.cluster.ctx;
    // Made empty on purpose, for a job that is on its way here.
    if (machine.reserved !== null && machine.reserved.until > this.now) return false;
    const idleS = (this.now - Math.max(machine.idleSince, machine.firstReportAt ?? machine.idleSince)) / 1000;
    // It has been charged for a minute whatever happens.
    if ((this.now - machine.rentedAt) / 1000 < 55) return false;
    return idleS >= tuning.machines.idle_return_s;
  }

  /** What the teams' guarantees ask for beyond what is there; negative: to spare. */
  private guaranteeShort(): { cpus: number; gpus: number } {
    let cpus = 0;
    let gpus = 0;
    if (this.cluster.ctx.tuning.machines.keep_guarantees && this.now - this.lastWorkAt < GUARANTEE_KEEP_MS) {
      for (const team of this.cluster.quotas.teamsInOrder()) {
        cpus += team.cpus;
        gpus += team.gpus;
      }
    }
    const any = { cpus: cpus > 0, gpus: gpus > 0 };
    const add = (type: MachineType, n: number): void => {
      cpus -= type.cpus * n;
      gpus -= type.gpus * n;
    };
    for (const m of this.cluster.machines.values()) if (m.draining === null && !m.deletionInFlight) add(m.type, 1);
    for (const r of this.rentals.values()) add(r.kind.type, r.count);
    const NONE = Number.NEGATIVE_INFINITY;
    return { cpus: any.cpus ? cpus : NONE, gpus: any.gpus ? gpus : NONE };
  }

  // ---- renting

  /** Rents what would start waiting work sooner than the plan can. */
  rentForNeed(round: RoundResult): void {
    if (this.cluster.activeJobs.size > 0) this.lastWorkAt = this.now;
    if (!this.listedOnce) return;
    this.counted = null;
    const need = new Map<string, { kind: Kind; machines: number; least: number }>();
    const add = (kind: Kind, machines: number, least: number): void => {
      const key = kindKey(kind.type.name, kind.zone, kind.spot);
      const entry = need.get(key) ?? { kind, machines: 0, least: 0 };
      entry.machines += machines;
      entry.least = Math.max(entry.least, least);
      need.set(key, entry);
    };
    for (const { job, tasks, unplaced } of this.lateTasks(round)) {
      const kind = this.cheapest(job, tasks);
      // Work that no machine can take gets one, however little it is: rounding must not starve it.
      if (kind) add(kind, this.machinesFor(job, kind.type, tasks), unplaced ? 1 : 0);
    }
    const unused = this.unusedComing(round);
    for (const { job, tasks } of round.beyond) {
      const kind = this.cheapest(job, tasks);
      if (!kind) continue;
      const machines = this.machinesFor(job, kind.type, tasks);
      // Machines that are on their way and that the plan has no use for will take some of it.
      const left = unused.get(kind.type.name) ?? 0;
      const coming = Math.min(machines, left);
      unused.set(kind.type.name, left - coming);
      add(kind, machines - coming, 0);
    }
    for (const { kind, machines, least } of need.values()) {
      const rounded = Math.floor(machines + this.cluster.ctx.tuning.machines.rent_round_up);
      const n = Math.max(least, rounded) - this.beingRented(kind);
      if (n > 0) this.rent(kind, Math.min(n, RENT_AT_ONCE));
    }
    this.fillGuarantees();
    this.replaceWithSpot();
  }

  /** Booting machines, by type, on which the plan starts nothing. */
  private unusedComing(round: RoundResult): Map<TypeName, number> {
    const used = new Set<number>();
    for (const s of round.capacity.starts) used.add(s.machine);
    const unused = new Map<TypeName, number>();
    round.machines.forEach((machine, slot) => {
      if (machine.phase === 'booting' && !used.has(slot))
        unused.set(machine.typeName, (unused.get(machine.typeName) ?? 0) + 1);
    });
    return unused;
  }

  private beingRented(kind: Kind): number {
    let n = 0;
    for (const r of this.rentals.values()) if (r.kind.type.name === kind.type.name) n += r.count;
    return n;
  }

  private lateTasks(round: RoundResult): { job: PlanJob; tasks: number; unplaced: boolean }[] {
    const margin = this.cluster.ctx.tuning.machines.rent_margin_s;
    const late = new Map<number, number>();
    const add = (slot: number, n: number): void => {
      late.set(slot, (late.get(slot) ?? 0) + n);
    };
    for (const start of round.capacity.starts) {
      const job = round.planJobs[start.job] as PlanJob;
      let soonest = Number.POSITIVE_INFINITY;
      for (const type of this.cluster.types.values()) {
        if (!canRun(job, type)) continue;
        soonest = Math.min(soonest, type.bootS + job.imageGb / Math.max(0.01, type.fetchGbPerS));
      }
      if (start.startAtS > soonest + margin) add(start.job, start.tasks);
    }
    for (const [slot, n] of round.capacity.unplaced) add(slot, n);
    return [...late].map(([slot, tasks]) => ({
      job: round.planJobs[slot] as PlanJob,
      tasks,
      unplaced: (round.capacity.unplaced.get(slot) ?? 0) > 0,
    }));
  }

  private machinesFor(job: PlanJob, type: MachineType, tasks: number): number {
    const each = slots(job, type);
    if (job.gang) return tasks / each;
    const horizon = this.cluster.ctx.tuning.machines.rent_horizon_s;
    return tasks / (each * Math.max(1, horizon / Math.max(1, job.durationS)));
  }

  /** The type, zone and kind that takes the job's tasks at the lowest price a task, among those not lately refused. */
  private cheapest(job: PlanJob, tasks: number): Kind | null {
    let best: Kind | null = null;
    let bestCost = Number.POSITIVE_INFINITY;
    const can = [...this.cluster.types.values()].filter((t) => canRun(job, t));
    // Machines with GPUs are rented for work without only where nothing else runs it.
    const plain = job.gpus === 0 && can.some((t) => t.gpus === 0);
    for (const type of can) {
      if (plain && type.gpus > 0) continue;
      const used = Math.min(tasks, slots(job, type));
      for (const zone of type.zones) {
        // A machine in another zone would be rented, found of no use, returned, and rented again.
        if (job.boundTo !== null && job.boundTo !== zone) continue;
        for (const spot of job.spotOk ? [true, false] : [false]) {
          if (this.refused(type, zone, spot)) continue;
          const price = spot ? type.spotPrice * 1.1 : type.price;
          const cost = (price / used) * (1 + 0.01 * this.countIn(zone, type));
          if (cost < bestCost) {
            bestCost = cost;
            best = { type, zone, spot };
          }
        }
      }
    }
    return best;
  }

  private countIn(zone: ZoneName, type: MachineType): number {
    if (this.counted === null) {
      this.counted = new Map();
      const add = (zone: ZoneName, t: TypeName, n: number): void => {
        const key = `${t}|${zone}`;
        this.counted?.set(key, (this.counted.get(key) ?? 0) + n);
      };
      for (const m of this.cluster.machines.values()) add(m.zone, m.typeName, 1);
      for (const r of this.rentals.values()) add(r.kind.zone, r.kind.type.name, r.count);
    }
    return this.counted.get(`${type.name}|${zone}`) ?? 0;
  }

  /** Guaranteed teams need not wait for machines to boot: capacity for all guarantees is kept while there is work. */
  private fillGuarantees(): void {
    const short = this.guaranteeShort();
    if (short.gpus < 0.5 && short.cpus < 0.5) return;
    if (this.rentals.size > 0) return;
    const kinds: { kind: Kind; cost: number }[] = [];
    for (const type of this.cluster.types.values()) {
      const gain = short.gpus >= 0.5 ? type.gpus : type.cpus;
      if (gain <= 0) continue;
      for (const zone of type.zones) {
        for (const spot of [false, true]) {
          if (this.refused(type, zone, spot)) continue;
          kinds.push({ kind: { type, zone, spot }, cost: type.price / gain + (spot ? 1000 : 0) });
        }
      }
    }
    kinds.sort((a, b) => a.cost - b.cost);
    const first = kinds[0]?.kind;
    if (!first) return;
    const missing = short.gpus >= 0.5 ? short.gpus / first.type.gpus : short.cpus / first.type.cpus;
    this.rent(first, Math.min(Math.ceil(missing), RENT_AT_ONCE));
  }

  /**
   * Work that may run on spot machines but sits on ordinary ones is paid several times over: while there is a machine's
   * worth of it, a spot machine is asked for. New work then prefers it, and ordinary machines fall idle and go.
   */
  private replaceWithSpot(): void {
    const dear = new Map<TypeName, number>();
    for (const machine of this.cluster.machines.values()) {
      if (machine.spot || machine.phase !== 'up') continue;
      let share = 0;
      for (const placement of machine.placements.values()) {
        const { spec } = placement.job;
        if (spec.spotOk) share += Math.max(spec.gpus / Math.max(1, machine.type.gpus), spec.cpus / machine.type.cpus);
      }
      dear.set(machine.typeName, (dear.get(machine.typeName) ?? 0) + share);
    }
    for (const [name, share] of dear) {
      const type = this.cluster.types.get(name);
      if (!type || share < 0.7 || type.spotPrice > 0.6 * type.price) continue;
      if ([...this.rentals.values()].some((r) => r.kind.type.name === name && r.kind.spot)) continue;
      if ([...this.cluster.machines.values()].some((m) => m.typeName === name && m.spot && m.phase === 'booting'))
        continue;
      const zone = type.zones.find((z) => !this.refused(type, z, true));
      if (zone) this.rent({ type, zone, spot: true }, 1);
    }
  }

  private refused(type: MachineType, zone: ZoneName, spot: boolean): boolean {
    const blocked = this.refusedUntil.get(kindKey(type.name, zone, spot));
    return blocked !== undefined && blocked.until > this.now;
  }

  private rent(kind: Kind, count: number): void {
    this.requests += 1;
    // The term makes the name unique among all nodes; a name is never used for a second request.
    const request = `r-${this.cluster.term}-${this.requests}`;
    const rental: Rental = { kind, request, count, since: this.now };
    this.rentals.set(request, rental);
    this.sendRental(rental);
  }

  private sendRental(rental: Rental): void {
    const { kind, request, count } = rental;
    const { ctx } = this.cluster;
    const op = { op: 'rent', request, type: kind.type.name, zone: kind.zone, spot: kind.spot, count } as const;
    ctx.cloud(op, 1, (result) => {
      const key = kindKey(kind.type.name, kind.zone, kind.spot);
      if (!result.ok) {
        if (result.why === 'unknown' && this.now - rental.since < 20_000) return this.sendRental(rental);
        this.rentals.delete(request);
        if (result.why === 'no_capacity') this.noteRefusal(key);
        return;
      }
      this.rentals.delete(request);
      const ids = result.value.rented ?? [];
      if (ids.length < count) this.noteRefusal(key);
      else this.refusedUntil.delete(key);
      ctx.log('info', 'rented', {
        type: kind.type.name,
        zone: kind.zone,
        spot: kind.spot,
        asked: count,
        got: ids.length,
      });
      for (const id of ids) {
        if (this.cluster.machines.has(id) || this.cluster.removedMachines.has(id)) continue;
        const machine = new Machine(id, kind.type, kind.zone, kind.spot, '', true, 'booting', rental.since);
        this.cluster.machines.set(id, machine);
        this.registerMachine(machine);
      }
    });
  }

  private noteRefusal(key: string): void {
    const before = this.refusedUntil.get(key);
    const times = Math.min(4, (before?.times ?? 0) + 1);
    const ms = this.cluster.ctx.tuning.machines.refused_backoff_s * 1000 * 1.5 ** (times - 1);
    this.refusedUntil.set(key, { until: steadyPlus(this.now, ms), times });
  }
}

const hostsReplica = (machine: Machine): boolean => {
  for (const { job } of machine.placements.values()) if (job.spec.shape === 'service') return true;
  return false;
};

/** No result is there that isn't on record; ends kept only against a late start go with the machine. */
const nothingKept = (m: Machine): boolean => m.exitedTasks.every((e) => m.unconfirmedStarts.has(startKey(e)));

/** Nothing is there but starts of replicas no longer wanted, whose direct calls were never answered. */
function holdsOnlyLateStarts(machine: Machine): boolean {
  if (machine.unconfirmedStarts.size === 0 || machine.commandInFlight) return false;
  for (const placement of machine.placements.values()) {
    if (placement.phase !== 'sent' || placement.stop === null || !machine.unconfirmedStarts.has(startKey(placement)))
      return false;
  }
  return machine.placements.size > 0;
}

function canRun(job: PlanJob, type: MachineType): boolean {
  return slots(job, type) >= 1 && (job.types === null || job.types.includes(type.name));
}

/** How many of the job's tasks one machine of the type takes at once. */
function slots(job: PlanJob, type: MachineType): number {
  let n = Number.POSITIVE_INFINITY;
  if (job.cpus > 0) n = Math.min(n, Math.floor(type.cpus / job.cpus + 1e-6));
  if (job.gpus > 0) n = Math.min(n, Math.floor(type.gpus / job.gpus + 1e-6));
  if (job.memGb > 0) n = Math.min(n, Math.floor(type.memGb / job.memGb + 1e-6));
  return Number.isFinite(n) ? n : 1000;
}
