/** Tells whoever leads of cancellations that this controller has put on record. */
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { ControllerName, JobId } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';
import { PendingMessages } from './pending_messages.js';

/** So long a user's response waits for the leader's acknowledgement; users wait 5 s. */
const TIMEOUT_MS = 300;

interface PendingBroadcast {
  readonly onDone: () => void;
  /** Leaders that have yet to acknowledge. */
  readonly unacknowledged: Set<ControllerName>;
}

/**
 * The state store may not tell the leader of a cancellation: one that it refuses is entitled to start work until its
 * validity ends (refusal-then-outage.txt).
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

  /** `onDone` follows once every leader has acknowledged, or soon after in any case. */
  broadcast(job: JobId, onDone: () => void): void {
    const id = this.messageIds.next();
    const unacknowledged = new Set<ControllerName>();
    for (const peer of this.peers.all()) {
      if (!peer.status.acknowledgesCancellations || !this.peers.isAlive(peer)) continue;
      // One whose validity has lapsed may find its lease alive and lead on: it is told, but not waited for.
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

  /** A peer has taken in a broadcast. */
  onAcknowledged(sender: ControllerName, id: number): void {
    const broadcast = this.pending.get(id);
    if (!broadcast?.unacknowledged.delete(sender) || broadcast.unacknowledged.size > 0) return;
    this.pending.take(id);
    broadcast.onDone();
  }

  /** Goes on without the acknowledgements that have not come in time. */
  private expire(): void {
    for (const { entry } of this.pending.takeOverdue()) entry.onDone();
    const next = this.pending.nextDeadline();
    if (next !== null) this.expiryTimer.set(next);
  }
}
