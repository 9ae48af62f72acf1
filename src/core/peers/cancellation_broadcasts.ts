/** Notifies the leader of cancellations that this controller has persisted. */
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { ControllerName, JobId } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';
import { PendingMessages } from './pending_messages.js';

/** How long the response to a user waits for the leader's acknowledgement. Users wait 5 s for the response. */
const TIMEOUT_MS = 300;

interface PendingBroadcast {
  readonly onDone: () => void;
  /** The leaders that have not acknowledged the broadcast yet. */
  readonly unacknowledged: Set<ControllerName>;
}

/**
 * Broadcasts cancellations to the peers directly, because the leader may not learn of them from the state store. A
 * leader whose calls the state store refuses may still start tasks until its lease validity ends
 * (refusal-then-outage.txt).
 */
export class CancellationBroadcasts {
  private readonly pending: PendingMessages<PendingBroadcast>;
  private readonly expiryTimer: Timer;

  constructor(
    private readonly context: StepContext,
    private readonly peers: PeerTable,
    private readonly messageIds: MessageIds,
  ) {
    this.pending = new PendingMessages(context, TIMEOUT_MS);
    this.expiryTimer = context.timers.create(() => this.expire());
  }

  /**
   * Broadcasts the cancellation of a job. `onDone` is called when every peer that is the leader has acknowledged it, or
   * at the timeout.
   */
  broadcast(job: JobId, onDone: () => void): void {
    const id = this.messageIds.next();
    const unacknowledged = new Set<ControllerName>();
    for (const peer of this.peers.all()) {
      if (!peer.status.acknowledgesCancellations || !this.peers.isAlive(peer)) continue;
      // A leader whose validity has lapsed resumes if it can still renew its lease. All peers are therefore notified,
      // but only the acknowledgements of leaders with a valid lease are awaited.
      if (peer.status.isLeader) unacknowledged.add(peer.name);
      this.context.outbox.sendToPeer(peer.name, { kind: 'cancellation', id, job });
    }
    if (unacknowledged.size === 0) {
      onDone();
      return;
    }
    this.pending.add(id, { onDone, unacknowledged });
    this.expiryTimer.setIfUnset(this.context.after(TIMEOUT_MS));
  }

  /** Handles a peer's acknowledgement of a broadcast. */
  onAcknowledged(sender: ControllerName, id: number): void {
    const broadcast = this.pending.get(id);
    if (!broadcast?.unacknowledged.delete(sender) || broadcast.unacknowledged.size > 0) return;
    this.pending.take(id);
    broadcast.onDone();
  }

  /** Finishes the broadcasts whose acknowledgements have timed out. */
  private expire(): void {
    for (const { entry } of this.pending.takeOverdue()) entry.onDone();
    const next = this.pending.nextDeadline();
    if (next !== null) this.expiryTimer.set(next);
  }
}
