/** Tracks the order of one worker's messages within its agent epochs, and the time of its last lease renewal. */
import type { AgentEpoch, FencingToken, Heartbeat, MonotonicTime, SequenceNumber } from '../types.js';

/** Number of heartbeat intervals without a heartbeat after which a machine gets no new tasks. */
export const HEARTBEAT_OVERDUE_AFTER_INTERVALS = 2.5;
/** The sequence number before the first message of an epoch. */
const NO_MESSAGE = 0n as SequenceNumber;

/** How the agent epoch of a status relates to the epoch of the status processed before it. */
type EpochChange =
  /** It is the first status of the machine that this leader processes. */
  | 'firstEpoch'
  | 'sameEpoch'
  /** The worker's lease expired in between, and all tasks of the previous epoch have ended. */
  | 'newEpoch';

/** Fields that determine the order of heartbeats and responses to pushed commands. */
type MessageOrder = Pick<Heartbeat, 'agentEpoch' | 'sequence'>;

/**
 * The messages of one machine's worker. Heartbeats and responses to pushed commands share one series of sequence
 * numbers within an agent epoch. An epoch lasts until the worker's lease expires.
 */
export class AgentMessages {
  private epoch: AgentEpoch | null = null;
  /** Sequence number of the newest status that was processed. */
  private sequence: SequenceNumber | null = null;
  /** Sequence number of the newest heartbeat of the current epoch. Responses to pushed commands don't count. */
  private heartbeatSequence: SequenceNumber | null = null;
  private fencingToken = 0n as FencingToken;
  private contactAt: MonotonicTime;
  private heartbeatAt: MonotonicTime;
  private renewedAt: MonotonicTime;
  private firstAt: MonotonicTime | null = null;

  /** `now`: when the machine became known. Until its first heartbeat, missing heartbeats are counted from this time. */
  constructor(now: MonotonicTime) {
    this.contactAt = now;
    this.heartbeatAt = now;
    this.renewedAt = now;
  }

  /** The epoch of the newest processed status, or the next one after a lease expiry. Null before the first status. */
  get agentEpoch(): AgentEpoch | null {
    return this.epoch;
  }

  /** The sequence number of the newest status that was processed. Null before the first status. */
  get latestSequence(): SequenceNumber | null {
    return this.sequence;
  }

  /** The highest fencing token that the worker has sent. */
  get highestFencingToken(): FencingToken {
    return this.fencingToken;
  }

  /** When the last heartbeat that was not a duplicate, or the last response to a pushed command, was received. */
  get lastContactAt(): MonotonicTime {
    return this.contactAt;
  }

  /** When the last heartbeat was received. Responses to pushed commands don't count. */
  get lastHeartbeatAt(): MonotonicTime {
    return this.heartbeatAt;
  }

  /** When this leader received the first heartbeat. Null before that. */
  get firstHeartbeatAt(): MonotonicTime | null {
    return this.firstAt;
  }

  /** When the worker's lease may last have been renewed, either by a heartbeat response or by a new epoch. */
  get leaseRenewedAt(): MonotonicTime {
    return this.renewedAt;
  }

  /** Returns whether the last heartbeat is too old for the machine to get new tasks. */
  isHeartbeatOverdue(now: MonotonicTime, heartbeatIntervalMs: number): boolean {
    return now - this.heartbeatAt >= HEARTBEAT_OVERDUE_AFTER_INTERVALS * heartbeatIntervalMs;
  }

  /** Returns whether a message is newer than every status that was processed. */
  isNewer({ agentEpoch, sequence }: MessageOrder): boolean {
    if (this.epoch === null || this.sequence === null) return true;
    return agentEpoch > this.epoch || (agentEpoch === this.epoch && sequence > this.sequence);
  }

  /**
   * Returns whether a heartbeat is a duplicate or arrived out of order. A worker has one heartbeat in flight at a time,
   * and its sequence numbers increase. A heartbeat that is not newer than the last has therefore had its response.
   */
  isDuplicateHeartbeat({ agentEpoch, sequence }: MessageOrder): boolean {
    if (this.epoch === null) return false;
    if (agentEpoch !== this.epoch) return agentEpoch < this.epoch;
    return this.heartbeatSequence !== null && sequence <= this.heartbeatSequence;
  }

  /** Returns whether a message belongs to an epoch after the current one. False if no epoch is known. */
  beginsNewEpoch({ agentEpoch }: MessageOrder): boolean {
    return this.epoch !== null && agentEpoch > this.epoch;
  }

  /** Records a heartbeat that is no duplicate and gets a response. Returns whether it is the first to this leader. */
  recordHeartbeat(now: MonotonicTime): boolean {
    this.contactAt = now;
    this.heartbeatAt = now;
    this.renewedAt = now;
    if (this.firstAt !== null) return false;
    this.firstAt = now;
    return true;
  }

  /** Records that the worker responded to a pushed command. */
  recordCommandResponse(now: MonotonicTime): void {
    this.contactAt = now;
  }

  /** Records the newest heartbeat of the epoch. Heartbeats that are not newer than this count as duplicates. */
  recordHeartbeatSequence(sequence: SequenceNumber): void {
    this.heartbeatSequence = sequence;
  }

  /** Records the fencing token of a message, if it is the highest so far. */
  recordFencingToken(token: FencingToken): void {
    if (token > this.fencingToken) this.fencingToken = token;
  }

  /** Records that the status in a message is being processed. `isNewer` must hold for the message. */
  recordStatus({ agentEpoch, sequence }: MessageOrder, now: MonotonicTime): EpochChange {
    const before = this.epoch;
    this.epoch = agentEpoch;
    this.sequence = sequence;
    if (before === agentEpoch) return 'sameEpoch';
    this.heartbeatSequence = null;
    // The first message of an epoch may be a response to a pushed command. The epoch's lease began before that message.
    this.renewedAt = now;
    return before === null ? 'firstEpoch' : 'newEpoch';
  }

  /** Ends the current epoch because the worker's lease has expired. The worker will return with a new epoch. */
  expireEpoch(): void {
    if (this.epoch === null) return;
    this.epoch = (this.epoch + 1n) as AgentEpoch;
    this.sequence = NO_MESSAGE;
    this.heartbeatSequence = null;
  }

  /** Counts missing heartbeats from now on, because the cloud lists the machine as running. */
  expectHeartbeats(now: MonotonicTime): void {
    this.contactAt = now;
    this.heartbeatAt = now;
  }

  /** Restores the time at which a previous leader may last have renewed the lease. */
  restoreLeaseRenewal(at: MonotonicTime): void {
    this.renewedAt = at;
  }
}
