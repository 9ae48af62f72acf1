import type { Cluster } from '../leadership/cluster.js';
import type { MonotonicTime } from '../types.js';
import { type Capacity, GUARANTEE_TOLERANCE } from './guarantees.js';
import { type DrainReason, type Machine, SILENT_AFTER_REPORTS, startKey, startKeyOf } from './machine.js';

/** What the cloud takes in one request, and how many requests are under way at once. */
const DELETE_BATCH = 100;
const MAX_CONCURRENT_DELETES = 2;
const DELETE_PRIORITY = 1;
const ROUND_AFTER_DELETE_MS = 20;
/** So many silent machines, or such a share of all, are few: the fault is theirs. */
const FEW_SILENT = 2;
const FEW_SILENT_SHARE = 0.03;
/** A new leader judges silence only after so many report periods. */
const JUDGE_SILENCE_AFTER_REPORTS = 3;
const SPOT_GONE_AFTER_REPORTS = 4;
/** A machine that stays silent or unresponsive for this long beyond a lease is given up. */
const GIVE_UP_AFTER_LEASE_MS = 15_000;
const MIN_BOOT_S = 30;
/** A machine is charged for a minute whatever happens: it is not returned much sooner. */
const MIN_CHARGED_S = 55;

/** What one look at all machines needs to judge each of them. */
interface Overview {
  readonly now: MonotonicTime;
  readonly reportMs: number;
  readonly leaseMs: number;
  /** Most machines are heard, and have been for long enough: one that isn't is at fault itself. */
  readonly mayJudgeSilence: boolean;
  /** Few are silent. More, and the cut may be a wider one that ends before their leases do. */
  readonly fewSilent: boolean;
}

/** Returns machines to the cloud: those that stand idle, are out of use and empty, or will not be heard again. */
export class MachineReturns {
  private queue: Machine[] = [];
  private inFlight = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly unregister: (machine: Machine) => void,
    private readonly onLost: (machine: Machine) => void,
  ) {}

  /** Looks at all machines once. `missing`: what guarantees ask for beyond what is there; negative: to spare. */
  run(leadingSince: MonotonicTime, missing: Capacity): void {
    const overview = this.overview(leadingSince);
    for (const machine of [...this.cluster.machines.values()]) {
      if (machine.deletionInFlight) continue;
      const reason = this.reasonToReturn(machine, overview) ?? this.idleReason(machine, missing);
      if (reason !== null) this.request(machine, reason);
    }
    this.send();
  }

  private overview(leadingSince: MonotonicTime): Overview {
    const { settings, now } = this.cluster.context;
    const { heartbeatIntervalMs, leaseMs } = settings.workers;
    let up = 0;
    let heard = 0;
    for (const { phase, lastSeenAt } of this.cluster.machines.values()) {
      if (phase !== 'up') continue;
      up += 1;
      if (now.monotonic - lastSeenAt < SILENT_AFTER_REPORTS * heartbeatIntervalMs) heard += 1;
    }
    const ledLongEnough = now.monotonic - leadingSince > JUDGE_SILENCE_AFTER_REPORTS * heartbeatIntervalMs;
    return {
      now: now.monotonic,
      reportMs: heartbeatIntervalMs,
      leaseMs,
      mayJudgeSilence: heard * 2 >= up && ledLongEnough,
      fewSilent: up - heard <= Math.max(FEW_SILENT, FEW_SILENT_SHARE * up),
    };
  }

  private reasonToReturn(machine: Machine, overview: Overview): DrainReason | null {
    const { isEmpty } = machine;
    if (machine.draining !== null) return isEmpty || machine.deletionRequested ? machine.draining : null;
    if (machine.interruptionAt !== null && isEmpty) return 'taken by the cloud';
    if (machine.phase === 'booting') return this.neverBoots(machine, overview.now) ? 'never came up' : null;
    const silence = overview.mayJudgeSilence ? silenceReason(machine, overview) : null;
    if (silence !== null) return silence;
    if (holdsOnlyUnconfirmedStarts(machine) && overview.now - machine.lastSeenAt < overview.leaseMs) {
      return 'a start may still arrive there';
    }
    return overview.mayJudgeSilence && isLongUnresponsive(machine, overview) ? 'does not answer commands' : null;
  }

  private neverBoots(machine: Machine, now: MonotonicTime): boolean {
    const { type, zone } = machine;
    const { bootTimes, context } = this.cluster;
    const factor = context.tuning.machines.boot_give_up * bootTimes.patience(type, zone, machine.rentedAt, now);
    return machine.ageS(now) > Math.max(MIN_BOOT_S, type.bootSeconds * factor);
  }

  /** Where the machine stands idle and no guarantee needs it; takes it off what is to spare. */
  private idleReason(machine: Machine, missing: Capacity): DrainReason | null {
    if (machine.draining !== null || machine.phase === 'booting') return null;
    if (!machine.isEmpty || keepsResults(machine) || !this.isIdle(machine)) return null;
    const { cpus, gpus } = machine.type;
    const neededForGuarantees =
      missing.gpus >= GUARANTEE_TOLERANCE - gpus || missing.cpus >= GUARANTEE_TOLERANCE - cpus;
    if (neededForGuarantees) return null;
    missing.gpus += gpus;
    missing.cpus += cpus;
    return 'idle';
  }

  private isIdle(machine: Machine): boolean {
    const now = this.cluster.context.now.monotonic;
    // Made empty on purpose, for a job that is on its way here.
    if (machine.reservedFor(now) !== null) return false;
    if (machine.ageS(now) < MIN_CHARGED_S) return false;
    const idleSince = Math.max(machine.idleSince, machine.firstReportAt ?? machine.idleSince);
    return (now - idleSince) / 1000 >= this.cluster.context.tuning.machines.idle_return_s;
  }

  /** Marks a machine to be returned; `send` does it. */
  request(machine: Machine, reason: DrainReason): void {
    if (machine.deletionInFlight) return;
    machine.deletionInFlight = true;
    machine.deletionRequested = true;
    if (reason === 'silent' || reason === 'failed') this.onLost(machine);
    machine.draining ??= reason;
    if (reason === 'never came up') this.noteGivenUp(machine);
    this.cluster.context.log('info', 'returning machine', { machine: machine.id, type: machine.typeName, why: reason });
    this.queue.push(machine);
  }

  private noteGivenUp({ type, zone, rentedAt }: Machine): void {
    this.cluster.bootTimes.noteGivenUp(type, zone, rentedAt, this.cluster.context.now.monotonic);
  }

  /** Returns what was marked, as many to a request as the cloud takes. */
  send(): void {
    while (this.queue.length > 0 && this.inFlight < MAX_CONCURRENT_DELETES) {
      this.sendBatch(this.queue.splice(0, DELETE_BATCH));
    }
  }

  private sendBatch(batch: readonly Machine[]): void {
    const { context } = this.cluster;
    this.inFlight += 1;
    context.callCloud({ op: 'delete', machines: batch.map(({ id }) => id) }, DELETE_PRIORITY, (result) => {
      this.inFlight -= 1;
      for (const machine of batch) this.onAnswer(machine, result.ok);
      if (result.ok) context.timers.set('round', context.after(ROUND_AFTER_DELETE_MS));
      this.send();
    });
  }

  private onAnswer(machine: Machine, deleted: boolean): void {
    if (!this.cluster.isKnown(machine)) return;
    if (!deleted) {
      machine.deletionInFlight = false;
      return;
    }
    this.cluster.removeMachine(machine);
    this.unregister(machine);
  }
}

