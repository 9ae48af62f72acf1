import { FAULTY_AFTER, type Job, type Placement } from '../jobs/job.js';
import type { Cluster } from '../leadership/cluster.js';
import { type Machine, startKey, taskKey } from '../machines/machine.js';
import { type Evidence, SLOW_FACTOR } from '../machines/slowness.js';
import { type Command, type Steady, steadyPlus, type TaskReport, type Token, type WorkerReport } from '../types.js';

const COMMANDS_MAX = 400;

/** Whether a report is newer than anything seen of this machine. */
export function isNewer(machine: Machine, report: WorkerReport): boolean {
  if (machine.session === null || machine.seq === null) return true;
  return report.session > machine.session || (report.session === machine.session && report.seq > machine.seq);
}

/**
 * Takes in a worker's report. A list counts only if it carries this leader's token (so no older command can still be
 * executed) and is newer than any before it: lists can arrive late and in any order. Returns whether room came free.
 */
export function applyReport(
  cluster: Cluster,
  machine: Machine,
  report: WorkerReport,
  token: Token,
  beat: boolean,
): boolean {
  const now = cluster.ctx.now.steady;
  if (report.token > machine.tokenSeen) machine.tokenSeen = report.token;
  if (!isNewer(machine, report)) return false;
  // Without our token the list may be older than a command of an earlier leader that is still on its way.
  // And what nobody has listed may be long gone: a late copy of its list must not bring back tasks that ended.
  if (report.token !== token && (machine.registered || !machine.reconciled || !machine.confirmed)) return false;
  let freed = false;
  if (machine.session !== null && report.session > machine.session) {
    cluster.ctx.log('info', 'worker began a new session: its tasks are gone', {
      machine: machine.id,
      session: report.session,
      tasks: machine.placements.size,
    });
    cluster.releaseAll(machine);
    machine.unconfirmedStarts.clear();
    machine.images.forEach((image, name) => {
      if (image.fetchingSince !== null) machine.images.delete(name);
    });
    freed = true;
  }
  if (machine.session !== report.session) {
    machine.lastReportSeq = null;
    // A direct call may be the first to tell of a session: its lease began some time before now.
    machine.leaseRenewedAt = now;
  }
  machine.session = report.session;
  machine.seq = report.seq;
  if (!machine.reconciled) {
    machine.reconciled = true;
    cluster.updateUnreconciled();
    freed = true;
  }
  if (report.noticeS !== null) {
    if (machine.interruptionAt === null) {
      cluster.ctx.log('info', 'the cloud will take the machine', { machine: machine.id, inS: report.noticeS });
      freed = true;
    }
    machine.interruptionAt = steadyPlus(now, report.noticeS * 1000);
  }
  let dropped = false;
  const seen = new Set<string>();
  machine.exitedTasks = [];
  for (const task of report.tasks) {
    const key = taskKey(task.job, task.index);
    if (task.phase === 'exited') {
      if (processExit(cluster, machine, task)) freed = true;
    } else {
      seen.add(key);
      processLiveTask(cluster, machine, task, now);
    }
  }
  for (const [key, placement] of [...machine.placements]) {
    if (seen.has(key) || placement.phase === 'planned') continue;
    if (placement.phase === 'sent') {
      // Only a newer report of the same kind shows that the answer with the start was dropped: replies to direct
      // commands overtake it. Reports are sent one after the other.
      // One that went out by a direct call without an answer may still arrive, whatever the reports say (late-starts.txt).
      if (
        !beat ||
        placement.sentInReplyTo === null ||
        report.seq <= placement.sentInReplyTo ||
        machine.unconfirmedStarts.has(startKey(placement))
      )
        continue;
      placement.phase = 'planned';
      placement.sentInReplyTo = null;
      dropped = true;
      if (placement.stop !== null || placement.job.gangBroken || placement.job.state !== 'accepted') {
        cluster.release(placement);
        freed = true;
      }
      continue;
    }
    cluster.ctx.log('info', 'task is no longer on its machine', { task: key, machine: machine.id });
    cluster.release(placement);
    freed = true;
  }
  if (dropped) machine.ignoredAnswers += 1;
  machine.dropAbandonedFetches();
  return freed;
}

