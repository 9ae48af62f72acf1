import type { Context } from '../context.js';
import type { WorkerAnswer } from '../messages.js';
import type { MachineId, NodeName, Steady, WorkerReport } from '../types.js';
import type { MessageIds } from './message_ids.js';
import type { PeerTable } from './peer_table.js';

/** Workers wait 4 s for an answer, and the leader holds the reports of idle machines for up to 2.5 s. */
const FORWARD_TIMEOUT_MS = 3200;

type OnAnswer = (answer: WorkerAnswer) => void;

interface ForwardedReport {
  readonly to: NodeName;
  readonly machine: MachineId;
  readonly answer: OnAnswer;
  readonly until: Steady;
}

/** Reports that reached a node which doesn't lead, passed on as they came; the leader's answers go back as they came. */
export class ReportForwarding {
  private readonly pending = new Map<number, ForwardedReport>();

  constructor(
    private readonly ctx: Context,
    private readonly peers: PeerTable,
    private readonly ids: MessageIds,
  ) {}

  forward(to: NodeName, report: WorkerReport, answer: OnAnswer): void {
    const id = this.ids.next();
    const until = this.ctx.after(FORWARD_TIMEOUT_MS);
    this.pending.set(id, { to, machine: report.machine, answer, until });
    this.ctx.peer(to, { kind: 'report', id, report });
  }

  onAnswer(from: NodeName, id: number, machine: MachineId, answer: WorkerAnswer): void {
    const forwarded = this.pending.get(id);
    // An answer meant for another machine must never reach this one: its starts would run twice.
    if (forwarded?.to !== from || forwarded.machine !== machine) return;
    this.pending.delete(id);
    forwarded.answer(answer);
  }

  /** Answers 503 where the leader has not answered in time, or is not the leader any more. */
  expire(leader: NodeName | null): void {
    const { steady } = this.ctx.now;
    for (const [id, forwarded] of this.pending) {
      const overdue = forwarded.until <= steady;
      if (!overdue && forwarded.to === leader) continue;
      this.pending.delete(id);
      const peer = this.peers.get(forwarded.to);
      if (peer && overdue) peer.reportsPausedUntil = this.ctx.after(FORWARD_TIMEOUT_MS);
      forwarded.answer({ status: 503 });
    }
  }
}