/** Why a machine that has not been heard for some time is returned. */
function silenceReason(machine: Machine, { now, reportMs, leaseMs, fewSilent }: Overview): DrainReason | null {
  const silentMs = now - machine.lastSeenAt;
  const missesReports = silentMs > SILENT_AFTER_REPORTS * reportMs;
  if (machine.spot && machine.interruptionAt !== null && missesReports) return 'taken by the cloud';
  // Deleting it proves it empty sooner than its lease would.
  if (machine.spot && silentMs > SPOT_GONE_AFTER_REPORTS * reportMs) return 'silent';
  // Users of a service wait until it is proven that the replica is gone.
  if (fewSilent && missesReports && machine.hasReplica()) return 'silent';
  return silentMs > leaseMs + GIVE_UP_AFTER_LEASE_MS ? 'silent' : null;
}

function isLongUnresponsive(machine: Machine, { now, leaseMs }: Overview): boolean {
  return machine.unresponsiveSince !== null && now - machine.unresponsiveSince > leaseMs + GIVE_UP_AFTER_LEASE_MS;
}

/** Whether results are there that aren't on record; ends kept only against a late start go with the machine. */
const keepsResults = (machine: Machine): boolean =>
  machine.exitedTasks.some(({ job, index, attempt }) => !machine.unconfirmedStarts.has(startKey(job, index, attempt)));

/** Nothing is there but starts of replicas that are no longer needed, whose direct commands were never answered. */
function holdsOnlyUnconfirmedStarts(machine: Machine): boolean {
  if (machine.unconfirmedStarts.size === 0 || machine.commandInFlight) return false;
  for (const placement of machine.placements.values()) {
    const unwanted = placement.phase === 'sent' && placement.stop !== null;
    if (!unwanted || !machine.unconfirmedStarts.has(startKeyOf(placement))) return false;
  }
  return machine.placements.size > 0;
}
