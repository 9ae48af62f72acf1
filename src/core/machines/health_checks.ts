import type { Cluster } from '../leadership/cluster.js';
import { workerLeaseExpiryMs } from '../leadership/lease_bounds.js';
import { moveReplica } from '../scheduler/services.js';
import { type JobId, type Seq, type Session, type Steady, steadyPlus } from '../types.js';
import { type Machine, MISSED_REPORTS_UNTIL_SILENT } from './machine.js';
import { type Evidence, SLOW_FACTOR } from './slowness.js';

/** Why a machine is out of use. */
const SLOW = 'slow';
/** One suspicion at a time: if everything seems slow, it isn't the machines. */
const SLOW_PAUSE_MS = 30_000;
/** So many machines must have been heard before their deafness says anything of us. */
const MIN_MACHINES_FOR_SELF_CHECK = 3;

/** What a leader looks after once a second: silence, machines about to be taken, slow ones, ones that don't hear us. */
export class HealthChecks {
  private nextSlowAt = 0 as Steady;

  constructor(
    private readonly cluster: Cluster,
    private readonly scheduleRoundSoon: () => void,
  ) {}

  run(): void {
    const { ctx } = this.cluster;
    const now = ctx.now.steady;
    const { reportMs } = ctx.settings.workers;
    const emptyAfter = workerLeaseExpiryMs(ctx.settings);
    for (const machine of this.cluster.machines.values()) {
      // What a silent machine was only meant to get goes elsewhere.
      if (machine.phase === 'up' && now - machine.lastReportAt > MISSED_REPORTS_UNTIL_SILENT * reportMs) {
        for (const p of [...machine.placements.values()]) if (p.phase === 'planned') this.cluster.release(p);
      }
      if (machine.phase === 'booting' || now - machine.leaseRenewedAt <= emptyAfter) continue;
      if (machine.reconciled && machine.placements.size === 0) continue;
      this.releaseExpired(machine);
    }
    this.drainSlowMachine(now);
    this.drainMachines(now);
  }

  /**
   * Nobody has answered it for longer than its lease, not even an earlier leader: whatever it held is gone. It comes back
   * with a new session, and nothing of the old one counts.
   */
  private releaseExpired(machine: Machine): void {
    this.cluster.ctx.log('info', 'machine silent for longer than its lease: its tasks are gone', {
      machine: machine.id,
      tasks: machine.placements.size,
      accounted: machine.reconciled,
    });
    this.cluster.releaseAll(machine);
    if (machine.session !== null) {
      machine.session = (machine.session + 1n) as Session;
      machine.seq = 0n as Seq;
      machine.lastReportSeq = null;
    }
    machine.unconfirmedStarts.clear();
    machine.reconciled = true;
    this.cluster.updateUnreconciled();
    this.scheduleRoundSoon();
  }

  /** If most machines hear nothing of what we say, it is us that is cut off: another should lead. */
  isLeaderUnreachable(): boolean {
    let up = 0;
    let deaf = 0;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || machine.firstReportAt === null) continue;
      up += 1;
      if (machine.unresponsiveSince !== null) deaf += 1;
    }
    return up >= MIN_MACHINES_FOR_SELF_CHECK && deaf * 2 > up;
  }

  /** A machine that takes several times as long for everything is replaced, one at a time. */
  private drainSlowMachine(now: Steady): void {
    if (now < this.nextSlowAt) return;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || machine.draining !== null || machine.deletionInFlight) continue;
      if (!machine.slowness.isSlow(this.overdue(machine, now))) continue;
      machine.draining = SLOW;
      this.nextSlowAt = steadyPlus(now, SLOW_PAUSE_MS / Math.max(1, this.cluster.machines.size / 30));
      this.cluster.ctx.log('info', 'machine is much slower than others: taking it out of use', { machine: machine.id });
      this.scheduleRoundSoon();
      return;
    }
  }

  /** What runs on a machine and has already taken longer than expected. */
  private overdue(machine: Machine, now: Steady): ReadonlyMap<JobId, Evidence> {
    let found: Map<JobId, Evidence> | null = null;
    for (const { job, phase, runningSince } of machine.placements.values()) {
      // A service runs for as long as its user wants: that says nothing of its machine.
      if (job.spec.shape === 'service') continue;
      if (phase !== 'running' || runningSince === null) continue;
      if ((job.spec.shape === 'gang' && job.spec.tasks > 1) || job.slowOn.size >= 2) continue;
      const ranS = (now - runningSince) / 1000;
      const expectS = this.cluster.estimates.expectS(job.spec);
      if (ranS <= expectS) continue;
      const surprise = Math.log(ranS / expectS);
      found ??= new Map();
      if (surprise > (found.get(job.id)?.surprise ?? 0)) {
        found.set(job.id, { surprise, spread: this.cluster.estimates.spread(job.spec) });
        if (surprise > SLOW_FACTOR) job.slowOn.add(machine.id);
      }
    }
    return found ?? NOTHING;
  }

  /** Work on a machine about to be taken is saved where that helps; what would end in time is left alone. */
  private drainMachines(now: Steady): void {
    for (const machine of this.cluster.machines.values()) {
      if (machine.interruptionAt === null && machine.draining === null) continue;
      for (const placement of [...machine.placements.values()]) {
        if (placement.stop !== null) continue;
        if (placement.phase === 'planned') {
          this.cluster.release(placement);
          continue;
        }
        if (placement.job.spec.shape === 'service') {
          moveReplica(this.cluster, placement);
          continue;
        }
        const leftS = machine.interruptionAt === null ? 20 : (machine.interruptionAt - now) / 1000;
        const expected = this.cluster.estimates.expectS(placement.job.spec);
        const remaining =
          placement.runningSince === null ? expected + 5 : expected - (now - placement.runningSince) / 1000;
        if (placement.phase === 'running' && remaining < leftS * 0.6 && machine.draining !== SLOW) continue;
        this.cluster.stopSaving(placement);
      }
    }
  }
}

const NOTHING: ReadonlyMap<JobId, Evidence> = new Map();
