import type { Cluster } from './cluster.js';
import { type Machine, startKey, taskKey } from './fleet.js';
import { FAULTY_AFTER, type Job, type Placement } from './jobs.js';
import { type Evidence, SLOW_FACTOR } from './slowness.js';
import { type Command, type Steady, steadyPlus, type TaskReport, type Token, type WorkerReport } from './types.js';

const COMMANDS_MAX = 400;

/** Whether a report is newer than anything seen of this machine. */
export function isNewer(m: Machine, r: WorkerReport): boolean {
  if (m.session === null || m.seq === null) return true;
  return r.session > m.session || (r.session === m.session && r.seq > m.seq);
}

/**
 * Takes in a worker's report. A list counts only if it carries this leader's token (so no older command can still be
 * executed) and is newer than any before it: lists can arrive late and in any order. Returns whether room came free.
 */
export function applyReport(cluster: Cluster, m: Machine, r: WorkerReport, token: Token, beat: boolean): boolean {
  const now = cluster.ctx.now.steady;
  if (r.token > m.tokenSeen) m.tokenSeen = r.token;
  if (!isNewer(m, r)) return false;
  // Without our token the list may be older than a command of an earlier leader that is still on its way.
  // And what nobody has listed may be long gone: a late copy of its list must not bring back tasks that ended.
  if (r.token !== token && (m.registered || !m.reconciled || !m.confirmed)) return false;
  let freed = false;
  if (m.session !== null && r.session > m.session) {
    cluster.ctx.log('info', 'worker began a new session: its tasks are gone', {
      machine: m.id,
      session: r.session,
      tasks: m.placements.size,
    });
    cluster.releaseAll(m);
    m.unconfirmedStarts.clear();
    m.images.forEach((image, name) => {
      if (image.fetchingSince !== null) m.images.delete(name);
    });
    freed = true;
  }
  if (m.session !== r.session) {
    m.lastReportSeq = null;
    // A direct call may be the first to tell of a session: its lease began some time before now.
    m.leaseRenewedAt = now;
  }
  m.session = r.session;
  m.seq = r.seq;
  if (!m.reconciled) {
    m.reconciled = true;
    cluster.updateUnreconciled();
    freed = true;
  }
  if (r.noticeS !== null) {
    if (m.interruptionAt === null) {
      cluster.ctx.log('info', 'the cloud will take the machine', { machine: m.id, inS: r.noticeS });
      freed = true;
    }
    m.interruptionAt = steadyPlus(now, r.noticeS * 1000);
  }
  let dropped = false;
  const seen = new Set<string>();
  m.exitedTasks = [];
  for (const t of r.tasks) {
    const key = taskKey(t.job, t.index);
    if (t.phase === 'exited') {
      if (processExit(cluster, m, t)) freed = true;
    } else {
      seen.add(key);
      processLiveTask(cluster, m, t, now);
    }
  }
  for (const [key, p] of [...m.placements]) {
    if (seen.has(key) || p.phase === 'planned') continue;
    if (p.phase === 'sent') {
      // Only a newer report of the same kind shows that the answer with the start was dropped: replies to direct
      // commands overtake it. Reports are sent one after the other.
      // One that went out by a direct call without an answer may still arrive, whatever the reports say (late-starts.txt).
      if (!beat || p.sentInReplyTo === null || r.seq <= p.sentInReplyTo || m.unconfirmedStarts.has(startKey(p)))
        continue;
      p.phase = 'planned';
      p.sentInReplyTo = null;
      dropped = true;
      if (p.stop !== null || p.job.gangBroken || p.job.state !== 'accepted') {
        cluster.release(p);
        freed = true;
      }
      continue;
    }
    cluster.ctx.log('info', 'task is no longer on its machine', { task: key, machine: m.id });
    cluster.release(p);
    freed = true;
  }
  if (dropped) m.ignoredAnswers += 1;
  m.dropAbandonedFetches();
  return freed;
}

