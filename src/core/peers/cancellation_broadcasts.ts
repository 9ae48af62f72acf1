import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { ControllerName, JobId, MonotonicTime } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';

/** So long a user's answer waits for the leader's acknowledgement; users wait 5 s. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 300;

interface PendingBroadcast {
  readonly onDone: () => void;
  /** Leaders that have yet to acknowledge. */
  readonly unacknowledged: Set<ControllerName>;
  readonly deadline: MonotonicTime;
}

/**
 * Tells whoever leads of a cancellation that this node has put on record. The state service may not tell the leader: one
 * that it refuses is entitled to start work until its validity ends (refusal-then-outage.txt).
 */
export class CancellationBroadcasts {
  private readonly expiryTimer: Timer;
  private readonly pending = new Map<number, PendingBroadcast>();

  constructor(
    private readonly context: StepContext,
    private readonly peers: PeerTable,
    private readonly messageIds: MessageIds,
  ) {
    this.expiryTimer = context.timers.create(() => this.expire());
  }

  /** `done` follows once every leader has acknowledged, or soon after in any case. */
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
    this.pending.set(id, { onDone, unacknowledged, deadline: this.context.after(ACKNOWLEDGEMENT_TIMEOUT_MS) });
    this.expiryTimer.setIfUnset(this.context.after(ACKNOWLEDGEMENT_TIMEOUT_MS));
  }

  onAcknowledged(from: ControllerName, id: number): void {
    const notice = this.pending.get(id);
    if (!notice?.unacknowledged.delete(from) || notice.unacknowledged.size > 0) return;
    this.pending.delete(id);
    notice.onDone();
  }

  /** Goes on without the acknowledgements that have not come in time. */
  private expire(): void {
    let next: MonotonicTime | null = null;
    for (const [id, notice] of this.pending) {
      if (notice.deadline > this.context.now.monotonic) {
        if (next === null || notice.deadline < next) next = notice.deadline;
        continue;
      }
      this.pending.delete(id);
      notice.onDone();
    }
    if (next !== null) this.expiryTimer.set(next);
  }
}
