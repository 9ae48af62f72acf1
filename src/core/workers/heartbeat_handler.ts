/**
 * Handles heartbeats at the leader. The steps are admission, recording, queueing while too many heartbeats arrive at
 * once, reconciliation with the leader's state, and the response.
 */
import { LeaseRenewals } from '../../recovery/index.js';
import { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { Heartbeat } from '../types.js';
import { type BackloggedHeartbeat, BackloggedHeartbeats, type QueueDecision } from './backlogged_heartbeats.js';
import { DeferredResponses, type PendingResponse } from './deferred_responses.js';
import type { FencingTokens } from './fencing_tokens.js';
import { type HeartbeatResponder, UNAVAILABLE } from './heartbeat_response.js';
import type { Reconciler } from './reconciler.js';
import { HeartbeatResponseBuilder, type ResponseLeader } from './response_builder.js';

/** Maximum deferral of a heartbeat response for records, a planning round or the backlog, in milliseconds. */
const MAX_DEFERRAL_MS = 600;
/**
 * Maximum deferral of the response to the worker of an idle machine, in milliseconds. It is well below 4 s, after which
 * workers discard a response.
 */
const MAX_IDLE_DEFERRAL_MS = 2500;
/** Maximum deferral of the response to the worker of an idle machine, as a share of the heartbeat interval. */
const IDLE_DEFERRAL_SHARE = 0.8;

/** The leader's state and operations that heartbeat handling depends on. */
export interface HeartbeatLeader extends ResponseLeader {
  /** Returns whether the state of previous terms has been read. */
  isLoaded(): boolean;
  /** Returns whether records that a start may depend on are being written. */
  hasWritesInFlight(): boolean;
  /** Enqueues the machine's record to be written to the state store. */
  registerMachine(machine: Machine): void;
  /** Brings the next planning round forward. */
  schedulePlanningRoundSoon(): void;
}

/** The decision on whether a heartbeat is processed. */
type Admission =
  /** The heartbeat renews no lease and does not count as contact with the machine. */
  | { readonly kind: 'refused' }
  /** The lease is renewed, but there is no machine state to reconcile the heartbeat with. */
  | { readonly kind: 'renewedOnly' }
  | { readonly kind: 'admitted'; readonly machine: Machine };

const REFUSED: Admission = { kind: 'refused' };
const RENEWED_ONLY: Admission = { kind: 'renewedOnly' };

/** Processes workers' heartbeats, whichever controller received them, and responds to each exactly once. */
export class HeartbeatHandler {
  /** Times of the last lease renewals before the stored machines had been read. */
  readonly renewalsWhileLoading = new LeaseRenewals();
  private readonly context: StepContext;
  private readonly responseBuilder: HeartbeatResponseBuilder;
  private readonly deferredResponses: DeferredResponses;
  private readonly backlog: BackloggedHeartbeats;
  private duplicates = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly tokens: FencingTokens,
    private readonly reconciler: Reconciler,
    private readonly leader: HeartbeatLeader,
  ) {
    this.context = cluster.context;
    this.responseBuilder = new HeartbeatResponseBuilder(cluster, tokens, leader);
    this.deferredResponses = new DeferredResponses(this.context, cluster.timers, {
      awaitsWrites: (machine) => leader.hasWritesInFlight() && awaitsDurableRecords(cluster, machine),
      send: (response) => this.sendResponse(response),
    });
    this.backlog = new BackloggedHeartbeats(this.context, cluster.timers, {
      process: (backlogged) => this.processBacklogged(backlogged),
      leaseRenewal: (heartbeat) => this.responseBuilder.leaseRenewal(heartbeat),
    });
  }

  /** Responds with 503 to all waiting heartbeats, because this controller no longer leads. */
  stop(): void {
    this.deferredResponses.stop();
    this.backlog.stop();
  }

  /** Handles a heartbeat. Calls `respond` now or later, within the time that workers wait for a response. */
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    const admission = this.admit(heartbeat);
    switch (admission.kind) {
      case 'refused':
        respond(UNAVAILABLE);
        return;
      case 'renewedOnly':
        respond(this.responseBuilder.leaseRenewal(heartbeat));
        return;
      case 'admitted':
        this.recordAndReconcile(admission.machine, heartbeat, respond);
    }
  }

  /** Sends the deferred responses that no longer need to wait. */
  releaseDeferred(): void {
    this.deferredResponses.release();
  }

  // ---- admission

  private admit(heartbeat: Heartbeat): Admission {
    if (!this.responseBuilder.mayRenewLeases() || this.isOfNewerLeader(heartbeat)) return REFUSED;
    if (!this.leader.isLoaded()) {
      this.renewalsWhileLoading.record(heartbeat.machine, this.context.now.monotonic);
      return RENEWED_ONLY;
    }
    if (this.cluster.machines.wasRemoved(heartbeat.machine)) return REFUSED;
    const machine = this.cluster.machines.get(heartbeat.machine) ?? this.addUnregisteredMachine(heartbeat);
    if (!machine) {
      if (hasLiveTasks(heartbeat)) this.cluster.previousTerms.onUntrackedLeaseRenewed();
      return RENEWED_ONLY;
    }
    if (machine.messages.isDuplicateHeartbeat(heartbeat)) {
      this.recordDuplicate(machine, heartbeat);
      return REFUSED;
    }
    // An unconfirmed machine that keeps sending an old fencing token may have been removed long ago, so its lease is
    // not renewed.
    if (this.hasStaleToken(heartbeat) && machine.reachability.recordStaleToken()) return REFUSED;
    return { kind: 'admitted', machine };
  }

  /**
   * Adds a machine without a stored record, or returns null if the machine type is unknown. No controller has ever sent
   * a command to such a machine, so it holds no tasks and counts as reconciled. The heartbeat may be a late copy from a
   * machine that was removed long ago. The machine therefore gets no work until it is known that this controller's
   * responses reach it.
   */
  private addUnregisteredMachine({ machine: id, type: typeName, zone, spot, address }: Heartbeat): Machine | null {
    const type = this.cluster.machineTypes.get(typeName);
    if (!type) return null;
    const now = this.context.now.monotonic;
    const machine = new Machine({ id, type, zone, spot, address, reconciled: true, phase: 'up', now });
    this.cluster.machines.add(machine);
    this.cluster.previousTerms.recovery?.onUnregisteredMachine();
    this.context.log('heartbeat received from unregistered machine', { machine: id });
    return machine;
  }

  /**
   * Counts and logs a duplicate heartbeat. The worker does not wait for its response. The duplicate renews no lease and
   * does not count as contact with the machine.
   */
  private recordDuplicate(machine: Machine, { sequence }: Heartbeat): void {
    this.duplicates += 1;
    this.context.log('duplicate heartbeat ignored', { machine: machine.id, sequence, duplicates: this.duplicates });
  }

  private hasStaleToken({ fencingToken }: Heartbeat): boolean {
    return this.tokens.isOfPreviousTerm(fencingToken);
  }

  private isOfNewerLeader({ fencingToken, machine }: Heartbeat): boolean {
    return fencingToken > this.tokens.current(this.cluster.machines.get(machine));
  }

  // ---- recording

  private recordAndReconcile(machine: Machine, heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    this.recordIgnoredResponse(machine, heartbeat);
    const isFirst = this.recordContact(machine, heartbeat);
    if (!machine.lifecycle.isRegistered) this.leader.registerMachine(machine);
    const deadline = this.context.after(MAX_DEFERRAL_MS);
    const pending: BackloggedHeartbeat = { machine, heartbeat, respond, isFirst, deadline };
    if (this.admitOrEnqueue(pending) === 'due') this.reconcileAndRespond(pending);
  }

  /**
   * Records signs that the last responses did not reach the worker. It still sends an old fencing token after a
   * response, or its lease expired although it was renewed recently.
   */
  private recordIgnoredResponse(machine: Machine, heartbeat: Heartbeat): void {
    const { messages, reachability } = machine;
    if (messages.firstHeartbeatAt === null) return;
    const sinceRenewalMs = this.context.now.monotonic - messages.leaseRenewedAt;
    const wasRenewedRecently = sinceRenewalMs < this.context.settings.workers.leaseMs / 2;
    if (messages.beginsNewEpoch(heartbeat) && wasRenewedRecently) reachability.recordLostResponses();
    else if (this.hasStaleToken(heartbeat)) reachability.recordIgnoredResponse();
  }

  /** Records the heartbeat as contact with the machine. Returns whether it is the machine's first to this leader. */
  private recordContact(machine: Machine, heartbeat: Heartbeat): boolean {
    const { monotonic } = this.context.now;
    const isFirst = machine.messages.recordHeartbeat(monotonic);
    machine.updateAddress(heartbeat.address);
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

  // ---- queueing

  /**
   * Enqueues the heartbeat if too many have arrived at once. Heartbeats with a stale fencing token are never queued.
   * After recovery has finished, and while the recovery feature is off, no heartbeat is queued.
   */
  private admitOrEnqueue(pending: BackloggedHeartbeat): QueueDecision {
    const { recovery } = this.cluster.previousTerms;
    if (!recovery || recovery.isFinished || this.hasStaleToken(pending.heartbeat)) return 'due';
    const decision = this.backlog.admitOrEnqueue(pending);
    recovery.recordBacklogLength(this.backlog.size);
    return decision;
  }

  private processBacklogged(backlogged: BackloggedHeartbeat): void {
    if (this.responseBuilder.mayRenewLeases() && this.cluster.machines.isCurrent(backlogged.machine))
      this.reconcileAndRespond(backlogged);
    else backlogged.respond?.(UNAVAILABLE);
  }

  // ---- reconciliation

  private reconcileAndRespond({ machine, heartbeat, respond, isFirst }: BackloggedHeartbeat): void {
    const outcome = this.reconciler.reconcile(machine, heartbeat, 'heartbeat');
    machine.messages.recordHeartbeatSequence(heartbeat.sequence);
    if (respond === null) return;
    const response: PendingResponse = { respond, machine, heartbeat };
    switch (outcome.kind) {
      case 'ignored':
        respond(this.responseBuilder.leaseRenewal(heartbeat));
        return;
      case 'applied':
        if (outcome.planning === 'due' || isFirst) this.respondAfterPlanning(response);
        else this.respondOrDefer(response);
    }
  }

  // ---- response

  /** Brings the planning round forward, so that the response already carries the starts for the free capacity. */
  private respondAfterPlanning(response: PendingResponse): void {
    this.leader.schedulePlanningRoundSoon();
    this.deferredResponses.defer(response, 'startsPending', MAX_DEFERRAL_MS);
  }

  private respondOrDefer(response: PendingResponse): void {
    const { machine, heartbeat } = response;
    if (awaitsDurableRecords(this.cluster, machine))
      this.deferredResponses.defer(response, 'startsPending', MAX_DEFERRAL_MS);
    else if (this.isIdle(machine, heartbeat))
      this.deferredResponses.defer(response, 'machineIdle', this.idleDeferralMs());
    else this.sendResponse(response);
  }

  /**
   * Returns whether the machine is empty and available, so that its response is deferred for new work. Tasks that are
   * placed meanwhile start at once instead of with the next heartbeat. On an empty machine, the only change that the
   * delay can hide is an interruption notice.
   */
  private isIdle(machine: Machine, heartbeat: Heartbeat): boolean {
    const hasNoTasks = machine.isEmpty && machine.reportedTasks.exited.length === 0;
    return hasNoTasks && !this.hasStaleToken(heartbeat) && !machine.cordon.isDraining;
  }

  private idleDeferralMs(): number {
    return Math.min(MAX_IDLE_DEFERRAL_MS, this.context.settings.workers.heartbeatIntervalMs * IDLE_DEFERRAL_SHARE);
  }

  private sendResponse({ respond, machine, heartbeat }: PendingResponse): void {
    respond(this.responseBuilder.withCommands(machine, heartbeat));
  }
}

const hasLiveTasks = ({ tasks }: Heartbeat): boolean => tasks.some(({ phase }) => phase !== 'exited');

/** Returns whether the machine, or the first start of a job with a task planned on it, has yet to be stored. */
function awaitsDurableRecords({ placements }: Cluster, machine: Machine): boolean {
  if (!machine.lifecycle.isRegistered) return true;
  for (const { phase, job } of placements.onMachine(machine).values()) {
    if (phase === 'planned' && !job.isStartDurable(machine.zone)) return true;
  }
  return false;
}
