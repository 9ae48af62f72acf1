/** Judges whether what is sent to one machine arrives there. */
import { addMilliseconds, type MonotonicTime } from '../types.js';

/** After so many responses in a row that had no effect a machine counts as unresponsive. */
const UNRESPONSIVE_AFTER_IGNORED_RESPONSES = 2;
/** An agent shows a new token with its next heartbeat or the one after; one that goes on without it hears nothing. */
const MAX_STALE_TOKEN_HEARTBEATS = 4;
/** Time between the probes of a machine. */
const PROBE_INTERVAL_MS = 3000;

/** Whether responses and pushed commands reach a machine, as far as its messages show. */
export class Reachability {
  private confirmed: boolean;
  private staleTokenHeartbeats = 0;
  private ignoredResponses = 0;
  private unresponsive: MonotonicTime | null = null;
  private nextProbeAt = 0 as MonotonicTime;

  /** `confirmed`: false for a machine known only from what may be a late copy, until something sent reaches it. */
  constructor(confirmed: boolean) {
    this.confirmed = confirmed;
  }

  /** Whether anything sent is known to have reached the machine, or it can't be a late copy of one that is gone. */
  get isConfirmed(): boolean {
    return this.confirmed;
  }

  /** Since when it sends heartbeats but doesn't react to responses, so that it gets no work; null: it reacts. */
  get unresponsiveSince(): MonotonicTime | null {
    return this.unresponsive;
  }

  /** Whether it sends heartbeats but doesn't react to responses. */
  get isUnresponsive(): boolean {
    return this.unresponsive !== null;
  }

  /** Whether new work may be sent there. */
  get isUsable(): boolean {
    return this.confirmed && this.unresponsive === null;
  }

  /** Something sent has reached it. Returns whether it had counted as unresponsive. */
  confirm(): boolean {
    const wasUnresponsive = this.isUnresponsive;
    this.ignoredResponses = 0;
    this.confirmed = true;
    this.unresponsive = null;
    return wasUnresponsive;
  }

  /** A heartbeat showed a previous leader's token. Returns whether an unconfirmed machine has done so too often. */
  recordStaleToken(): boolean {
    if (this.confirmed) return false;
    this.staleTokenHeartbeats += 1;
    return this.staleTokenHeartbeats > MAX_STALE_TOKEN_HEARTBEATS;
  }

  /** One response had no effect. */
  recordIgnoredResponse(): void {
    this.ignoredResponses += 1;
  }

  /** The lease expired although heartbeats were answered: none of the responses can have arrived. */
  recordLostResponses(): void {
    this.ignoredResponses = UNRESPONSIVE_AFTER_IGNORED_RESPONSES;
  }

  /** A response had its effect. */
  recordEffect(): void {
    this.ignoredResponses = 0;
  }

  /** Whether enough responses were ignored to count it as unresponsive, which it doesn't yet. */
  get shouldMarkUnresponsive(): boolean {
    return this.unresponsive === null && this.ignoredResponses >= UNRESPONSIVE_AFTER_IGNORED_RESPONSES;
  }

  /** It counts as unresponsive from now on, and is probed after a while. */
  markUnresponsive(now: MonotonicTime): void {
    this.unresponsive = now;
    this.nextProbeAt = addMilliseconds(now, PROBE_INTERVAL_MS);
  }

  /** Whether a probe may be sent now. */
  isProbeDue(now: MonotonicTime): boolean {
    return this.nextProbeAt <= now;
  }

  /** A probe goes out. */
  recordProbe(now: MonotonicTime): void {
    this.nextProbeAt = addMilliseconds(now, PROBE_INTERVAL_MS);
  }
}
