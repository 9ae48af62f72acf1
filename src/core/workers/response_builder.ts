/**
 * Builds the responses to heartbeats. Every response that renews a worker's lease also stops those of the reported
 * tasks whose jobs are known to be cancelled, and ends the validity of their pushed starts, so a renewal never keeps them
 * alive.
 */
import { startKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { HeartbeatResponse } from '../messages.js';
import type { Cluster } from '../state/cluster.js';
import type { Command, FencingToken, Heartbeat } from '../types.js';
import { responseCommands } from './commands.js';
import type { FencingTokens } from './fencing_tokens.js';
import { UNAVAILABLE } from './heartbeat_response.js';
import { type InvalidationLeader, StartInvalidation } from './start_invalidation.js';

/** The leader's state that heartbeat responses depend on. */
export interface ResponseLeader extends InvalidationLeader {
  /** Returns whether this controller is the leader and its lease rules out any other leader at this moment. */
  isLeaseValid(): boolean;
  /** Returns whether the view of jobs is recent enough to renew workers' leases. */
  hasRecentJobView(): boolean;
  /** Returns whether the view of jobs is recent enough to start tasks. */
  mayStartTasks(): boolean;
}

/** Builds each response when it is sent. A response is `UNAVAILABLE` if it may not renew the worker's lease. */
export class HeartbeatResponseBuilder {
  private readonly startInvalidation: StartInvalidation;

  constructor(
    private readonly cluster: Cluster,
    private readonly tokens: FencingTokens,
    private readonly leader: ResponseLeader,
  ) {
    this.startInvalidation = new StartInvalidation(cluster.context, cluster.placements, tokens, leader);
  }

  /**
   * Returns whether responses may renew workers' leases: this controller leads and its view of jobs is recent enough.
   */
  mayRenewLeases(): boolean {
    return this.leader.isLeaseValid() && this.leader.hasRecentJobView();
  }

  /** Returns a response to a heartbeat that was not reconciled. It carries no commands but the stops described above. */
  leaseRenewal(heartbeat: Heartbeat): HeartbeatResponse {
    if (!this.mayRenewLeases()) return UNAVAILABLE;
    return this.renewal(this.cluster.machines.get(heartbeat.machine), heartbeat, () => []);
  }

  /** Returns a response to a reconciled heartbeat, with all commands that are due on the machine. */
  withCommands(machine: Machine, heartbeat: Heartbeat): HeartbeatResponse {
    if (!this.mayRenewLeases()) return UNAVAILABLE;
    // Starts are sent only in the response to the newest status. The next heartbeat shows whether that response was
    // dropped.
    const isNewest = machine.messages.latestSequence === heartbeat.sequence;
    const mayStartTasks = this.leader.mayStartTasks() && isNewest;
    const startsInResponseTo = mayStartTasks ? heartbeat.sequence : null;
    return this.renewal(machine, heartbeat, (token) =>
      responseCommands(this.cluster, machine, token, startsInResponseTo),
    );
  }

  /** Builds a renewal for a machine, or for one that this leader does not track. */
  private renewal(
    machine: Machine | undefined,
    heartbeat: Heartbeat,
    dueCommands: (token: FencingToken) => Command[],
  ): HeartbeatResponse {
    if (machine && !this.startInvalidation.prepareRenewal(machine)) return UNAVAILABLE;
    const fencingToken = this.tokens.current(machine);
    const commands = dueCommands(fencingToken);
    const stops = this.stopsOfCancelledTasks(heartbeat, commands);
    return { status: 200, fencingToken, commands: [...commands, ...stops] };
  }

  /** Returns the stops of reported tasks of cancelled jobs that `commands` does not stop already. */
  private stopsOfCancelledTasks({ tasks }: Heartbeat, commands: readonly Command[]): Command[] {
    const cancelled = tasks.filter(({ job, phase }) => phase !== 'exited' && this.leader.isCancelled(job));
    if (cancelled.length === 0) return [];
    const stopped = new Set(
      commands.filter(({ op }) => op === 'stop').map(({ job, index, attempt }) => startKey(job, index, attempt)),
    );
    return cancelled
      .filter(({ job, index, attempt }) => !stopped.has(startKey(job, index, attempt)))
      .map(({ job, index, attempt }) => ({ op: 'stop', job, index, attempt, gracePeriodSeconds: 0 }));
  }
}
