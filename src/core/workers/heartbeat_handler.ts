/**
 * The way of one heartbeat through the leader, from top to bottom: it is admitted, recorded, put in line where too many have
 * come at once, reconciled with what is known, and responded to.
 */
import { LeaseRenewals } from '../../recovery/index.js';
import { Machine } from '../machines/machine.js';
import type { HeartbeatResponse } from '../messages.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { FencingToken, Heartbeat } from '../types.js';
import { type BackloggedHeartbeat, BackloggedHeartbeats, type Turn } from './backlogged_heartbeats.js';
import { responseCommands } from './commands.js';
import { DeferredResponses, type PendingResponse } from './deferred_responses.js';
import { type HeartbeatResponder, leaseRenewal, UNAVAILABLE } from './heartbeat_response.js';
import type { Reconciler } from './reconciler.js';

/** A response waits at most so long for records and planning rounds. */
const MAX_DEFERRAL_MS = 600;
/** Workers drop a response that comes after 4 s: the heartbeat of an idle machine waits for well less. */
const MAX_IDLE_DEFERRAL_MS = 2500;
/** The same as a part of the heartbeat interval. */
const IDLE_DEFERRAL_SHARE = 0.8;

/** What heartbeats' responses depend on at the leader. */
export interface HeartbeatLeader {
  /** Whether no other controller can be the leader at this moment. */
  isLeaseValid(): boolean;
  /** Whether the view of jobs is recent enough to renew workers' leases on. */
  hasRecentJobView(): boolean;
  /** Whether the view of jobs is recent enough to start tasks on. */
  mayStartTasks(): boolean;
  /** Whether the state of previous terms has been read. */
  isLoaded(): boolean;
  /** Whether records are being written that a start may wait for. */
  hasWritesInFlight(): boolean;
  /** Puts the machine on record. */
  registerMachine(machine: Machine): void;
  /** Brings the next planning round forward. */
  schedulePlanningRoundSoon(): void;
}

/** Whether a heartbeat counts. */
type Admission =
  /** It doesn't: it renews no lease and is no sign of life. */
  | { readonly kind: 'refused' }
  /** There is nothing to reconcile it with, but the lease is renewed. */
  | { readonly kind: 'renewedOnly' }
  | { readonly kind: 'admitted'; readonly machine: Machine };

const REFUSED: Admission = { kind: 'refused' };
const RENEWED_ONLY: Admission = { kind: 'renewedOnly' };