/** A task that ended. Returns whether room came free. */
function processExit(cluster: Cluster, m: Machine, t: TaskReport): boolean {
  const { ctx } = cluster;
  const job = cluster.jobs.get(t.job);
  const done = t.reason === 'done';
  m.exitedTasks.push({ job: t.job, index: t.index, attempt: t.attempt, done });
  if (!job) return false;
  const p = cluster.findPlacement(m, t.job, t.index);
  const mine = p !== undefined && p.attempt === t.attempt;
  if (job.spec.shape === 'service') {
    m.exitedTasks[m.exitedTasks.length - 1] = { job: t.job, index: t.index, attempt: t.attempt, done: false };
    if (!mine) return false;
    recordReplicaEnd(cluster, m, p, t);
    cluster.release(p);
    return true;
  }
  if (done && job.state === 'accepted' && !job.isDone(t.index)) {
    job.markDone(t.index);
    m.consecutiveErrors = 0;
    if (mine && p.runningSince !== null && job.failures === 0) {
      const spread = cluster.estimates.spread(job.spec);
      const surprise = cluster.estimates.observe(job.spec, (ctx.now.steady - p.runningSince) / 1000);
      // A gang is as slow as its slowest machine: only a gang of one says which that is.
      if (job.spec.shape !== 'gang' || job.spec.tasks === 1) recordSpeed(m, job, { surprise, spread });
    }
    if (ctx.timers.at('recordFlush') === null) ctx.timers.set('recordFlush', steadyPlus(ctx.now.steady, 30));
  }
  if (!mine) return false;
  if (!done) recordFailure(cluster, m, job, t, p.runningSince !== null);
  cluster.release(p);
  return true;
}

/** A job that runs long on several machines was estimated wrongly, and is no evidence against any of them. */
function recordSpeed(m: Machine, job: Job, e: Evidence): void {
  if (e.surprise > SLOW_FACTOR) job.slowOn.add(m.id);
  if (job.slowOn.size < 2) m.slowness.note(job.id, e);
}

/** One that ran for so long has shown that its service and its machine are well. */
const STEADY_MS = 30_000;
const QUICK_ENDS_FREE = 2;
const RESTART_MOST_MS = 30_000;

/**
 * A replica that ends runs again elsewhere, whatever it ended with. One that ends soon after its start does so after a pause
 * that doubles: a service that can't stay up must not take the cluster's time.
 */
function recordReplicaEnd(cluster: Cluster, m: Machine, p: Placement, t: TaskReport): void {
  const { job } = p;
  const now = cluster.ctx.now.steady;
  if (t.reason === 'stopped') return;
  if (p.runningSince !== null && now - p.runningSince >= STEADY_MS) {
    job.failedOn.clear();
    job.shortRuns = 0;
  } else if (t.reason === 'done' || t.reason === 'error') {
    job.failedOn.add(m.id);
    // Replicas that began together and end together have failed once.
    if (p.since >= job.lastShortRunAt) {
      job.shortRuns += 1;
      job.lastShortRunAt = now;
    }
    const pause = job.shortRuns <= QUICK_ENDS_FREE ? 0 : 500 * 2 ** Math.min(6, job.shortRuns - QUICK_ENDS_FREE);
    job.notBefore = steadyPlus(now, Math.min(RESTART_MOST_MS, pause));
  }
  const pausedUntil = job.notBefore;
  if (t.reason !== 'done') recordFailure(cluster, m, job, t, p.runningSince !== null);
  job.notBefore = Math.max(pausedUntil, job.notBefore) as Steady;
  cluster.scheduleServicePlacement(job.notBefore);
}

