/** Passes heartbeats that reached a follower to the leader, and the leader's responses back, both as they came. */
import type { HeartbeatResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, Heartbeat, MachineId } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';
import { PendingMessages } from './pending_messages.js';

/** Workers wait 4 s for a response, and the leader defers those to idle machines for up to 2.5 s. */
const TIMEOUT_MS = 3200;

type Respond = (response: HeartbeatResponse) => void;

interface ForwardedHeartbeat {
  readonly leader: ControllerName;
  readonly machine: MachineId;
  readonly respond: Respond;
}

/** Each forwarded heartbeat gets one response: the leader's, or 503. */
export class HeartbeatForwarding {
  private readonly pending: PendingMessages<ForwardedHeartbeat>;

  constructor(
    private readonly context: StepContext,
    private readonly peers: PeerTable,
    private readonly messageIds: MessageIds,
  ) {
    this.pending = new PendingMessages(context, TIMEOUT_MS);
  }

  /** Passes a heartbeat on; `respond` is called once, within the time that workers wait. */
  forward(leader: ControllerName, heartbeat: Heartbeat, respond: Respond): void {
    const id = this.messageIds.next();
    this.pending.add(id, { leader, machine: heartbeat.machine, respond });
    this.context.outbox.sendToPeer(leader, { kind: 'heartbeat', id, heartbeat });
  }

  /** Takes the leader's response. */
  onResponse(sender: ControllerName, id: number, machine: MachineId, response: HeartbeatResponse): void {
    const forwarded = this.pending.get(id);
    // A response meant for another machine must never reach this one: its starts would run twice.
    if (forwarded?.leader !== sender || forwarded.machine !== machine) return;
    this.pending.take(id);
    forwarded.respond(response);
  }

  /** Answers 503 where the leader has not responded in time, or is not the leader any more. */
  expire(currentLeader: ControllerName | null): void {
    for (const { entry, isExpired } of this.pending.takeOverdue(({ leader }) => leader !== currentLeader)) {
      if (isExpired) this.peers.pauseHeartbeats(entry.leader, TIMEOUT_MS);
      entry.respond({ status: 503 });
    }
  }
}
