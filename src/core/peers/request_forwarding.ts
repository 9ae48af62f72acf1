import type { UserRequest, UserResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';

const FORWARD_TIMEOUT_MS = 1200;

const NO_RESPONSE: UserResponse = { status: 503, problem: 'no node could take the request', retryAfterSeconds: 1 };

type Respond = (answer: UserResponse) => void;

interface ForwardedRequest {
  readonly respond: Respond;
  readonly deadline: MonotonicTime;
}

/** Passes users' requests to a peer that the state service answers, where it refuses this node. */
export class RequestForwarding {
  private readonly pending = new Map<number, ForwardedRequest>();

  constructor(
    private readonly context: StepContext,
    private readonly peers: PeerTable,
    private readonly messageIds: MessageIds,
  ) {}

  /** Returns false, and does nothing, where no peer can stand in. */
  forward(request: UserRequest, respond: Respond): boolean {
    for (const peer of this.peers.all()) {
      if (!peer.status.stateStoreReachable || !this.peers.isAlive(peer)) continue;
      const id = this.messageIds.next();
      this.pending.set(id, { respond, deadline: this.context.after(FORWARD_TIMEOUT_MS) });
      this.context.outbox.sendToPeer(peer.name, { kind: 'request', id, request });
      return true;
    }
    return false;
  }

  onResponse(id: number, answer: UserResponse): void {
    const relayed = this.pending.get(id);
    this.pending.delete(id);
    // An answer that this process found on waking from a pause may be as old as that.
    relayed?.respond(relayed.deadline > this.context.now.monotonic ? answer : NO_RESPONSE);
  }

  /** Answers what no peer has answered in time. */
  expire(): void {
    for (const [id, relayed] of this.pending) {
      if (relayed.deadline > this.context.now.monotonic) continue;
      this.pending.delete(id);
      relayed.respond(NO_RESPONSE);
    }
  }
}
