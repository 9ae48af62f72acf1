import type { HeartbeatResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, Heartbeat, MachineId, MonotonicTime } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';

/** Workers wait 4 s for an answer, and the leader holds the reports of idle machines for up to 2.5 s. */
const FORWARD_TIMEOUT_MS = 3200;

type Respond = (answer: HeartbeatResponse) => void;

interface ForwardedHeartbeat {
  readonly recipient: ControllerName;
  readonly machine: MachineId;
  readonly respond: Respond;
  readonly deadline: MonotonicTime;
}

/** Reports that reached a node which doesn't lead, passed on as they came; the leader's answers go back as they came. */
export class HeartbeatForwarding {
  private readonly pending = new Map<number, ForwardedHeartbeat>();

  constructor(
    private readonly context: StepContext,
    private readonly peers: PeerTable,
    private readonly messageIds: MessageIds,
  ) {}

  forward(recipient: ControllerName, heartbeat: Heartbeat, respond: Respond): void {
    const id = this.messageIds.next();
    const deadline = this.context.after(FORWARD_TIMEOUT_MS);
    this.pending.set(id, { recipient, machine: heartbeat.machine, respond, deadline });
    this.context.outbox.sendToPeer(recipient, { kind: 'heartbeat', id, heartbeat });
  }

  onResponse(from: ControllerName, id: number, machine: MachineId, answer: HeartbeatResponse): void {
    const forwarded = this.pending.get(id);
    // An answer meant for another machine must never reach this one: its starts would run twice.
    if (forwarded?.recipient !== from || forwarded.machine !== machine) return;
    this.pending.delete(id);
    forwarded.respond(answer);
  }

  /** Answers 503 where the leader has not answered in time, or is not the leader any more. */
  expire(leader: ControllerName | null): void {
    const { monotonic } = this.context.now;
    for (const [id, forwarded] of this.pending) {
      const overdue = forwarded.deadline <= monotonic;
      if (!overdue && forwarded.recipient === leader) continue;
      this.pending.delete(id);
      const peer = this.peers.get(forwarded.recipient);
      if (peer && overdue) peer.heartbeatsPausedUntil = this.context.after(FORWARD_TIMEOUT_MS);
      forwarded.respond({ status: 503 });
    }
  }
}
