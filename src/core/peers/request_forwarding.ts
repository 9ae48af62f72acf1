/** Forwards user requests to a peer that reaches the state store, if this controller's own calls to it fail. */
import type { UserRequest, UserResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';
import { PendingMessages } from './pending_messages.js';

const TIMEOUT_MS = 1200;

const NO_RESPONSE: UserResponse = { status: 503, problem: 'no node could take the request', retryAfterSeconds: 1 };

type Respond = (response: UserResponse) => void;

/** Tracks forwarded requests. Each of them gets exactly one response, which is the peer's or, at the timeout, a 503. */
export class RequestForwarding {
  private readonly pending: PendingMessages<Respond>;

  constructor(
    private readonly context: StepContext,
    private readonly peers: PeerTable,
    private readonly messageIds: MessageIds,
  ) {
    this.pending = new PendingMessages(context, TIMEOUT_MS);
  }

  /** Forwards a request. Returns false, and does nothing, if no live peer reaches the state store. */
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

  /** Handles a peer's response. */
  onResponse(id: number, response: UserResponse): void {
    const forwarded = this.pending.take(id);
    // If this process was paused, the response may have been waiting for the whole pause and be outdated.
    forwarded?.entry(forwarded.isExpired ? NO_RESPONSE : response);
  }

  /** Responds with 503 to requests that have timed out. */
  expire(): void {
    for (const { entry: respond } of this.pending.takeOverdue()) respond(NO_RESPONSE);
  }
}
