/** Tracks the messages of one machine's agent: their order within its epochs, and when its lease was last renewed. */
import type { AgentEpoch, FencingToken, Heartbeat, MonotonicTime, SequenceNumber } from '../types.js';

/** After so many heartbeat intervals without a heartbeat a machine gets no new work. */
export const HEARTBEAT_OVERDUE_AFTER_PERIODS = 2.5;
/** The sequence number before the first message of an epoch. */
const NO_MESSAGE = 0n as SequenceNumber;

/** Where a status of the machine's tasks stands among those that were processed before it. */
type EpochChange =
  /** The first status of the machine that is processed here. */
  | 'firstEpoch'
  | 'sameEpoch'
  /** The agent's lease expired meanwhile: all tasks of the epoch before are gone. */
  | 'newEpoch';

/** What heartbeats and responses to pushed commands have in common, for telling their order. */
type MessageOrder = Pick<Heartbeat, 'agentEpoch' | 'sequence'>;

/**
 * The messages of one machine's agent. Heartbeats and responses to pushed commands are numbered in one row within an agent
 * epoch; an epoch lasts for as long as the agent's lease is renewed.
 */
export class AgentMessages {
  private epoch: AgentEpoch | null = null;
  /** Of the newest status that was processed. */
  private sequence: SequenceNumber | null = null;
  /** The newest heartbeat of the present epoch, not counting responses to pushed commands. */
  private heartbeatSequence: SequenceNumber | null = null;
  private fencingToken = 0n as FencingToken;
  private contactAt: MonotonicTime;
  private heartbeatAt: MonotonicTime;
  private renewedAt: MonotonicTime;
  private firstAt: MonotonicTime | null = null;

  /** `now`: when the machine became known; until its first heartbeat, silence counts from here. */
  constructor(now: MonotonicTime) {
    this.contactAt = now;
    this.heartbeatAt = now;
    this.renewedAt = now;
  }

  /** The epoch of the newest status that was processed; null before the first. */
  get agentEpoch(): AgentEpoch | null {
    return this.epoch;
  }

  /** The sequence number of the newest status that was processed; null before the first. */
  get latestSequence(): SequenceNumber | null {
    return this.sequence;
  }

  /** The highest fencing token that the agent has shown. */
  get highestFencingToken(): FencingToken {
    return this.fencingToken;
  }

  /** The last sign of life: a heartbeat newer than any before, or a response to a pushed command. */
  get lastContactAt(): MonotonicTime {
    return this.contactAt;
  }

  /** When the last heartbeat came, not counting responses to pushed commands. */
  get lastHeartbeatAt(): MonotonicTime {
    return this.heartbeatAt;
  }

  /** When the first heartbeat to this leader came; null before. */
  get firstHeartbeatAt(): MonotonicTime | null {
    return this.firstAt;
  }

  /** When the agent's lease may last have been renewed: by a heartbeat that was answered, or a new epoch. */
  get leaseRenewedAt(): MonotonicTime {
    return this.renewedAt;
  }

  /** Whether heartbeats have been missing for so long that the machine gets no new work. */
  isHeartbeatOverdue(now: MonotonicTime, heartbeatIntervalMs: number): boolean {
    return now - this.heartbeatAt >= HEARTBEAT_OVERDUE_AFTER_PERIODS * heartbeatIntervalMs;
  }

  /** Whether a message is newer than any status that was processed. */
  isNewer({ agentEpoch, sequence }: MessageOrder): boolean {
    if (this.epoch === null || this.sequence === null) return true;
    return agentEpoch > this.epoch || (agentEpoch === this.epoch && sequence > this.sequence);
  }

  /**
   * Whether a heartbeat is a copy, or came too late: one heartbeat is in flight at a time and numbers rise, so whatever is
   * not newer than the last has been answered before.
   */
  isDuplicateHeartbeat({ agentEpoch, sequence }: MessageOrder): boolean {
    if (this.epoch === null) return false;
    if (agentEpoch !== this.epoch) return agentEpoch < this.epoch;
    return this.heartbeatSequence !== null && sequence <= this.heartbeatSequence;
  }

  /** Whether a message begins an epoch after the present one; false where none is known. */
  beginsNewEpoch({ agentEpoch }: MessageOrder): boolean {
    return this.epoch !== null && agentEpoch > this.epoch;
  }

  /** A heartbeat came that is no duplicate and will be answered. Returns whether it is the first to this leader. */
  recordHeartbeat(now: MonotonicTime): boolean {
    this.contactAt = now;
    this.heartbeatAt = now;
    this.renewedAt = now;
    if (this.firstAt !== null) return false;
    this.firstAt = now;
    return true;
  }

  /** The agent responded to a pushed command. */
  recordCommandResponse(now: MonotonicTime): void {
    this.contactAt = now;
  }

  /** Later heartbeats of the epoch count as duplicates unless they are newer than this one. */
  recordHeartbeatSequence(sequence: SequenceNumber): void {
    this.heartbeatSequence = sequence;
  }

  /** A message showed a fencing token; the highest is kept. */
  recordFencingToken(token: FencingToken): void {
    if (token > this.fencingToken) this.fencingToken = token;
  }

  /** The status in a message that `isNewer` is processed. */
  recordStatus({ agentEpoch, sequence }: MessageOrder, now: MonotonicTime): EpochChange {
    const before = this.epoch;
    this.epoch = agentEpoch;
    this.sequence = sequence;
    if (before === agentEpoch) return 'sameEpoch';
    this.heartbeatSequence = null;
    // The response to a pushed command may be the first to tell of an epoch: its lease began some time before now.
    this.renewedAt = now;
    return before === null ? 'firstEpoch' : 'newEpoch';
  }

  /** The agent's lease has expired: it comes back with a new epoch, and nothing of the present one counts any more. */
  expireEpoch(): void {
    if (this.epoch === null) return;
    this.epoch = (this.epoch + 1n) as AgentEpoch;
    this.sequence = NO_MESSAGE;
    this.heartbeatSequence = null;
  }

  /** From now on its heartbeats can be overdue: the cloud lists the machine as running. */
  expectHeartbeats(now: MonotonicTime): void {
    this.contactAt = now;
    this.heartbeatAt = now;
  }

  /** A previous leader may have renewed the lease at that time. */
  restoreLeaseRenewal(at: MonotonicTime): void {
    this.renewedAt = at;
  }
}
