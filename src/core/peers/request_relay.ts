import type { Context } from '../context.js';
import type { UserAnswer, UserRequest } from '../messages.js';
import type { Steady } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';

const RELAY_TIMEOUT_MS = 1200;

const NO_ANSWER: UserAnswer = { status: 503, problem: 'no node could take the request', retryAfterS: 1 };

type OnAnswer = (answer: UserAnswer) => void;

interface RelayedRequest {
  readonly answer: OnAnswer;
  readonly until: Steady;
}

/** Passes users' requests to a peer that the state service answers, where it refuses this node. */
export class RequestRelay {
  private readonly pending = new Map<number, RelayedRequest>();

  constructor(
    private readonly ctx: Context,
    private readonly peers: PeerTable,
    private readonly ids: MessageIds,
  ) {}

  /** Returns false, and does nothing, where no peer can stand in. */
  relay(request: UserRequest, answer: OnAnswer): boolean {
    for (const peer of this.peers.all()) {
      if (!peer.status.storeOk || !this.peers.isAlive(peer)) continue;
      const id = this.ids.next();
      this.pending.set(id, { answer, until: this.ctx.after(RELAY_TIMEOUT_MS) });
      this.ctx.peer(peer.name, { kind: 'request', id, request });
      return true;
    }
    return false;
  }

  onAnswer(id: number, answer: UserAnswer): void {
    const relayed = this.pending.get(id);
    this.pending.delete(id);
    // An answer that this process found on waking from a pause may be as old as that.
    relayed?.answer(relayed.until > this.ctx.now.steady ? answer : NO_ANSWER);
  }

  /** Answers what no peer has answered in time. */
  expire(): void {
    for (const [id, relayed] of this.pending) {
      if (relayed.until > this.ctx.now.steady) continue;
      this.pending.delete(id);
      relayed.answer(NO_ANSWER);
    }
  }
}
