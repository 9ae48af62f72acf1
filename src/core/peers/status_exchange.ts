import type { Context } from '../context.js';
import type { Election } from '../leadership/election.js';
import type { PeerStatus } from '../messages.js';
import type { ReportRouter } from '../workers/report_router.js';
import type { PeerTable } from './peer_table.js';

/** What a peer is told where no worker was ever heard. */
const NEVER_HEARD_MS = -1;

/** Tells the peers how this node is, and lets go of the lead where they are better placed for it. */
export class StatusExchange {
  constructor(
    private readonly ctx: Context,
    private readonly election: Election,
    private readonly peers: PeerTable,
    private readonly router: ReportRouter,
  ) {}

  send(): void {
    this.router.updateRate();
    const heardMs = this.router.workersHeardMs;
    const status: PeerStatus = {
      leading: this.election.isValid(),
      storeOk: this.ctx.storeFailingSince === null,
      workersHeardMs: heardMs === null ? NEVER_HEARD_MS : Math.round(heardMs),
      reportsPerS: this.router.reportsPerS,
      takesReports: this.router.takesReports(),
      acknowledgesCancellations: true,
    };
    for (const peer of this.ctx.settings.peers) this.ctx.peer(peer.name, { kind: 'status', status });
  }

  /** A leader that no worker reaches, while they reach a peer, keeps the lead from being of use: it resigns. */
  resignIfCutOff(): void {
    if (!this.election.current) return;
    const { steady } = this.ctx.now;
    const limitMs = this.ctx.tuning.leadership.resign_after_ms;
    const ledMs = steady - this.election.electedAt;
    const heardMs = this.router.workersHeardMs ?? steady;
    if (Math.min(heardMs, ledMs) < limitMs) return;
    for (const peer of this.peers.all()) {
      const { workersHeardMs } = peer.status;
      // A peer that has just come back heard its workers without us; now it passes their reports on.
      if (steady - peer.heardSince < limitMs) continue;
      if (this.peers.isLinkFresh(peer) && workersHeardMs >= 0 && workersHeardMs < limitMs / 2) {
        this.election.resign('workers reach a peer but not this node');
        return;
      }
    }
  }
}
