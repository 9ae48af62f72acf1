/** Passes users' requests to a peer that the state store answers, where it refuses this controller. */
import type { UserRequest, UserResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';
import { PendingMessages } from './pending_messages.js';

const TIMEOUT_MS = 1200;

const NO_RESPONSE: UserResponse = { status: 503, problem: 'no node could take the request', retryAfterSeconds: 1 };

type Respond = (response: UserResponse) => void;

/** Each forwarded request gets one response: the peer's, or 503 where none came in time. */
export class RequestForwarding {
  private readonly pending: PendingMessages<Respond>;

  constructor(
    private readonly context: StepContext,
    private readonly peers: PeerTable,
    private readonly messageIds: MessageIds,
  ) {
    this.pending = new PendingMessages(context, TIMEOUT_MS);
  }

  /** Returns false, and does nothing, where no peer can stand in. */
  forward(request: UserRequest, respond: Respond): boolean {
    for (const peer of this.peers.all()) {
      if (!peer.status.stateStoreReachable || !this.peers.isAlive(peer)) continue;
      const id = this.messageIds.next();
      this.pending.add(id, respond);
      this.context.outbox.sendToPeer(peer.name, { kind: 'request', id, request });
      return true;
    }
    return false;
  }

  /** Takes a peer's response. */
  onResponse(id: number, response: UserResponse): void {
    const forwarded = this.pending.take(id);
    // A response that this process found on waking from a pause may be as old as that.
    forwarded?.entry(forwarded.isExpired ? NO_RESPONSE : response);
  }

  /** Answers 503 where no response has come in time. */
  expire(): void {
    for (const { entry: respond } of this.pending.takeOverdue()) respond(NO_RESPONSE);
  }
}
