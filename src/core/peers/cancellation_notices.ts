import type { Context } from '../context.js';
import type { JobId, NodeName, Steady } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';

/** So long a user's answer waits for the leader's acknowledgement; users wait 5 s. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 300;

interface PendingNotice {
  readonly done: () => void;
  /** Leaders that have yet to acknowledge. */
  readonly awaited: Set<NodeName>;
  readonly until: Steady;
}

/**
 * Tells whoever leads of a cancellation that this node has put on record. The state service may not tell the leader: one
 * that it refuses is entitled to start work until its validity ends (refusal-then-outage.txt).
 */
export class CancellationNotices {
  private readonly pending = new Map<number, PendingNotice>();

  constructor(
    private readonly ctx: Context,
    private readonly peers: PeerTable,
    private readonly ids: MessageIds,
  ) {}

  /** `done` follows once every leader has acknowledged, or soon after in any case. */
  notify(job: JobId, done: () => void): void {
    const id = this.ids.next();
    const awaited = new Set<NodeName>();
    for (const peer of this.peers.all()) {
      if (!peer.status.acknowledgesCancellations || !this.peers.isAlive(peer)) continue;
      // One whose validity has lapsed may find its lease alive and lead on: it is told, but not waited for.
      if (peer.status.leading) awaited.add(peer.name);
      this.ctx.peer(peer.name, { kind: 'cancellation', id, job });
    }
    if (awaited.size === 0) {
      done();
      return;
    }
    this.pending.set(id, { done, awaited, until: this.ctx.after(ACKNOWLEDGEMENT_TIMEOUT_MS) });
    this.ctx.timers.setIfUnset('cancellationNotices', this.ctx.after(ACKNOWLEDGEMENT_TIMEOUT_MS));
  }

  onAcknowledged(from: NodeName, id: number): void {
    const notice = this.pending.get(id);
    if (!notice?.awaited.delete(from) || notice.awaited.size > 0) return;
    this.pending.delete(id);
    notice.done();
  }

  /** Goes on without the acknowledgements that have not come in time. */
  expire(): void {
    let next: Steady | null = null;
    for (const [id, notice] of this.pending) {
      if (notice.until > this.ctx.now.steady) {
        if (next === null || notice.until < next) next = notice.until;
        continue;
      }
      this.pending.delete(id);
      notice.done();
    }
    if (next !== null) this.ctx.timers.set('cancellationNotices', next);
  }
}