/** A task that ended. Returns whether room came free. */
function processExit(cluster: Cluster, machine: Machine, task: TaskReport): boolean {
  const { ctx } = cluster;
  const job = cluster.jobs.get(task.job);
  const done = task.reason === 'done';
  machine.exitedTasks.push({ job: task.job, index: task.index, attempt: task.attempt, done });
  if (!job) return false;
  const placement = cluster.findPlacement(machine, task.job, task.index);
  const mine = placement !== undefined && placement.attempt === task.attempt;
  if (job.spec.shape === 'service') {
    machine.exitedTasks[machine.exitedTasks.length - 1] = {
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      done: false,
    };
    if (!mine) return false;
    recordReplicaEnd(cluster, machine, placement, task);
    cluster.release(placement);
    return true;
  }
  if (done && job.state === 'accepted' && !job.isDone(task.index)) {
    job.markDone(task.index);
    machine.consecutiveErrors = 0;
    if (mine && placement.runningSince !== null && job.failures === 0) {
      const spread = cluster.estimates.spread(job.spec);
      const surprise = cluster.estimates.observe(job.spec, (ctx.now.steady - placement.runningSince) / 1000);
      // A gang is as slow as its slowest machine: only a gang of one says which that is.
      if (job.spec.shape !== 'gang' || job.spec.tasks === 1) recordSpeed(machine, job, { surprise, spread });
    }
    if (ctx.timers.at('recordFlush') === null) ctx.timers.set('recordFlush', steadyPlus(ctx.now.steady, 30));
  }
  if (!mine) return false;
  if (!done) recordFailure(cluster, machine, job, task, placement.runningSince !== null);
  cluster.release(placement);
  return true;
}

/** A job that runs long on several machines was estimated wrongly, and is no evidence against any of them. */
function recordSpeed(machine: Machine, job: Job, evidence: Evidence): void {
  if (evidence.surprise > SLOW_FACTOR) job.slowOn.add(machine.id);
  if (job.slowOn.size < 2) machine.slowness.note(job.id, evidence);
}

/** One that ran for so long has shown that its service and its machine are well. */
const STEADY_MS = 30_000;
const QUICK_ENDS_FREE = 2;
const RESTART_MOST_MS = 30_000;

/**
 * A replica that ends runs again elsewhere, whatever it ended with. One that ends soon after its start does so after a pause
 * that doubles: a service that can't stay up must not take the cluster's time.
 */
function recordReplicaEnd(cluster: Cluster, machine: Machine, placement: Placement, task: TaskReport): void {
  const { job } = placement;
  const now = cluster.ctx.now.steady;
  if (task.reason === 'stopped') return;
  if (placement.runningSince !== null && now - placement.runningSince >= STEADY_MS) {
    job.failedOn.clear();
    job.shortRuns = 0;
  } else if (task.reason === 'done' || task.reason === 'error') {
    job.failedOn.add(machine.id);
    // Replicas that began together and end together have failed once.
    if (placement.since >= job.lastShortRunAt) {
      job.shortRuns += 1;
      job.lastShortRunAt = now;
    }
    const pause = job.shortRuns <= QUICK_ENDS_FREE ? 0 : 500 * 2 ** Math.min(6, job.shortRuns - QUICK_ENDS_FREE);
    job.notBefore = steadyPlus(now, Math.min(RESTART_MOST_MS, pause));
  }
  const pausedUntil = job.notBefore;
  if (task.reason !== 'done') recordFailure(cluster, machine, job, task, placement.runningSince !== null);
  job.notBefore = Math.max(pausedUntil, job.notBefore) as Steady;
  cluster.scheduleServicePlacement(job.notBefore);
}

