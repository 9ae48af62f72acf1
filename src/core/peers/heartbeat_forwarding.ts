/** Forwards heartbeats from a follower to the leader, and passes the leader's responses back. Both stay unchanged. */
import type { HeartbeatResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, Heartbeat, MachineId } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';
import { PendingMessages } from './pending_messages.js';

/**
 * How long a forwarded heartbeat waits for the leader's response. The leader defers responses to the workers of idle
 * machines for up to 2.5 s, and workers wait 4 s for a response.
 */
const TIMEOUT_MS = 3200;

type Respond = (response: HeartbeatResponse) => void;

interface ForwardedHeartbeat {
  readonly leader: ControllerName;
  readonly machine: MachineId;
  readonly respond: Respond;
}

/** Tracks forwarded heartbeats. Each of them gets exactly one response, which is the leader's or a 503. */
export class HeartbeatForwarding {
  private readonly pending: PendingMessages<ForwardedHeartbeat>;

  constructor(
    private readonly context: StepContext,
    private readonly peers: PeerTable,
    private readonly messageIds: MessageIds,
  ) {
    this.pending = new PendingMessages(context, TIMEOUT_MS);
  }

  /** Forwards a heartbeat to the leader. `respond` is called once, within the time that workers wait. */
  forward(leader: ControllerName, heartbeat: Heartbeat, respond: Respond): void {
    const id = this.messageIds.next();
    this.pending.add(id, { leader, machine: heartbeat.machine, respond });
    this.context.outbox.sendToPeer(leader, { kind: 'heartbeat', id, heartbeat });
  }

  /** Handles the leader's response. */
  onResponse(sender: ControllerName, id: number, machine: MachineId, response: HeartbeatResponse): void {
    const forwarded = this.pending.get(id);
    // A response for another machine must never reach this one, since the tasks that it starts would run twice.
    if (forwarded?.leader !== sender || forwarded.machine !== machine) return;
    this.pending.take(id);
    forwarded.respond(response);
  }

  /**
   * Responds with 503 to heartbeats whose leader has not responded in time or is no longer the leader. Heartbeats are
   * not forwarded for a while to a leader that has not responded in time.
   */
  expire(currentLeader: ControllerName | null): void {
    for (const { entry, isExpired } of this.pending.takeOverdue(({ leader }) => leader !== currentLeader)) {
      if (isExpired) this.peers.pauseHeartbeats(entry.leader, TIMEOUT_MS);
      entry.respond({ status: 503 });
    }
  }
}