/** Processes workers' heartbeats, whichever controller they reached, and responds to each exactly once. */
export class HeartbeatHandler {
  /** When leases were last renewed before it was known which machines there are. */
  readonly renewalsWhileLoading = new LeaseRenewals();
  private readonly context: StepContext;
  private readonly deferredResponses: DeferredResponses;
  private readonly backlog: BackloggedHeartbeats;
  private duplicates = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly fencingToken: FencingToken,
    private readonly reconciler: Reconciler,
    private readonly leader: HeartbeatLeader,
  ) {
    this.context = cluster.context;
    this.deferredResponses = new DeferredResponses(this.context, cluster.timers, {
      awaitsWrites: (machine) => leader.hasWritesInFlight() && awaitsDurableRecords(cluster, machine),
      send: (response) => this.sendResponse(response),
    });
    this.backlog = new BackloggedHeartbeats(this.context, cluster.timers, {
      process: (backlogged) => this.processBacklogged(backlogged),
      leaseRenewal: () => (this.mayRenewLeases() ? leaseRenewal(this.fencingToken) : UNAVAILABLE),
    });
  }

  /** Answers all that wait with 503: another controller leads from now on. */
  stop(): void {
    this.deferredResponses.stop();
    this.backlog.stop();
  }

  /** Takes a heartbeat; `respond` is called now or later, within the time that workers wait. */
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    const admission = this.admit(heartbeat);
    switch (admission.kind) {
      case 'refused':
        respond(UNAVAILABLE);
        return;
      case 'renewedOnly':
        respond(leaseRenewal(this.fencingToken));
        return;
      case 'admitted':
        this.recordAndReconcile(admission.machine, heartbeat, respond);
    }
  }

  /** Sends the deferred responses that have nothing left to wait for. */
  releaseDeferred(): void {
    this.deferredResponses.release();
  }

  // ---- admitted

  private admit(heartbeat: Heartbeat): Admission {
    if (!this.mayRenewLeases() || heartbeat.fencingToken > this.fencingToken) return REFUSED;
    if (!this.leader.isLoaded()) {
      this.renewalsWhileLoading.record(heartbeat.machine, this.context.now.monotonic);
      return RENEWED_ONLY;
    }
    if (this.cluster.machines.wasRemoved(heartbeat.machine)) return REFUSED;
    const machine = this.cluster.machines.get(heartbeat.machine) ?? this.addUnregisteredMachine(heartbeat);
    if (!machine) return RENEWED_ONLY;
    if (machine.messages.isDuplicateHeartbeat(heartbeat)) {
      this.recordDuplicate(machine, heartbeat);
      return REFUSED;
    }
    // A machine that may be long gone, and goes on to show an old token, is not answered any more.
    if (this.hasStaleToken(heartbeat) && machine.reachability.recordStaleToken()) return REFUSED;
    return { kind: 'admitted', machine };
  }

  /** Whether responses may renew workers' leases. */
  private mayRenewLeases(): boolean {
    return this.leader.isLeaseValid() && this.leader.hasRecentJobView();
  }

  /**
   * Adds a machine that is not on record, so that nobody has ever sent it a command and it can hold no task of ours; null
   * where its type is unknown. The heartbeat may be a late copy from a machine that is long gone: it gets no work before it
   * has shown that this controller's responses reach it.
   */
  private addUnregisteredMachine({ machine: id, type: typeName, zone, spot, address }: Heartbeat): Machine | null {
    const type = this.cluster.machineTypes.get(typeName);
    if (!type) return null;
    const now = this.context.now.monotonic;
    const machine = new Machine({ id, type, zone, spot, address, reconciled: true, phase: 'up', now });
    this.cluster.machines.add(machine);
    this.cluster.previousTerms.recovery?.onUnregisteredMachine();
    this.context.log('heartbeat from unregistered machine', { machine: id });
    return machine;
  }

  /** Nobody waits for the response to a duplicate; it is no sign of life and renews no lease. */
  private recordDuplicate(machine: Machine, { sequence }: Heartbeat): void {
    this.duplicates += 1;
    this.context.log('duplicate heartbeat', { machine: machine.id, sequence, duplicates: this.duplicates });
  }

  private hasStaleToken(heartbeat: Heartbeat): boolean {
    return heartbeat.fencingToken < this.fencingToken;
  }

  // ---- recorded

  private recordAndReconcile(machine: Machine, heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    this.recordIgnoredResponse(machine, heartbeat);
    const isFirst = this.recordContact(machine, heartbeat);
    if (!machine.lifecycle.isRegistered) this.leader.registerMachine(machine);
    const deadline = this.context.after(MAX_DEFERRAL_MS);
    const pending: BackloggedHeartbeat = { machine, heartbeat, respond, isFirst, deadline };
    if (this.takeTurn(pending) === 'due') this.reconcileAndRespond(pending);
  }

  /** Signs that the last responses have not arrived: an old token after one, or a lease that expired all the same. */
  private recordIgnoredResponse(machine: Machine, heartbeat: Heartbeat): void {
    const { messages, reachability } = machine;
    if (messages.firstHeartbeatAt === null) return;
    const sinceRenewalMs = this.context.now.monotonic - messages.leaseRenewedAt;
    const wasRenewedLately = sinceRenewalMs < this.context.settings.workers.leaseMs / 2;
    if (messages.beginsNewEpoch(heartbeat) && wasRenewedLately) reachability.recordLostResponses();
    else if (this.hasStaleToken(heartbeat)) reachability.recordIgnoredResponse();
  }

  /** Returns whether it is the machine's first heartbeat to this leader. */
  private recordContact(machine: Machine, heartbeat: Heartbeat): boolean {
    const { monotonic } = this.context.now;
    const isFirst = machine.messages.recordHeartbeat(monotonic);
    machine.learnAddress(heartbeat.address);
    if (machine.phase === 'booting') this.onMachineUp(machine);
    if (isFirst) machine.allocations.resetIdleSince(monotonic);
    return isFirst;
  }

  private onMachineUp(machine: Machine): void {
    machine.lifecycle.markUp();
    const { type, zone, spot } = machine;
    const { monotonic } = this.context.now;
    const ageSeconds = machine.lifecycle.ageSeconds(monotonic);
    if (machine.lifecycle.isProvisionedByThisLeader) {
      this.cluster.bootTimeEstimator.recordBoot(type, zone, ageSeconds, monotonic);
    }
    this.context.log('machine up', {
      machine: machine.id,
      type: type.name,
      zone,
      spot,
      ageSeconds: Math.round(ageSeconds),
    });
  }

  // ---- put in line

  /** Once everything is certain of what previous terms left, no heartbeat has to wait for its turn. */
  private takeTurn(pending: BackloggedHeartbeat): Turn {
    const { recovery } = this.cluster.previousTerms;
    if (!recovery || recovery.isFinished || pending.heartbeat.fencingToken !== this.fencingToken) return 'due';
    const turn = this.backlog.takeTurn(pending);
    recovery.recordBacklogLength(this.backlog.size);
    return turn;
  }

  private processBacklogged(backlogged: BackloggedHeartbeat): void {
    if (this.mayRenewLeases() && this.cluster.machines.isCurrent(backlogged.machine))
      this.reconcileAndRespond(backlogged);
    else backlogged.respond?.(UNAVAILABLE);
  }

  // ---- reconciled

  private reconcileAndRespond({ machine, heartbeat, respond, isFirst }: BackloggedHeartbeat): void {
    const outcome = this.reconciler.reconcile(machine, heartbeat, 'heartbeat');
    machine.messages.recordHeartbeatSequence(heartbeat.sequence);
    if (respond === null) return;
    const response: PendingResponse = { respond, machine, sequence: heartbeat.sequence };
    switch (outcome.kind) {
      case 'ignored':
        respond(leaseRenewal(this.fencingToken));
        return;
      case 'applied':
        if (outcome.planning === 'due' || isFirst) this.respondAfterPlanning(response);
        else this.respondOrDefer(response, heartbeat);
    }
  }

  // ---- responded to

  /** Plans at once, so that the response already carries what starts in the free capacity. */
  private respondAfterPlanning(response: PendingResponse): void {
    this.leader.schedulePlanningRoundSoon();
    this.deferredResponses.defer(response, 'startsPending', MAX_DEFERRAL_MS);
  }

  private respondOrDefer(response: PendingResponse, heartbeat: Heartbeat): void {
    const { machine } = response;
    if (awaitsDurableRecords(this.cluster, machine))
      this.deferredResponses.defer(response, 'startsPending', MAX_DEFERRAL_MS);
    else if (this.isIdle(machine, heartbeat))
      this.deferredResponses.defer(response, 'machineIdle', this.idleDeferralMs());
    else this.sendResponse(response);
  }

  /**
   * Whether the response waits for work on purpose: what comes up meanwhile starts at once instead of with the next heartbeat.
   * Nothing can change on an empty machine that the delay would hide, except an interruption notice.
   */
  private isIdle(machine: Machine, heartbeat: Heartbeat): boolean {
    const hasNothing = machine.isEmpty && machine.reportedTasks.exited.length === 0;
    return hasNothing && heartbeat.fencingToken === this.fencingToken && !machine.cordon.isDraining;
  }

  private idleDeferralMs(): number {
    return Math.min(MAX_IDLE_DEFERRAL_MS, this.context.settings.workers.heartbeatIntervalMs * IDLE_DEFERRAL_SHARE);
  }

  private sendResponse({ respond, machine, sequence }: PendingResponse): void {
    respond(this.mayRenewLeases() ? this.responseWithCommands(machine, sequence) : UNAVAILABLE);
  }

  private responseWithCommands(machine: Machine, sequence: PendingResponse['sequence']): HeartbeatResponse {
    if (!machine.reconciled) return leaseRenewal(this.fencingToken);
    // Starts go out in the response to the newest status alone: the next heartbeat tells whether that one was dropped.
    const mayStartTasks = this.leader.mayStartTasks() && machine.messages.latestSequence === sequence;
    const commands = responseCommands(this.cluster, machine, mayStartTasks ? sequence : null);
    return { status: 200, fencingToken: this.fencingToken, commands };
  }
}

/** Whether the machine or the first start of a task that it is to run is not on record yet. */
function awaitsDurableRecords({ placements }: Cluster, machine: Machine): boolean {
  if (!machine.lifecycle.isRegistered) return true;
  for (const { phase, job } of placements.onMachine(machine).values()) {
    if (phase === 'planned' && !job.isStartDurable(machine.zone)) return true;
  }
  return false;
}