function recordFailure(cluster: Cluster, machine: Machine, job: Job, task: TaskReport, ran: boolean): void {
  const { ctx } = cluster;
  const now = ctx.now.steady;
  if (task.reason === 'stopped' || task.reason === 'peers_gone') {
    if (ran) job.failures += 1;
    return;
  }
  ctx.log('info', 'task ended early', {
    task: taskKey(task.job, task.index),
    machine: machine.id,
    reason: task.reason,
  });
  job.failures += 1;
  if (task.reason === 'no_room' || task.reason === 'busy' || task.reason === 'unknown') {
    job.notBefore = steadyPlus(now, 1000);
    return;
  }
  if (task.reason !== 'error') return;
  job.failedOn.add(machine.id);
  // A job that failed on several machines is more likely at fault than the machine, and is tried ever more rarely.
  if (job.failedOn.size >= FAULTY_AFTER) {
    job.notBefore = steadyPlus(now, Math.min(60_000, 2000 * 2 ** Math.min(5, job.failedOn.size - FAULTY_AFTER)));
    return;
  }
  machine.consecutiveErrors += 1;
  machine.suspectUntil = steadyPlus(now, 3000);
  if (machine.consecutiveErrors >= ctx.tuning.machines.error_limit && machine.draining === null) {
    machine.draining = 'fails its tasks';
    ctx.log('info', 'machine fails what it starts: taking it out of use', {
      machine: machine.id,
      errors: machine.consecutiveErrors,
    });
  }
}

function processLiveTask(cluster: Cluster, machine: Machine, task: TaskReport, now: Steady): void {
  const job = cluster.jobs.get(task.job);
  if (!job) return;
  let placement = cluster.findPlacement(machine, task.job, task.index);
  if (placement && placement.attempt !== task.attempt) {
    // Ours may still come by a direct call; it is refused for as long as the older one is there, and the worker says so.
    if (machine.unconfirmedStarts.has(startKey(placement))) return;
    // An older attempt is still there: ours can't have been started.
    cluster.release(placement);
    placement = undefined;
  }
  if (!placement) {
    const elsewhere = job.placements.get(task.index);
    if (elsewhere && elsewhere.phase === 'planned') cluster.release(elsewhere);
    else if (elsewhere) {
      cluster.ctx.log('error', 'task reported by two machines', {
        task: taskKey(task.job, task.index),
        machines: [machine.id, elsewhere.machine.id],
      });
      return;
    }
    placement = cluster.place(job, task.index, machine, task.attempt, task.phase as 'running');
    if (job.state === 'cancelled') cluster.stop(placement, 0);
    if (job.spec.shape !== 'gang' && job.isDone(task.index)) cluster.stop(placement, 0);
  }
  const fromStart = placement.phase === 'sent';
  if (fromStart) machine.ignoredAnswers = 0;
  placement.phase = task.phase as 'running';
  if (task.phase === 'fetching') machine.recordImage(job, true, now, fromStart);
  else machine.recordImage(job, false, now);
  if (task.phase === 'running' && placement.runningSince === null) {
    placement.runningSince = now;
    cluster.ctx.log('debug', 'task runs', {
      task: taskKey(task.job, task.index),
      machine: machine.id,
      jobClass: job.spec.jobClass,
      image: job.spec.image,
      imageGb: job.spec.imageGb,
      placedAgoS: (now - placement.since) / 1000,
      submittedAgoS: (cluster.ctx.now.wall - job.submittedAt) / 1000,
      fetchSpeed: machine.fetchSpeed,
    });
  }
}

/** What to tell a worker: results to drop first, then stops, then starts. */
export function compileCommands(cluster: Cluster, machine: Machine, starts: boolean): Command[] {
  const commands: Command[] = [];
  if (starts) {
    for (const exit of machine.exitedTasks) {
      const job = cluster.jobs.get(exit.job);
      // Once forgotten, a start of the same attempt that is still on its way would run it again.
      if (machine.unconfirmedStarts.has(startKey(exit))) continue;
      if (!exit.done || !job || job.isResultDurable(exit.index)) {
        commands.push({ op: 'forget', job: exit.job, index: exit.index, attempt: exit.attempt });
      }
    }
  }
  for (const placement of machine.placements.values()) {
    if (placement.stop === null || placement.phase === 'planned') continue;
    commands.push({
      op: 'stop',
      job: placement.job.id,
      index: placement.index,
      attempt: placement.attempt,
      graceS: placement.stop.graceS,
    });
  }
  if (starts) {
    for (const p of machine.placements.values()) {
      if (commands.length >= COMMANDS_MAX) break;
      if (p.stop !== null || (p.phase !== 'planned' && p.phase !== 'sent')) continue;
      commands.push({ op: 'start', job: p.job.id, index: p.index, attempt: p.attempt });
    }
  }
  return commands;
}