function recordFailure(cluster: Cluster, m: Machine, job: Job, t: TaskReport, ran: boolean): void {
  const { ctx } = cluster;
  const now = ctx.now.steady;
  if (t.reason === 'stopped' || t.reason === 'peers_gone') {
    if (ran) job.failures += 1;
    return;
  }
  ctx.log('info', 'task ended early', { task: taskKey(t.job, t.index), machine: m.id, reason: t.reason });
  job.failures += 1;
  if (t.reason === 'no_room' || t.reason === 'busy' || t.reason === 'unknown') {
    job.notBefore = steadyPlus(now, 1000);
    return;
  }
  if (t.reason !== 'error') return;
  job.failedOn.add(m.id);
  // A job that failed on several machines is more likely at fault than the machine, and is tried ever more rarely.
  if (job.failedOn.size >= FAULTY_AFTER) {
    job.notBefore = steadyPlus(now, Math.min(60_000, 2000 * 2 ** Math.min(5, job.failedOn.size - FAULTY_AFTER)));
    return;
  }
  m.consecutiveErrors += 1;
  m.suspectUntil = steadyPlus(now, 3000);
  if (m.consecutiveErrors >= ctx.tuning.machines.error_limit && m.draining === null) {
    m.draining = 'fails its tasks';
    ctx.log('info', 'machine fails what it starts: taking it out of use', {
      machine: m.id,
      errors: m.consecutiveErrors,
    });
  }
}

function processLiveTask(cluster: Cluster, m: Machine, t: TaskReport, now: Steady): void {
  const job = cluster.jobs.get(t.job);
  if (!job) return;
  let p = cluster.findPlacement(m, t.job, t.index);
  if (p && p.attempt !== t.attempt) {
    // Ours may still come by a direct call; it is refused for as long as the older one is there, and the worker says so.
    if (m.unconfirmedStarts.has(startKey(p))) return;
    // An older attempt is still there: ours can't have been started.
    cluster.release(p);
    p = undefined;
  }
  if (!p) {
    const elsewhere = job.placements.get(t.index);
    if (elsewhere && elsewhere.phase === 'planned') cluster.release(elsewhere);
    else if (elsewhere) {
      cluster.ctx.log('error', 'task reported by two machines', {
        task: taskKey(t.job, t.index),
        machines: [m.id, elsewhere.machine.id],
      });
      return;
    }
    p = cluster.place(job, t.index, m, t.attempt, t.phase as 'running');
    if (job.state === 'cancelled') cluster.stop(p, 0);
    if (job.spec.shape !== 'gang' && job.isDone(t.index)) cluster.stop(p, 0);
  }
  const fromStart = p.phase === 'sent';
  if (fromStart) m.ignoredAnswers = 0;
  p.phase = t.phase as 'running';
  if (t.phase === 'fetching') m.recordImage(job, true, now, fromStart);
  else m.recordImage(job, false, now);
  if (t.phase === 'running' && p.runningSince === null) {
    p.runningSince = now;
    cluster.ctx.log('debug', 'task runs', {
      task: taskKey(t.job, t.index),
      machine: m.id,
      jobClass: job.spec.jobClass,
      image: job.spec.image,
      imageGb: job.spec.imageGb,
      placedAgoS: (now - p.since) / 1000,
      submittedAgoS: (cluster.ctx.now.wall - job.submittedAt) / 1000,
      fetchSpeed: m.fetchSpeed,
    });
  }
}

/** What to tell a worker: results to drop first, then stops, then starts. */
export function compileCommands(cluster: Cluster, m: Machine, starts: boolean): Command[] {
  const commands: Command[] = [];
  if (starts) {
    for (const e of m.exitedTasks) {
      const job = cluster.jobs.get(e.job);
      // Once forgotten, a start of the same attempt that is still on its way would run it again.
      if (m.unconfirmedStarts.has(startKey(e))) continue;
      if (!e.done || !job || job.isResultDurable(e.index)) {
        commands.push({ op: 'forget', job: e.job, index: e.index, attempt: e.attempt });
      }
    }
  }
  for (const p of m.placements.values()) {
    if (p.stop === null || p.phase === 'planned') continue;
    commands.push({ op: 'stop', job: p.job.id, index: p.index, attempt: p.attempt, graceS: p.stop.graceS });
  }
  if (starts) {
    for (const p of m.placements.values()) {
      if (commands.length >= COMMANDS_MAX) break;
      if (p.stop !== null || (p.phase !== 'planned' && p.phase !== 'sent')) continue;
      commands.push({ op: 'start', job: p.job.id, index: p.index, attempt: p.attempt });
    }
  }
  return commands;
}
