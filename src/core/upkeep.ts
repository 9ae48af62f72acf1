import { workerLeaseExpiryMs } from './bounds.js';
import type { Cluster } from './cluster.js';
import { type Machine, MISSED_REPORTS_UNTIL_SILENT } from './fleet.js';
import { moveReplica } from './scheduler/services.js';
import { type Evidence, SLOW_FACTOR } from './slowness.js';
import { type JobId, type Seq, type Session, type Steady, steadyPlus } from './types.js';

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
    for (const m of this.cluster.machines.values()) {
      // What a silent machine was only meant to get goes elsewhere.
      if (m.phase === 'up' && now - m.lastReportAt > MISSED_REPORTS_UNTIL_SILENT * reportMs) {
        for (const p of [...m.placements.values()]) if (p.phase === 'planned') this.cluster.release(p);
      }
      if (m.phase === 'booting' || now - m.leaseRenewedAt <= emptyAfter) continue;
      if (m.reconciled && m.placements.size === 0) continue;
      this.releaseExpired(m);
    }
    this.drainSlowMachine(now);
    this.drainMachines(now);
  }

  /**
   * Nobody has answered it for longer than its lease, not even an earlier leader: whatever it held is gone. It comes back
   * with a new session, and nothing of the old one counts.
   */
  private releaseExpired(m: Machine): void {
    this.cluster.ctx.log('info', 'machine silent for longer than its lease: its tasks are gone', {
      machine: m.id,
      tasks: m.placements.size,
      accounted: m.reconciled,
    });
    this.cluster.releaseAll(m);
    if (m.session !== null) {
      m.session = (m.session + 1n) as Session;
      m.seq = 0n as Seq;
      m.lastReportSeq = null;
    }
    m.unconfirmedStarts.clear();
    m.reconciled = true;
    this.cluster.updateUnreconciled();
    this.scheduleRoundSoon();
  }

  /** If most machines hear nothing of what we say, it is us that is cut off: another should lead. */
  isLeaderUnreachable(): boolean {
    let up = 0;
    let deaf = 0;
    for (const m of this.cluster.machines.values()) {
      if (m.phase !== 'up' || m.firstReportAt === null) continue;
      up += 1;
      if (m.unresponsiveSince !== null) deaf += 1;
    }
    return up >= MIN_MACHINES_FOR_SELF_CHECK && deaf * 2 > up;
  }

  /** A machine that takes several times as long for everything is replaced, one at a time. */
  private drainSlowMachine(now: Steady): void {
    if (now < this.nextSlowAt) return;
    for (const m of this.cluster.machines.values()) {
      if (m.phase !== 'up' || m.draining !== null || m.deletionInFlight) continue;
      if (!m.slowness.isSlow(this.overdue(m, now))) continue;
      m.draining = SLOW;
      this.nextSlowAt = steadyPlus(now, SLOW_PAUSE_MS / Math.max(1, this.cluster.machines.size / 30));
      this.cluster.ctx.log('info', 'machine is much slower than others: taking it out of use', { machine: m.id });
      this.scheduleRoundSoon();
      return;
    }
  }

  /** What runs on a machine and has already taken longer than expected. */
  private overdue(m: Machine, now: Steady): ReadonlyMap<JobId, Evidence> {
    let found: Map<JobId, Evidence> | null = null;
    for (const { job, phase, runningSince } of m.placements.values()) {
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
        if (surprise > SLOW_FACTOR) job.slowOn.add(m.id);
      }
    }
    return found ?? NOTHING;
  }

  /** Work on a machine about to be taken is saved where that helps; what would end in time is left alone. */
  private drainMachines(now: Steady): void {
    for (const m of this.cluster.machines.values()) {
      if (m.interruptionAt === null && m.draining === null) continue;
      for (const p of [...m.placements.values()]) {
        if (p.stop !== null) continue;
        if (p.phase === 'planned') {
          this.cluster.release(p);
          continue;
        }
        if (p.job.spec.shape === 'service') {
          moveReplica(this.cluster, p);
          continue;
        }
        const leftS = m.interruptionAt === null ? 20 : (m.interruptionAt - now) / 1000;
        const expected = this.cluster.estimates.expectS(p.job.spec);
        const remaining = p.runningSince === null ? expected + 5 : expected - (now - p.runningSince) / 1000;
        if (p.phase === 'running' && remaining < leftS * 0.6 && m.draining !== SLOW) continue;
        this.cluster.stopSaving(p);
      }
    }
  }
}

const NOTHING: ReadonlyMap<JobId, Evidence> = new Map();
