/** Determines whether heartbeat responses and pushed commands reach one machine's worker. */
import { addMilliseconds, type MonotonicTime } from '../types.js';

/** Number of consecutive responses without effect after which a machine counts as unresponsive. */
const UNRESPONSIVE_AFTER_IGNORED_RESPONSES = 2;
/**
 * Number of heartbeats with a stale fencing token that are accepted from an unconfirmed machine. A worker sends a new
 * token with its next heartbeat or the one after that. A worker that keeps sending the old token does not receive the
 * responses.
 */
const MAX_STALE_TOKEN_HEARTBEATS = 4;
/** Minimum interval between probes of a machine, in milliseconds. A probe requests its status. */
const PROBE_INTERVAL_MS = 3000;

/** Whether responses and pushed commands reach a machine's worker, judged by its messages. */
export class Reachability {
  private confirmed: boolean;
  private staleTokenHeartbeats = 0;
  private ignoredResponses = 0;
  private unresponsive: MonotonicTime | null = null;
  private nextProbeAt = 0 as MonotonicTime;

  /**
   * `confirmed`: false for a machine that this leader did not provision, since it may be known only from a delayed
   * message or an outdated list. It is confirmed once a response or command reaches it.
   */
  constructor(confirmed: boolean) {
    this.confirmed = confirmed;
  }

  /** Whether a response or command is known to have reached the machine, or this leader provisioned it. */
  get isConfirmed(): boolean {
    return this.confirmed;
  }

  /** The time since which the worker has sent heartbeats without reacting to responses. Null if it reacts. */
  get unresponsiveSince(): MonotonicTime | null {
    return this.unresponsive;
  }

  /** Whether the worker sends heartbeats but does not react to responses. */
  get isUnresponsive(): boolean {
    return this.unresponsive !== null;
  }

  /** Whether new tasks may be sent to the machine: it is confirmed and not unresponsive. */
  get isUsable(): boolean {
    return this.confirmed && this.unresponsive === null;
  }

  /** Records that a response or command has reached the machine. Returns whether it had counted as unresponsive. */
  confirm(): boolean {
    const wasUnresponsive = this.isUnresponsive;
    this.ignoredResponses = 0;
    this.confirmed = true;
    this.unresponsive = null;
    return wasUnresponsive;
  }

  /** Records a heartbeat with a previous leader's token. Returns whether an unconfirmed machine has sent too many. */
  recordStaleToken(): boolean {
    if (this.confirmed) return false;
    this.staleTokenHeartbeats += 1;
    return this.staleTokenHeartbeats > MAX_STALE_TOKEN_HEARTBEATS;
  }

  /** Records that a response had no effect. */
  recordIgnoredResponse(): void {
    this.ignoredResponses += 1;
  }

  /** Records that the lease expired although responses to heartbeats were sent, so none can have arrived. */
  recordLostResponses(): void {
    this.ignoredResponses = UNRESPONSIVE_AFTER_IGNORED_RESPONSES;
  }

  /** Records that a response had an effect, which resets the count of ignored responses. */
  recordEffectiveResponse(): void {
    this.ignoredResponses = 0;
  }

  /** Whether enough responses were ignored to mark the machine as unresponsive, and it is not marked yet. */
  get shouldMarkUnresponsive(): boolean {
    return this.unresponsive === null && this.ignoredResponses >= UNRESPONSIVE_AFTER_IGNORED_RESPONSES;
  }

  /** Marks the machine as unresponsive. Its first probe is due after the probe interval. */
  markUnresponsive(now: MonotonicTime): void {
    this.unresponsive = now;
    this.nextProbeAt = addMilliseconds(now, PROBE_INTERVAL_MS);
  }

  /** Returns whether a probe may be sent now. */
  isProbeDue(now: MonotonicTime): boolean {
    return this.nextProbeAt <= now;
  }

  recordProbe(now: MonotonicTime): void {
    this.nextProbeAt = addMilliseconds(now, PROBE_INTERVAL_MS);
  }
}
